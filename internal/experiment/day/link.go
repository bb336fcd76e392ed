package day

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
)

const (
	// networkDelay is the one-way network delay between a host and a worker.
	networkDelay = time.Millisecond
	// orderTimeout is how long a host waits for the answer to an order.
	orderTimeout = 400 * time.Millisecond
	// renewTimeout is how long a host waits for the answer to a renew order, in addition
	// to the time that the worker may wait.
	renewTimeout = 400 * time.Millisecond
	// endPollInterval is the interval at which a worker checks for ended tasks during a
	// long poll.
	endPollInterval = 10 * time.Millisecond
)

// link connects a host to the workers. It implements fleet.Workers and
// fleet.Machines.
type link struct {
	sim  *simulation
	host *host
	// killed is closed when the program is killed; orders fail from then on.
	killed chan struct{}
	// stalled is closed when the stall of the host ends. It is nil before the first one.
	stalled atomic.Pointer[chan struct{}]
}

var (
	_ fleet.Workers  = (*link)(nil)
	_ fleet.Machines = (*link)(nil)
)

// List implements fleet.Machines.
func (l *link) List(context.Context) ([]fleet.Machine, error) {
	if err := l.sendOrder(); err != nil {
		return nil, err
	}
	list := l.sim.cluster.Machines(l.sim.now())
	time.Sleep(networkDelay)
	return list, nil
}

// Upkeep implements fleet.Machines.
func (l *link) Upkeep(_ context.Context, o fleet.UpkeepOrder) (fleet.MachineVerdict, error) {
	if err := l.sendOrder(); err != nil {
		return 0, err
	}
	v := l.sim.cluster.Upkeep(l.sim.now(), o)
	time.Sleep(networkDelay)
	return v, nil
}

// sendOrder simulates the delivery of an order. It fails once the program has been
// killed.
func (l *link) sendOrder() error {
	time.Sleep(networkDelay)
	select {
	case <-l.killed:
		return fmt.Errorf("%w: host program was killed", platform.ErrOutcomeUnknown)
	default:
		l.sim.cluster.Advance(l.sim.now())
		return nil
	}
}

// sendTo simulates the delivery of an order to a worker, which waits for the end of a stall of
// the host, and for at most patience until a worker that is down is back: the run that is back
// under the worker's identifier takes orders that were meant for the run before. It returns when
// the order was sent.
func (l *link) sendTo(w fleet.Worker, patience time.Duration) (sent time.Duration, err error) {
	if stalled := l.stalled.Load(); stalled != nil {
		select {
		case <-*stalled:
		case <-l.killed:
		}
	}
	if err := l.sendOrder(); err != nil {
		return 0, err
	}
	sent = l.sim.now()
	for l.sim.cluster.Restarting(w.ID) && l.sim.now() < sent+patience {
		time.Sleep(endPollInterval)
	}
	return sent, nil
}

// awaitAnswer simulates the answer to an order sent at the time sent: a network delay, or a
// timeout if the worker did not answer.
func (l *link) awaitAnswer(sent time.Duration, answered bool) error {
	if answered {
		time.Sleep(networkDelay)
		return nil
	}
	time.Sleep(sent + orderTimeout - l.sim.now())
	return fmt.Errorf("%w: no answer from the worker", platform.ErrOutcomeUnknown)
}

// Start implements fleet.Workers.
func (l *link) Start(_ context.Context, w fleet.Worker, o fleet.StartOrder) (fleet.Answer, error) {
	sent, err := l.sendTo(w, orderTimeout)
	if err != nil {
		return fleet.Answer{}, err
	}
	if w.Addr == elsewhere {
		return fleet.Answer{Verdict: fleet.RefusedOtherRun}, l.awaitAnswer(sent, true)
	}
	l.sim.evacuations.checkStart(sent, l.host, w, o)
	a, answered := l.sim.cluster.Start(l.sim.now(), w.ID, o)
	return a, l.awaitAnswer(sent, answered)
}

// Stop implements fleet.Workers.
func (l *link) Stop(_ context.Context, w fleet.Worker, o fleet.StopOrder) (fleet.Answer, error) {
	sent, err := l.sendTo(w, orderTimeout)
	if err != nil {
		return fleet.Answer{}, err
	}
	if w.Addr == elsewhere {
		return fleet.Answer{Verdict: fleet.RefusedOtherRun}, l.awaitAnswer(sent, true)
	}
	a, answered := l.sim.cluster.Stop(l.sim.now(), w.ID, o)
	return a, l.awaitAnswer(sent, answered)
}

// Throttle implements fleet.Workers.
func (l *link) Throttle(_ context.Context, w fleet.Worker, o fleet.ThrottleOrder) (fleet.Answer, error) {
	sent, err := l.sendTo(w, orderTimeout)
	if err != nil {
		return fleet.Answer{}, err
	}
	if w.Addr == elsewhere {
		return fleet.Answer{Verdict: fleet.RefusedOtherRun}, l.awaitAnswer(sent, true)
	}
	a, answered := l.sim.cluster.Throttle(l.sim.now(), w.ID, o)
	return a, l.awaitAnswer(sent, answered)
}

// Renew implements fleet.Workers.
func (l *link) Renew(ctx context.Context, w fleet.Worker, o fleet.RenewOrder) (fleet.RenewReply, error) {
	deadline := l.sim.now() + o.Wait
	bootCount := int64(0)
	for {
		patience := renewTimeout
		if bootCount != 0 {
			// The run that accepted the order is over.
			patience = 0
		}
		sent, err := l.sendTo(w, patience)
		if err != nil {
			return fleet.RenewReply{}, err
		}
		if w.Addr == elsewhere {
			return fleet.RenewReply{Verdict: fleet.RefusedOtherRun}, l.awaitAnswer(sent, true)
		}
		reply, answered := l.sim.cluster.Renew(l.sim.now(), w.ID, o)
		// A worker that has restarted during the long poll no longer answers it.
		if bootCount != 0 && reply.Started != 0 && reply.Started != bootCount {
			return fleet.RenewReply{}, l.awaitAnswer(sent, false)
		}
		bootCount = reply.Started
		// The worker forgets ends when the order arrives, not those of the long poll.
		o.Acknowledged = 0
		if !answered || len(reply.Ended) > 0 || l.sim.now() >= deadline || ctx.Err() != nil {
			return reply, l.awaitAnswer(sent, answered)
		}
		time.Sleep(endPollInterval)
	}
}
