package dispatch

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/process/event"
	"github.com/siskinvane/siskinvane/internal/process/pause"
	"github.com/siskinvane/siskinvane/internal/scheduler"
)

// sendOrders sends the orders of a plan made at planned. It waits neither for answers
// nor for orders that cannot be sent yet: starts are bounded by the plan, advice
// requests by the shard. orders are the starts' places in the window.
func (d *Dispatcher) sendOrders(planned scheduler.Instant, a scheduler.Actions, orders []*windowOrder) {
	d.addStops(planned, a.Stops)
	for i, start := range a.Starts {
		d.orders.submit(start.Worker.ID, func() { d.sendStart(start, orders[i]) })
	}
	for _, pace := range a.Throttles {
		d.throttles.submit(func() {
			sent := make(chan struct{})
			d.orders.submit(pace.Worker.ID, func() {
				defer close(sent)
				d.sendPace(planned, pace)
			})
			<-sent
		})
	}
	for _, ask := range a.AdviceRequests {
		d.goroutines.Go(func() { d.requestAdvice(ask) })
	}
}

// beginStart returns the order to send for a start action now. It reports false if the
// order must not be sent.
func (d *Dispatcher) beginStart(a scheduler.StartAction, o *windowOrder) (sent scheduler.Instant, current scheduler.StartAction, wanted bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	sent = d.Clock()
	d.shard.OwnershipConfirmed(sent - d.ConfirmationAge())
	current, wanted = d.shard.BeginStart(sent, a)
	if !wanted {
		d.starts.withdraw(o)
	}
	return sent, current, wanted
}

// startCurrent reports whether a start order may still be sent to its worker's run.
func (d *Dispatcher) startCurrent(a scheduler.StartAction) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shard.StartCurrent(d.Clock(), a)
}

func (d *Dispatcher) sendStart(a scheduler.StartAction, o *windowOrder) {
	d.contactWorker(a.Worker.ID)
	sent, current, wanted := d.beginStart(a, o)
	if !wanted {
		d.counter("starts.withdrawn").Inc(1)
		signal(d.planRequested)
		return
	}
	// The lease counts from before this check. A host that is suspended after it cannot
	// grant a lease that a later owner does not wait for. The worker may restart while the
	// host is suspended, so this is checked last.
	a = current
	mayAct := d.MayAct() && d.startCurrent(a)
	d.timer("starts.queued").Update(sent - o.addedAt)
	answer, err := fleet.Answer{}, scheduler.ErrWithheld
	if mayAct {
		overdue := time.AfterFunc(scheduler.StartOverdueAfter, func() {
			d.updateShard(func(s *scheduler.Shard, now scheduler.Instant) { s.StartOverdue(now, a) })
		})
		answer, err = d.Workers.Start(d.ctx, a.Worker, a.Order)
		overdue.Stop()
	}
	if answer.Verdict == fleet.RefusedFenced {
		d.Relinquish(ErrFenced)
		return
	}
	if err != nil || answer.Verdict != fleet.Accepted {
		d.countRefusedStart(answer.Verdict, err)
		event.StartNotAccepted.Log(d.Logger, logrus.Fields{
			"task": a.Order.Task.String(), "attempt": a.Order.Attempt, "worker": a.Worker.ID,
			"verdict": answer.Verdict.String(), "error": err,
			"queued_ms": (sent - o.addedAt).Milliseconds(), "answer_ms": (d.Clock() - sent).Milliseconds(),
			"run": a.Run, "run_age_ms": a.RunAge.Milliseconds(),
		})
	}
	d.updateShard(func(s *scheduler.Shard, now scheduler.Instant) {
		if mayAct {
			d.starts.finish(now, o, now-sent, err == nil)
		} else {
			d.starts.withdraw(o)
		}
		s.StartAnswered(now, a, answer, err)
	})
}

// addStops queues stop orders and sends those for which there is room.
func (d *Dispatcher) addStops(planned scheduler.Instant, stops []scheduler.StopAction) {
	if len(stops) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, stop := range stops {
		d.stops.add(planned, stop)
	}
	d.sendStops(d.Clock())
}

