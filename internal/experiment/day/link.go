package day

import (
	"context"
	"fmt"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
)

const (
	// hop is the time of one way to a worker.
	hop = time.Millisecond
	// orderTimeout is how long an order waits for an answer.
	orderTimeout = 400 * time.Millisecond
	// look is the time between two looks of a worker that waits for an end.
	look = 10 * time.Millisecond
)

// link is a host's way to the workers. It implements
// fleet.Workers and fleet.Machines.
type link struct {
	world *world
	host  *host
	// alive is closed when the program is killed; it gives no orders then.
	alive chan struct{}
}

var (
	_ fleet.Workers  = (*link)(nil)
	_ fleet.Machines = (*link)(nil)
)

// List implements fleet.Machines.
func (l *link) List(context.Context) ([]fleet.Machine, error) {
	if err := l.send(); err != nil {
		return nil, err
	}
	list := l.world.cluster.Machines(l.world.now())
	time.Sleep(hop)
	return list, nil
}

// Upkeep implements fleet.Machines.
func (l *link) Upkeep(_ context.Context, o fleet.UpkeepOrder) (fleet.MachineVerdict, error) {
	if err := l.send(); err != nil {
		return 0, err
	}
	v := l.world.cluster.Upkeep(l.world.now(), o)
	time.Sleep(hop)
	return v, nil
}

// send takes an order to its worker. It fails once the program was killed.
func (l *link) send() error {
	time.Sleep(hop)
	select {
	case <-l.alive:
		return fmt.Errorf("%w: killed", platform.ErrOutcomeUnknown)
	default:
		l.world.cluster.Advance(l.world.now())
		return nil
	}
}

// receive waits for the answer.
func receive(answered bool) error {
	if answered {
		time.Sleep(hop)
		return nil
	}
	time.Sleep(orderTimeout)
	return fmt.Errorf("%w: no answer", platform.ErrOutcomeUnknown)
}

// Start implements fleet.Workers.
func (l *link) Start(_ context.Context, w fleet.Worker, o fleet.StartOrder) (fleet.Answer, error) {
	if err := l.send(); err != nil {
		return fleet.Answer{}, err
	}
	a, answered := l.world.cluster.Start(l.world.now(), w.ID, o)
	return a, receive(answered)
}

// Stop implements fleet.Workers.
func (l *link) Stop(_ context.Context, w fleet.Worker, o fleet.StopOrder) (fleet.Answer, error) {
	if err := l.send(); err != nil {
		return fleet.Answer{}, err
	}
	a, answered := l.world.cluster.Stop(l.world.now(), w.ID, o)
	return a, receive(answered)
}

// Pace implements fleet.Workers.
func (l *link) Pace(_ context.Context, w fleet.Worker, o fleet.PaceOrder) (fleet.Answer, error) {
	if err := l.send(); err != nil {
		return fleet.Answer{}, err
	}
	a, answered := l.world.cluster.Pace(l.world.now(), w.ID, o)
	return a, receive(answered)
}

// Hold implements fleet.Workers.
func (l *link) Hold(ctx context.Context, w fleet.Worker, o fleet.HoldOrder) (fleet.Lists, error) {
	deadline := l.world.now() + o.Wait
	run := int64(0)
	for {
		if err := l.send(); err != nil {
			return fleet.Lists{}, err
		}
		lists, answered := l.world.cluster.Hold(l.world.now(), w.ID, o)
		if run != 0 && lists.Started != 0 && lists.Started != run {
			return fleet.Lists{}, receive(false)
		}
		run = lists.Started
		if !answered || len(lists.Ended) > 0 || l.world.now() >= deadline || ctx.Err() != nil {
			return lists, receive(answered)
		}
		time.Sleep(look)
	}
}
