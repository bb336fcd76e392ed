package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/bootclock"
)

const (
	// probeInterval is the time between two reads of the shard's partition while calls to it
	// wait for an answer. It is half of outageThreshold, so that a slow append alone never
	// counts as an outage.
	probeInterval = outageThreshold / 2
	// ownerSilenceCheck is how long a host whose owner gets no answers waits for one of its own.
	// The store may turn away the owner alone.
	ownerSilenceCheck = 400 * time.Millisecond
)

// unservedTime measures for how long calls have waited while the store has served none. It is not
// safe for concurrent use.
type unservedTime struct {
	underway int
	// unserved is set if a call has ended in vain since the store last served one.
	unserved bool
	since    time.Duration
}

// callResult is how a call to the store ended.
type callResult int

const (
	// callServed means that the store carried the call out or judged its content.
	callServed callResult = iota
	// callUnserved means that the call was refused, not sent, or not answered in time.
	callUnserved
	// callAbandoned means that the caller gave up early, which tells nothing.
	callAbandoned
)

// begin records that a call is sent.
func (s *unservedTime) begin(now time.Duration) {
	if s.underway == 0 && !s.unserved {
		s.since = now
	}
	s.underway++
}

// end records the result of a call.
func (s *unservedTime) end(now time.Duration, r callResult) {
	s.underway--
	switch r {
	case callServed:
		s.unserved, s.since = false, now
	case callUnserved:
		s.unserved = true
	case callAbandoned:
	}
}

// lasts returns the length of the silence, or zero if no call waits or has ended in vain.
func (s *unservedTime) lasts(now time.Duration) time.Duration {
	if s.underway == 0 && !s.unserved {
		return 0
	}
	return now - s.since
}

// partitionAnswers observes the calls of this host to the shard's partition, which the store may
// leave unanswered while it answers joins. It is safe for concurrent use.
type partitionAnswers struct {
	clock bootclock.Clock
	// probe starts a read of the partition, and changed is told when an outage begins, and
	// when it ends how long it was. Neither may block.
	probe   func()
	changed func(away bool, lasted time.Duration)

	mu      sync.Mutex
	silence unservedTime
	timer   *time.Timer
	// checks counts the checks since the silence began.
	checks int
	// servedAt is when the store last served a call; served is closed at the next one.
	servedAt time.Duration
	served   chan struct{}
	// awayCtx is done during an outage, that is once the silence exceeds outageThreshold.
	awayCtx context.Context
	setAway context.CancelFunc
	// outageCtx is done when an outage ends.
	outageCtx context.Context
	endOutage context.CancelFunc
	closed    bool
}

func newPartitionAnswers(clock bootclock.Clock, probe func(), changed func(away bool, lasted time.Duration)) *partitionAnswers {
	a := &partitionAnswers{clock: clock, probe: probe, changed: changed, served: make(chan struct{})}
	a.awayCtx, a.setAway = context.WithCancel(context.Background())
	a.outageCtx, a.endOutage = context.WithCancel(context.Background())
	return a
}

// close ends the probes.
func (a *partitionAnswers) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	if a.timer != nil {
		a.timer.Stop()
	}
}

// observe makes a call for a caller that waits until ctx is done.
func (a *partitionAnswers) observe(ctx context.Context, call func() error) error {
	sent := a.clock()
	a.mu.Lock()
	waiting := a.silence.lasts(sent) > 0 || a.silence.underway > 0
	a.silence.begin(sent)
	if !waiting {
		a.checks = 0
		a.schedule()
	}
	a.mu.Unlock()
	err := call()
	now := a.clock()
	a.end(now, resultOf(err, ctx.Err() != nil && now-sent < probeInterval))
	return err
}

// resultOf classifies the error of a call.
func resultOf(err error, givenUp bool) callResult {
	switch outcomeOf(err) {
	case "", "fenced", "expired":
		return callServed
	}
	if givenUp && errors.Is(err, platform.ErrOutcomeUnknown) {
		return callAbandoned
	}
	return callUnserved
}

// end records the result of a call.
func (a *partitionAnswers) end(now time.Duration, r callResult) {
	a.mu.Lock()
	lasted, away := a.silence.lasts(now), a.awayCtx.Err() != nil
	a.silence.end(now, r)
	if r != callServed {
		a.mu.Unlock()
		return
	}
	a.servedAt = now
	close(a.served)
	a.served = make(chan struct{})
	if away {
		a.awayCtx, a.setAway = context.WithCancel(context.Background())
		a.endOutage()
		a.outageCtx, a.endOutage = context.WithCancel(context.Background())
	}
	a.checks = 0
	if a.silence.underway > 0 {
		a.schedule()
	} else if a.timer != nil {
		a.timer.Stop()
	}
	a.mu.Unlock()
	if away {
		a.changed(false, lasted)
	}
}

// schedule sets the time of the next check. The caller holds mu.
func (a *partitionAnswers) schedule() {
	switch {
	case a.closed:
	case a.timer == nil:
		a.timer = time.AfterFunc(probeInterval, a.check)
	default:
		a.timer.Reset(probeInterval)
	}
}

// check starts a probe if the silence goes on, and an outage if it has lasted for outageThreshold and
// a probe has got no answer: the time may have passed while the host was suspended.
func (a *partitionAnswers) check() {
	a.mu.Lock()
	lasted := a.silence.lasts(a.clock())
	a.checks++
	begins := lasted >= outageThreshold && a.checks > 1 && a.awayCtx.Err() == nil
	if begins {
		a.setAway()
	}
	if lasted > 0 {
		a.schedule()
	}
	a.mu.Unlock()
	if lasted > 0 {
		a.probe()
	}
	if begins {
		a.changed(true, lasted)
	}
}

// lasts returns for how long the store has served no call to the partition.
func (a *partitionAnswers) lasts() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.silence.lasts(a.clock())
}

// away reports whether the partition is not served, and for how long.
func (a *partitionAnswers) away() (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.silence.lasts(a.clock()), a.awayCtx.Err() != nil
}

// untilAway returns a context that is also cancelled once the partition is not served.
func (a *partitionAnswers) untilAway(ctx context.Context) (context.Context, context.CancelFunc) {
	a.mu.Lock()
	awayCtx := a.awayCtx
	a.mu.Unlock()
	return alsoUntil(ctx, awayCtx)
}

// untilRegained returns a context that is also cancelled when an outage ends, for calls that are
// then made again: they may wait on a connection that stays silent.
func (a *partitionAnswers) untilRegained(ctx context.Context) (context.Context, context.CancelFunc) {
	a.mu.Lock()
	outageCtx := a.outageCtx
	a.mu.Unlock()
	return alsoUntil(ctx, outageCtx)
}

// alsoUntil returns a context that is done when ctx or other is.
func alsoUntil(ctx, other context.Context) (context.Context, context.CancelFunc) {
	limited, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(other, cancel)
	return limited, func() { stop(); cancel() }
}

// reached reports whether the store serves the partition's calls to this host: it has done so
// within ownerSilenceCheck or does so in that time.
func (a *partitionAnswers) reached(ctx context.Context) bool {
	a.mu.Lock()
	recently := a.servedAt > 0 && a.clock()-a.servedAt < ownerSilenceCheck
	served, away := a.served, a.awayCtx.Err() != nil
	a.mu.Unlock()
	if recently || away {
		return recently
	}
	a.probe()
	timeout := time.NewTimer(ownerSilenceCheck)
	defer timeout.Stop()
	select {
	case <-served:
		return true
	case <-timeout.C:
	case <-ctx.Done():
	}
	return false
}
