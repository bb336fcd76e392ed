package dispatch

import (
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/scheduler"
)

const (
	// maxStopsPerWorker bounds the stop orders to one worker that wait for their answers once more
	// than that many have waited to be sent to it. The usual few need no more connections than
	// other orders, maxOrdersPerWorker.
	maxStopsPerWorker = 16
	// minStopWindow and maxStopWindow bound the stop orders to all workers that wait for their
	// answers and are not overdue.
	minStopWindow = 128
	maxStopWindow = 4096
	// maxEasyAnswer bounds the answer time that is put down to the workers, so that orders do not
	// time out on a full link.
	maxEasyAnswer = 200 * time.Millisecond
	// quartileRise and quartileFall are the steps by which the estimate of the lower quartile of
	// the answer times follows an answer above or below it. It settles where three of four
	// answers are above.
	quartileRise = 1.02
	quartileFall = 1 / (1 + 3*(quartileRise-1))
	// unansweredHold is for how long renewals of a worker pause after an order without an answer:
	// two repetitions of the order.
	unansweredHold = time.Second
)

// stopQueue holds the stop orders of a shard. Jobs, users and faults can make their number as large
// as all running tasks at once, so it bounds how many are under way: to each worker by the
// connections to it, in all by a congestion window on how much longer answers take than at the
// beginning of a burst. The window follows the fastest quarter of the answers, which a full link and
// a busy process slow down like all others, but slow and lost workers do not. Workers take turns, so
// that one that answers late holds up its own orders only. It is not safe for concurrent use.
type stopQueue struct {
	// size is the congestion window, counted the orders in it.
	size    float64
	counted int
	// orders are the orders in the window in the order in which they were sent, and some that
	// have left it since.
	orders []*stopOrder
	// waiting counts the orders that are not sent yet, inFlight those that wait for an answer.
	waiting, inFlight int
	workers           map[platform.WorkerID]*workerStops
	// turns are the workers with an order that waits and a free place for it.
	turns []*workerStops
	// answerTime is the estimated lower quartile of the answer times, easyAnswer its least value,
	// both since no order was under way, or zero before the first answer.
	answerTime, easyAnswer time.Duration
	// lag is how late the process runs what is due.
	lag time.Duration
	// shrunkAt is when the window last shrank.
	shrunkAt scheduler.Instant
	// unansweredAt is when an order to a worker last got no answer. Such a worker may accept no
	// connection but that of its renewals, so its orders go out one by one between them.
	unansweredAt map[platform.WorkerID]scheduler.Instant
	// renewing are the workers with a renewal under way.
	renewing map[platform.WorkerID]bool
}

// workerStops are the stop orders to one worker.
type workerStops struct {
	id      platform.WorkerID
	waiting []*stopOrder
	// inFlight counts the orders that wait for their answers, limit bounds it.
	inFlight, limit int
	inTurns         bool
}

// stopOrder is a stop order that waits, or that was sent at the time sentAt.
type stopOrder struct {
	scheduler.StopAction
	planned, sentAt scheduler.Instant
	counted         bool
}

func newStopQueue() stopQueue {
	return stopQueue{size: minStopWindow, workers: map[platform.WorkerID]*workerStops{}, unansweredAt: map[platform.WorkerID]scheduler.Instant{}, renewing: map[platform.WorkerID]bool{}}
}

// add queues an order that was planned at the given time.
func (q *stopQueue) add(planned scheduler.Instant, a scheduler.StopAction) {
	w := q.workers[a.Worker.ID]
	if w == nil {
		w = &workerStops{id: a.Worker.ID, limit: maxOrdersPerWorker}
		q.workers[a.Worker.ID] = w
	}
	if q.waiting+q.inFlight == 0 {
		q.answerTime, q.easyAnswer = 0, 0
	}
	w.waiting = append(w.waiting, &stopOrder{StopAction: a, planned: planned})
	if len(w.waiting) > maxStopsPerWorker {
		w.limit = maxStopsPerWorker
	}
	q.waiting++
	q.takeTurn(w)
}

// takeTurn lets a worker take turns if it has an order and a place for it.
func (q *stopQueue) takeTurn(w *workerStops) {
	if !w.inTurns && len(w.waiting) > 0 && q.hasRoom(w) {
		w.inTurns = true
		q.turns = append(q.turns, w)
	}
}

// hasRoom reports whether one more order may be sent to a worker.
func (q *stopQueue) hasRoom(w *workerStops) bool {
	if _, unanswered := q.unansweredAt[w.id]; unanswered {
		return w.inFlight == 0 && !q.renewing[w.id]
	}
	return w.inFlight < w.limit
}

// beginRenewal takes in that a renewal of a worker is sent.
func (q *stopQueue) beginRenewal(id platform.WorkerID) { q.renewing[id] = true }

