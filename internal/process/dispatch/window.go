package dispatch

import (
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/scheduler"
)

const (
	// minStartWindow and maxStartWindow bound the start orders in flight, and
	// initialStartWindow applies after a takeover.
	minStartWindow     = 2
	initialStartWindow = 16
	maxStartWindow     = 256
	// growBelow is the smoothed answer time below which the window grows, shrinkAbove
	// that above which it shrinks. Both are well below the time that an order waits for
	// its answer, so that orders do not time out because of the queue on the link.
	growBelow   = 75 * time.Millisecond
	shrinkAbove = 150 * time.Millisecond
	// shrinkAboveLagging replaces shrinkAbove for the part of the answer time that is
	// the process's own lag: fewer orders would not make a slow host faster, but they
	// must not time out either.
	shrinkAboveLagging = 280 * time.Millisecond
	// shrinkFactor is applied to the window at most once per shrinkInterval, since
	// answers show the effect only after a round trip.
	shrinkFactor   = 0.7
	shrinkInterval = 100 * time.Millisecond
	// answerTimeWeight is the weight of one answer in the smoothed answer time. A tenth
	// of unanswered orders does not keep the window small.
	answerTimeWeight = 1.0 / 8
	// overdueAfter is how long an order takes up room in the window. On a full link the
	// window keeps answers faster than that; an order that waits longer was probably
	// sent to a worker that is lost, and must not hold up the others.
	overdueAfter = shrinkAbove
)

// startWindow is the congestion window of start orders. It controls how many may be in
// flight by additive increase and multiplicative decrease (AIMD) on their smoothed
// answer time: on a full link answers slow down long before orders are lost. It is not
// safe for concurrent use.
type startWindow struct {
	size float64
	// inFlight counts the orders in flight, counted those that are not overdue.
	inFlight, counted int
	// orders are the counted orders in the order in which they were added, and some that
	// have left the window since.
	orders []*windowOrder
	// answerTime is the smoothed answer time, an exponentially weighted moving average,
	// and linkTime the part of it that the process's own lag does not explain.
	answerTime, linkTime time.Duration
	// lag is how late the process runs what is due.
	lag time.Duration
	// answers counts the answered orders. silent holds the workers that left their last
	// order unanswered, with the value of answers at that time.
	answers int
	silent  map[platform.WorkerID]int
	// shrunkAt is when the window last shrank.
	shrunkAt scheduler.Instant
}

// windowOrder is an order in flight.
type windowOrder struct {
	worker  platform.WorkerID
	addedAt scheduler.Instant
	counted bool
}

func newStartWindow() startWindow {
	return startWindow{size: initialStartWindow, silent: map[platform.WorkerID]int{}}
}

const (
	// renewPauseFactor is the pause between two renewals of a worker as a multiple of
	// the smoothed answer time.
	renewPauseFactor = 4
	// maxRenewPause bounds that pause: with the worker's wait and the time for an
	// unanswered order, the next lease must be granted before the last one expires.
	maxRenewPause = 400 * time.Millisecond
)

// renewPause returns how long to wait between two renewals of a worker for the sake of
// the link: nothing while answers are fast. A worker answers each renewal at its next
// end, so without a pause renewals grow with the ends and leave no room for starts.
func (w *startWindow) renewPause() time.Duration {
	if w.inFlight == 0 || w.answerTime < growBelow {
		return 0
	}
	return min(maxRenewPause, renewPauseFactor*w.answerTime)
}

// available returns how many more orders may be sent, not less than zero.
func (w *startWindow) available(now scheduler.Instant) int {
	for len(w.orders) > 0 && (!w.orders[0].counted || now-w.orders[0].addedAt > overdueAfter) {
		w.uncount(w.orders[0])
		w.orders = w.orders[1:]
	}
	return max(0, int(w.size)-w.counted)
}

// uncount frees the room that an order takes up.
func (w *startWindow) uncount(o *windowOrder) {
	if o.counted {
		o.counted = false
		w.counted--
	}
}

// add counts an order to a worker as in flight.
func (w *startWindow) add(now scheduler.Instant, worker platform.WorkerID) *windowOrder {
	o := &windowOrder{worker: worker, addedAt: now, counted: true}
	w.orders = append(w.orders, o)
	w.inFlight++
	w.counted++
	return o
}

// withdraw counts an order that was not sent as no longer in flight.
func (w *startWindow) withdraw(o *windowOrder) {
	w.inFlight--
	w.uncount(o)
}

// finish counts an order as no longer in flight that was sent took ago, and adjusts the
// window. answered is false if no answer came within took.
func (w *startWindow) finish(now scheduler.Instant, o *windowOrder, took time.Duration, answered bool) {
	used := 2*w.counted >= int(w.size)
	w.withdraw(o)
	if w.representative(o.worker, answered) {
		w.answerTime += time.Duration(answerTimeWeight * float64(took-w.answerTime))
		w.linkTime += time.Duration(answerTimeWeight * float64(max(0, took-w.lag)-w.linkTime))
	}
	switch {
	case w.answerTime < growBelow && answered && used:
		// Answers to a few orders say nothing of a window that is not used.
		w.size = min(maxStartWindow, w.size+1)
	case (w.linkTime > shrinkAbove || w.answerTime > shrinkAboveLagging) && now-w.shrunkAt >= shrinkInterval:
		w.size = max(minStartWindow, w.size*shrinkFactor)
		w.shrunkAt = now
	}
}

// representative reports whether the outcome of an order tells of the host's link, and
// notes it. A worker that leaves one order after the other unanswered while others
// answer is itself the cause.
func (w *startWindow) representative(worker platform.WorkerID, answered bool) bool {
	if answered {
		w.answers++
		delete(w.silent, worker)
		return true
	}
	before, silent := w.silent[worker]
	w.silent[worker] = w.answers
	return !silent || before == w.answers
}
