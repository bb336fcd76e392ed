package worker

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
)

// FaultScript is a set of faults to inject into a worker.
type FaultScript struct {
	// UnreachableFrom lists the hosts whose calls are lost before they reach the
	// worker.
	UnreachableFrom []platform.HostID `json:"unreachable_from,omitempty"`
	// LoseAnswers is the number of calls that take effect but whose reply is lost.
	// Report calls are not affected.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// FailStarts makes every attempt fail failDelay after its start.
	FailStarts bool `json:"fail_starts,omitempty"`
	// FailTemplates lists the templates whose attempts fail.
	FailTemplates []platform.TemplateName `json:"fail_templates,omitempty"`
	// ReportLagMillis is added to Config.Lag, in ms.
	ReportLagMillis int64 `json:"report_lag_ms,omitempty"`
}

// Faults holds the faults that are injected into a worker. It is safe for
// concurrent use; the zero value injects none.
type Faults struct {
	mu     sync.Mutex
	script FaultScript
	down   bool
	paused bool
}

// Set replaces the script. It does not change whether the worker is killed or
// paused.
func (f *Faults) Set(s FaultScript) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.script = s
}

func (f *Faults) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
	f.paused = f.paused && !down
}

func (f *Faults) setPaused(paused bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.paused = paused
}

func (f *Faults) extraLag() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.script.ReportLagMillis) * time.Millisecond
}

func (f *Faults) failsStart(r platform.StartRequest) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.script.FailTemplates {
		if t == r.Template {
			return true
		}
	}
	return f.script.FailStarts
}

// delivery is how a call to a worker is treated.
type delivery uint8

const (
	deliverNow delivery = iota
	// deliverNever drops the call.
	deliverNever
	// deliverDeferred queues the call until the worker is resumed.
	deliverDeferred
)

func (f *Faults) delivery(from platform.HostID) delivery {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.script.UnreachableFrom {
		if h == from {
			return deliverNever
		}
	}
	switch {
	case f.down:
		return deliverNever
	case f.paused:
		return deliverDeferred
	}
	return deliverNow
}

// takeLostReply reports whether the reply of this call is lost, and if so reduces
// the number of replies still to lose.
func (f *Faults) takeLostReply() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.script.LoseAnswers <= 0 {
		return false
	}
	f.script.LoseAnswers--
	return true
}

// From returns the worker's control interface as the given host reaches it,
// faults included.
func (w *Worker) From(host platform.HostID) platform.Worker {
	return &hostClient{worker: w, host: host}
}

// hostClient is the control interface of a worker for the calls of one host.
type hostClient struct {
	worker *Worker
	host   platform.HostID
}

// deliverCall makes a call under the worker's faults. If the call or its reply is
// lost, the error matches platform.ErrOutcomeUnknown.
func deliverCall[Req, Reply any](h *hostClient, ctx context.Context, r Req, f func(context.Context, Req) (Reply, error)) (Reply, error) {
	var none Reply
	switch h.worker.Faults.delivery(h.host) {
	case deliverNever:
		return none, fmt.Errorf("call to worker %s was lost: %w", h.worker.config.ID, platform.ErrOutcomeUnknown)
	case deliverDeferred:
		h.worker.deferCall(func() { _, _ = f(context.WithoutCancel(ctx), r) })
		return none, fmt.Errorf("worker %s is paused: %w", h.worker.config.ID, platform.ErrOutcomeUnknown)
	}
	reply, err := f(ctx, r)
	if err == nil && h.worker.Faults.takeLostReply() {
		return none, fmt.Errorf("reply from worker %s was lost: %w", h.worker.config.ID, platform.ErrOutcomeUnknown)
	}
	return reply, err
}

// deferCall queues a call until Resume.
func (w *Worker) deferCall(call func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deferredCalls = append(w.deferredCalls, call)
}

// Report implements platform.Worker.
func (h *hostClient) Report(ctx context.Context) (platform.Report, error) {
	if h.worker.Faults.delivery(h.host) != deliverNow {
		return platform.Report{}, fmt.Errorf("report call to worker %s was lost: %w", h.worker.config.ID, platform.ErrOutcomeUnknown)
	}
	return h.worker.report(ctx)
}

// Start implements platform.Worker.
func (h *hostClient) Start(ctx context.Context, r platform.StartRequest) (platform.StartReply, error) {
	return deliverCall(h, ctx, r, h.worker.start)
}

// Renew implements platform.Worker.
func (h *hostClient) Renew(ctx context.Context, r platform.RenewRequest) (platform.RenewReply, error) {
	return deliverCall(h, ctx, r, h.worker.renew)
}

// Stop implements platform.Worker.
func (h *hostClient) Stop(ctx context.Context, r platform.StopRequest) (platform.StopReply, error) {
	return deliverCall(h, ctx, r, h.worker.stop)
}

// Throttle implements platform.Worker.
func (h *hostClient) Throttle(ctx context.Context, r platform.ThrottleRequest) (platform.ThrottleReply, error) {
	return deliverCall(h, ctx, r, h.worker.throttle)
}