// endRenewal takes in that a renewal of a worker has ended.
func (q *stopQueue) endRenewal(id platform.WorkerID) {
	delete(q.renewing, id)
	if w := q.workers[id]; w != nil {
		q.takeTurn(w)
	}
}

// next returns the next order to send now, or nil if there is none or no room for it.
func (q *stopQueue) next(now scheduler.Instant) *stopOrder {
	q.leaveOverdue(now)
	for len(q.turns) > 0 && !q.hasRoom(q.turns[0]) {
		q.endTurn()
	}
	if len(q.turns) == 0 || q.counted >= int(q.size) {
		return nil
	}
	w := q.endTurn()
	o := w.waiting[0]
	w.waiting[0] = nil
	w.waiting = w.waiting[1:]
	w.inFlight++
	q.takeTurn(w)
	o.sentAt, o.counted = now, true
	q.orders = append(q.orders, o)
	q.waiting--
	q.inFlight++
	q.counted++
	return o
}

// endTurn ends the first turn.
func (q *stopQueue) endTurn() *workerStops {
	w := q.turns[0]
	q.turns = q.turns[1:]
	w.inTurns = false
	return w
}

// overdueAfter is how long an order takes up room in the window. On a full link the window keeps
// answers faster than that.
func (q *stopQueue) overdueAfter() time.Duration { return shrinkAbove + q.easyAnswer }

// leaveOverdue frees the room of the orders that have waited for their answers for too long.
func (q *stopQueue) leaveOverdue(now scheduler.Instant) {
	for len(q.orders) > 0 && (!q.orders[0].counted || now-q.orders[0].sentAt >= q.overdueAfter()) {
		q.uncount(q.orders[0])
		q.orders[0] = nil
		q.orders = q.orders[1:]
	}
}

func (q *stopQueue) uncount(o *stopOrder) {
	if o.counted {
		o.counted = false
		q.counted--
	}
}

// heldUpUntil returns when the window next has room without a further answer, and whether orders
// wait for that.
func (q *stopQueue) heldUpUntil() (scheduler.Instant, bool) {
	if len(q.turns) == 0 || len(q.orders) == 0 {
		return 0, false
	}
	return q.orders[0].sentAt + q.overdueAfter(), true
}

// release takes in that an order is no longer under way.
func (q *stopQueue) release(o *stopOrder) {
	q.uncount(o)
	q.inFlight--
	w := q.workers[o.Worker.ID]
	w.inFlight--
	q.takeTurn(w)
	if w.inFlight == 0 && len(w.waiting) == 0 {
		delete(q.workers, o.Worker.ID)
	}
}

// adjust adjusts the window to an order that was answered after took, or that got no answer within
// it.
func (q *stopQueue) adjust(now scheduler.Instant, took time.Duration, answered bool) {
	q.observe(took)
	slower := q.answerTime - q.easyAnswer
	switch {
	case slower < growBelow && answered && 2*q.counted >= int(q.size):
		q.size = min(maxStopWindow, q.size+1)
	case slower > q.shrinkAbove() && now-q.shrunkAt >= shrinkInterval:
		q.size = max(minStopWindow, q.size*shrinkFactor)
		q.shrunkAt = now
	}
}

// shrinkAbove is the additional answer time above which the window shrinks. Fewer orders would not
// make a slow process faster, but they must not time out either.
func (q *stopQueue) shrinkAbove() time.Duration { return min(shrinkAbove+q.lag, shrinkAboveLagging) }

// observe moves the estimated lower quartile of the answer times towards an answer.
func (q *stopQueue) observe(took time.Duration) {
	switch {
	case q.answerTime == 0:
		q.answerTime, q.easyAnswer = took, min(took, maxEasyAnswer)
	case took > q.answerTime:
		q.answerTime = min(took, time.Duration(quartileRise*float64(q.answerTime)))
	default:
		q.answerTime = max(took, time.Duration(quartileFall*float64(q.answerTime)))
	}
	q.easyAnswer = min(q.easyAnswer, q.answerTime)
}

// noteAnswer takes in whether a worker has answered an order.
func (q *stopQueue) noteAnswer(now scheduler.Instant, id platform.WorkerID, answered bool) {
	if answered {
		delete(q.unansweredAt, id)
	} else {
		q.unansweredAt[id] = now
	}
}

// renewPause returns how long to wait between two renewals of a worker to which many stop orders
// wait: it lists all that it runs at each end, which takes the room and the processor time of the
// orders. In the pause of one that has not answered an order, the repeated order is sent.
func (q *stopQueue) renewPause(now scheduler.Instant, id platform.WorkerID) time.Duration {
	if at, unanswered := q.unansweredAt[id]; unanswered {
		if now-at < unansweredHold || q.workers[id] != nil {
			return maxRenewPause
		}
		delete(q.unansweredAt, id)
	}
	if w := q.workers[id]; w == nil || w.limit < maxStopsPerWorker || len(w.waiting) == 0 {
		return 0
	}
	return maxRenewPause
}
