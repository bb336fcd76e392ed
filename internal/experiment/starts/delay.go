package starts

import (
	"context"
	"net/netip"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
)

// delayedLog is a log that delays each call.
type delayedLog struct {
	platform.Log
	delay time.Duration
}

// Append implements platform.Log.
func (l *delayedLog) Append(ctx context.Context, stream string, data []byte) (platform.Offset, error) {
	time.Sleep(l.delay)
	return l.Log.Append(ctx, stream, data)
}

// Read implements platform.Log.
func (l *delayedLog) Read(ctx context.Context, stream string, from platform.Offset, limit int) ([]platform.Entry, error) {
	time.Sleep(l.delay)
	return l.Log.Read(ctx, stream, from, limit)
}

// dialer returns the stand-in workers of a bench, with a delay for each call.
type dialer struct {
	bench *bench
	delay time.Duration
}

// Dial implements platform.WorkerDialer.
func (d *dialer) Dial(id platform.WorkerID, _ netip.AddrPort) platform.Worker {
	return &delayedWorker{Worker: d.bench.workers[id].From(hostID), dialer: d}
}

// delayedWorker is a worker that delays each call. It reports accepted starts to the bench.
type delayedWorker struct {
	platform.Worker
	dialer *dialer
}

// Report implements platform.Worker.
func (w *delayedWorker) Report(ctx context.Context) (platform.Report, error) {
	time.Sleep(w.dialer.delay)
	return w.Worker.Report(ctx)
}

// Renew implements platform.Worker.
func (w *delayedWorker) Renew(ctx context.Context, r platform.RenewRequest) (platform.RenewReply, error) {
	time.Sleep(w.dialer.delay)
	return w.Worker.Renew(ctx, r)
}

// Start implements platform.Worker.
func (w *delayedWorker) Start(ctx context.Context, r platform.StartRequest) (platform.StartReply, error) {
	time.Sleep(w.dialer.delay)
	reply, err := w.Worker.Start(ctx, r)
	if err == nil && reply.Result == platform.Accepted {
		w.dialer.bench.recordStart(r.Task)
	}
	return reply, err
}
