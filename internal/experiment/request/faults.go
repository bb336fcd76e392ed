package request

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// requestsPerFault is the number of requests between two faults.
	requestsPerFault = 1500
	faultPollPeriod  = 2 * time.Millisecond
	// doubleFaultPercent is the probability that a second fault follows immediately.
	doubleFaultPercent = 25
	// stopTimeout is the timeout for stopping a replaced entry.
	stopTimeout = 2 * time.Second
)

// injectFaults injects faults until done is closed.
func (o *oracle) injectFaults(done <-chan struct{}) error {
	rnd := rand.New(rand.NewPCG(o.config.Seed, 1))
	for next := int64(requestsPerFault); ; next += requestsPerFault {
		for o.sent.Load() < next {
			select {
			case <-done:
				return nil
			case <-time.After(faultPollPeriod):
			}
		}
		if err := o.injectFault(rnd); err != nil {
			return err
		}
		if rnd.IntN(100) < doubleFaultPercent {
			if err := o.injectFault(rnd); err != nil {
				return err
			}
		}
	}
}

// injectFault injects one random fault.
func (o *oracle) injectFault(rnd *rand.Rand) error {
	o.report.Events++
	b := o.testbed
	victim := rnd.IntN(len(b.replicas))
	switch rnd.IntN(6) {
	case 0:
		b.replicas[victim].server.Kill()
		return b.replaceEndpoint(victim)
	case 1:
		b.replicas[victim].server.SetLeaving()
		return b.replaceEndpoint(victim)
	case 2:
		b.replicas[victim].path.Blackhole()
	case 3:
		b.replicas[victim].path.Reset()
	case 4:
		return b.crashAndReplaceHost(rnd.IntN(len(b.hosts)))
	case 5:
		return b.stopAndReplaceHost(rnd.IntN(len(b.hosts)))
	}
	return nil
}

// replaceEndpoint replaces an endpoint in the directory by a new one.
func (b *testbed) replaceEndpoint(i int) error {
	b.retired = append(b.retired, b.replicas[i])
	b.replicas = append(b.replicas[:i], b.replicas[i+1:]...)
	if err := b.addReplica(); err != nil {
		return err
	}
	b.publish()
	return nil
}

// startReplacement starts a new entry for a host and directs the host's new connections
// to it.
func (b *testbed) startReplacement(h *host, i int) error {
	replacement := &host{}
	if err := b.startHost(replacement, i); err != nil {
		return err
	}
	h.settings, h.entry = replacement.settings, replacement.entry
	b.publish()
	if err := b.awaitDirectory(); err != nil {
		return err
	}
	h.path.Retarget(h.settings.Entry)
	return nil
}

// stopAndReplaceHost replaces an entry with a planned stop: a new entry takes over new
// connections before the old one drains and stops.
func (b *testbed) stopAndReplaceHost(i int) error {
	h := b.hosts[i]
	old := h.entry
	if err := b.startReplacement(h, i); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return old.Stop(ctx)
}

// crashAndReplaceHost simulates the crash of an entry host: callers' connections are
// reset and new ones are refused until a replacement runs. Requests in progress at the
// old entry may still continue until it has stopped.
func (b *testbed) crashAndReplaceHost(i int) error {
	h := b.hosts[i]
	h.path.RefuseNew(true)
	h.path.Reset()
	crashed := h.entry
	b.stopping.Add(1)
	go func() {
		defer b.stopping.Done()
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		crashed.Stop(ctx) //nolint:errcheck // the entry counts as crashed
	}()
	if err := b.startReplacement(h, i); err != nil {
		return err
	}
	h.path.RefuseNew(false)
	return nil
}