// sendStops sends the stop orders for which there is room, none after the dispatcher's end. The
// caller holds d.mu.
func (d *Dispatcher) sendStops(now scheduler.Instant) {
	if d.ctx.Err() != nil {
		return
	}
	for b := d.stops.next(now); b != nil; b = d.stops.next(now) {
		d.goroutines.Go(func() { d.sendStopBatch(b) })
	}
	if until, heldUp := d.stops.heldUpUntil(); heldUp && !d.stopTimer {
		d.stopTimer = true
		d.goroutines.Go(func() {
			// sendStops sends nothing once the context is done.
			_ = pause.For(d.ctx, until-now)
			d.mu.Lock()
			defer d.mu.Unlock()
			d.stopTimer = false
			d.sendStops(d.Clock())
		})
	}
}

// sendStopBatch sends a batch of stop orders and takes in their outcomes.
func (d *Dispatcher) sendStopBatch(b *stopBatch) {
	outcomes := slices.Repeat([]fleet.StopOutcome{{Err: ErrFenced}}, len(b.orders))
	mayAct := d.MayAct()
	if mayAct {
		d.timer("stops.queued").Update(b.sentAt - b.orders[0].planned)
		outcomes = d.stopAll(b.orders)
	}
	answers := 0
	for _, o := range outcomes {
		if o.Answer.Verdict == fleet.RefusedFenced {
			d.Relinquish(ErrFenced)
			return
		}
		if o.Err == nil {
			answers++
		}
	}
	d.updateShard(func(s *scheduler.Shard, now scheduler.Instant) {
		if mayAct {
			d.stops.adjust(now, b, now-b.sentAt, answers == len(outcomes))
			d.stops.noteAnswers(now, b.worker, answers, answers < len(outcomes))
		}
		d.stops.release(b)
		d.sendStops(now)
		for i, o := range outcomes {
			s.StopAnswered(now, b.orders[i].StopAction, o.Answer, o.Err)
		}
	})
}

// stopAll sends stop orders to one worker, several of them in one call if the client of the workers
// can do that.
func (d *Dispatcher) stopAll(orders []stopOrder) []fleet.StopOutcome {
	w := orders[0].Worker
	batcher, ok := d.Workers.(fleet.BatchStopper)
	if !ok || len(orders) == 1 {
		answer, err := d.Workers.Stop(d.ctx, w, orders[0].Order)
		return []fleet.StopOutcome{{Answer: answer, Err: err}}
	}
	batch := make([]fleet.StopOrder, len(orders))
	for i, o := range orders {
		batch[i] = o.Order
	}
	return batcher.StopAll(d.ctx, w, batch)
}

func (d *Dispatcher) sendPace(planned scheduler.Instant, a scheduler.ThrottleAction) {
	answer, err := fleet.Answer{}, ErrFenced
	if d.MayAct() {
		d.timer("throttles.queued").Update(d.Clock() - planned)
		answer, err = d.Workers.Throttle(d.ctx, a.Worker, a.Order)
	}
	if answer.Verdict == fleet.RefusedFenced {
		d.Relinquish(ErrFenced)
	}
	if err != nil {
		event.PaceFailed.Log(d.Logger, logrus.Fields{"task": a.Order.Task.String(), "worker": a.Worker.ID, "error": err})
	}
	d.updateShard(func(s *scheduler.Shard, now scheduler.Instant) { s.ThrottleAnswered(now, a, answer, err) })
}

var errNoAdvisor = errors.New("no advice service is set")

func (d *Dispatcher) requestAdvice(a scheduler.AdviceAction) {
	askedAt, answer, err := d.Clock(), fleet.Advice{}, errNoAdvisor
	if d.Advisor != nil {
		ctx, cancel := context.WithTimeout(d.ctx, a.Timeout)
		defer cancel()
		answer, err = d.Advisor.Advise(ctx, a.Request)
	}
	if err == nil && len(answer.Unreadable) > 0 {
		event.AdviceUnreadable.Log(d.Logger, logrus.Fields{"rows": len(answer.Unreadable), "error": answer.Unreadable[0]})
	}
	if err != nil {
		d.counter("advice.failed").Inc(1)
		event.AdviceFailed.Log(d.Logger, logrus.Fields{
			"job": a.Request.Job, "step": a.Request.Step, "workers": len(a.Request.Workers), "timeout_ms": a.Timeout.Milliseconds(), "error": err,
		})
	} else {
		d.timer("advice").Update(d.Clock() - askedAt)
	}
	d.updateShard(func(s *scheduler.Shard, now scheduler.Instant) { s.AdviceAnswered(now, askedAt, a, answer, err) })
}
