package httpapi

import (
	"context"
	"net/netip"

	"github.com/siskinvane/siskinvane/internal/platform"
)

// Paths of a worker's control interface.
const (
	PathReport   = "/v1/report"
	PathStart    = "/v1/start"
	PathRenew    = "/v1/renew"
	PathStop     = "/v1/stop"
	PathThrottle = "/v1/throttle"
)

// WorkerDialer returns clients of workers that share one connection pool.
type WorkerDialer struct {
	client *Client
}

// NewWorkerDialer returns a dialer over c.
func NewWorkerDialer(c *Client) *WorkerDialer { return &WorkerDialer{client: c} }

// Dial implements platform.WorkerDialer.
func (d *WorkerDialer) Dial(id platform.WorkerID, addr netip.AddrPort) platform.Worker {
	return &worker{client: d.client, id: id, addr: addr}
}

type worker struct {
	client *Client
	id     platform.WorkerID
	addr   netip.AddrPort
}

// Report implements platform.Worker.
func (w *worker) Report(ctx context.Context) (platform.Report, error) {
	return callWorker[platform.Report](ctx, w, "worker report", "GET", PathReport, nil)
}

// Start implements platform.Worker.
func (w *worker) Start(ctx context.Context, r platform.StartRequest) (platform.StartReply, error) {
	return callWorker[platform.StartReply](ctx, w, "worker start", "POST", PathStart, r)
}

// Renew implements platform.Worker.
func (w *worker) Renew(ctx context.Context, r platform.RenewRequest) (platform.RenewReply, error) {
	return callWorker[platform.RenewReply](ctx, w, "worker renew", "POST", PathRenew, r)
}

// Stop implements platform.Worker.
func (w *worker) Stop(ctx context.Context, r platform.StopRequest) (platform.StopReply, error) {
	return callWorker[platform.StopReply](ctx, w, "worker stop", "POST", PathStop, r)
}

// Throttle implements platform.Worker.
func (w *worker) Throttle(ctx context.Context, r platform.ThrottleRequest) (platform.ThrottleReply, error) {
	return callWorker[platform.ThrottleReply](ctx, w, "worker throttle", "POST", PathThrottle, r)
}

func callWorker[Reply any](ctx context.Context, w *worker, step, method, path string, in any) (Reply, error) {
	var reply Reply
	err := w.client.Call(ctx, w.addr, method, path, in, &reply)
	return reply, platform.WrapCall(step, string(w.id)+" "+w.addr.String(), err)
}
