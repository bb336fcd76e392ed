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
	// maxStopBatch bounds the stop orders that are sent to a worker in one call. Batches double
	// after batchSamples of the present size, and halve if they take over quickBatch and carry less
	// than batchGain times the orders in the same time as half that size; batchRetry batches later
	// they double again.
	maxStopBatch = 64
	batchSamples = 3
	batchGain    = 1.3
	batchRetry   = 8
	quickBatch   = 20 * time.Millisecond
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
	// rowsPerStop bounds the rows that a worker lists for each stop order that it accepts while
	// more orders wait for it.
	rowsPerStop = 4
	// maxStopRenewPause bounds the pause between two renewals of such a worker. Lists that are
	// older than a second extend no lease.
	maxStopRenewPause = 600 * time.Millisecond
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
	// maxBatch bounds the orders in a batch.
	maxBatch int
	// batches are the batches in the window in the order in which they were sent, and some that
	// have left it since.
	batches []*stopBatch
	// waiting counts the orders that are not sent yet, inFlight those that wait for an answer.
	waiting, inFlight int
	workers           map[platform.WorkerID]*workerStops
	// turns are the workers with an order that waits and a free place for it, by urgency.
	turns [urgencies][]*workerStops
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

// urgency ranks stop orders: what a caller was promised goes before what makes room for others.
type urgency int

const (
	promised urgency = iota
	unpromised
	urgencies
)

// workerStops are the stop orders to one worker.
type workerStops struct {
	id      platform.WorkerID
	waiting [urgencies][]stopOrder
	// inFlight counts the batches that wait for their answers, limit bounds it.
	inFlight, limit int
	// batch is the number of orders in a batch, maxBatch bounds it. fastest is the least time of
	// the last samples batches of that size, rate the orders a second of the fastest one of half
	// that size, or zero.
	batch, maxBatch, samples int
	fastest                  time.Duration
	rate                     float64
	// accepted counts the orders that were answered since the worker's latest lists.
	accepted int
	inTurns  [urgencies]bool
}

// waits counts the orders that are not sent yet.
func (w *workerStops) waits() int { return len(w.waiting[promised]) + len(w.waiting[unpromised]) }

// stopOrder is a stop order that waits.
type stopOrder struct {
	scheduler.StopAction
	planned scheduler.Instant
}

// stopBatch are stop orders that were sent to a worker together at the time sentAt.
type stopBatch struct {
	worker  platform.WorkerID
	orders  []stopOrder
	sentAt  scheduler.Instant
	counted bool
}

// newStopQueue returns an empty queue. batches is set if several orders may be sent in one call.
func newStopQueue(batches bool) stopQueue {
	limit := 1
	if batches {
		limit = maxStopBatch
	}
	return stopQueue{maxBatch: limit, size: minStopWindow, workers: map[platform.WorkerID]*workerStops{}, unansweredAt: map[platform.WorkerID]scheduler.Instant{}, renewing: map[platform.WorkerID]bool{}}
}

// add queues an order that was planned at the given time.
func (q *stopQueue) add(planned scheduler.Instant, a scheduler.StopAction) {
	w := q.workers[a.Worker.ID]
	if w == nil {
		w = &workerStops{id: a.Worker.ID, limit: maxOrdersPerWorker, batch: 1, maxBatch: q.maxBatch}
		q.workers[a.Worker.ID] = w
	}
	if q.waiting+q.inFlight == 0 {
		q.answerTime, q.easyAnswer = 0, 0
	}
	u := unpromised
	if a.Promised {
		u = promised
	}
	w.waiting[u] = append(w.waiting[u], stopOrder{StopAction: a, planned: planned})
	if w.waits() > maxStopsPerWorker {
		w.limit = maxStopsPerWorker
	}
	q.waiting++
	q.takeTurn(w)
}

// takeTurn lets a worker take turns if it has an order and a place for it.
func (q *stopQueue) takeTurn(w *workerStops) {
	for u := range urgencies {
		if !w.inTurns[u] && len(w.waiting[u]) > 0 && q.hasRoom(w) {
			w.inTurns[u] = true
			q.turns[u] = append(q.turns[u], w)
		}
	}
}

// hasRoom reports whether one more order may be sent to a worker.
func (q *stopQueue) hasRoom(w *workerStops) bool {
	if _, unanswered := q.unansweredAt[w.id]; unanswered {
		return w.inFlight == 0 && !q.renewing[w.id]
	}
	return w.inFlight < max(maxOrdersPerWorker, w.limit/w.batch)
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

// next returns the next batch to send now, or nil if there is none or no room for it.
func (q *stopQueue) next(now scheduler.Instant) *stopBatch {
	q.leaveOverdue(now)
	for u := range urgencies {
		for len(q.turns[u]) > 0 && (!q.hasRoom(q.turns[u][0]) || len(q.turns[u][0].waiting[u]) == 0) {
			q.endTurn(u)
		}
		if len(q.turns[u]) > 0 {
			if q.counted >= int(q.size) {
				return nil
			}
			return q.takeBatch(now, q.endTurn(u), u)
		}
	}
	return nil
}

// takeBatch takes the next orders of a worker as sent.
func (q *stopQueue) takeBatch(now scheduler.Instant, w *workerStops, u urgency) *stopBatch {
	waiting, n := w.waiting[u], 1
	for n < min(w.batch, len(waiting)) && waiting[n].Worker.Addr == waiting[0].Worker.Addr {
		n++
	}
	b := &stopBatch{worker: w.id, orders: waiting[:n:n], sentAt: now, counted: true}
	w.waiting[u] = waiting[n:]
	w.inFlight++
	q.takeTurn(w)
	q.batches = append(q.batches, b)
	q.waiting -= n
	q.inFlight += n
	q.counted += n
	return b
}

// endTurn ends the first turn of an urgency.
func (q *stopQueue) endTurn(u urgency) *workerStops {
	w := q.turns[u][0]
	q.turns[u] = q.turns[u][1:]
	w.inTurns[u] = false
	return w
}

// overdueAfter is how long an order takes up room in the window. On a full link the window keeps
// answers faster than that.
func (q *stopQueue) overdueAfter() time.Duration { return shrinkAbove + q.easyAnswer }

// leaveOverdue frees the room of the batches that have waited for their answers for too long.
func (q *stopQueue) leaveOverdue(now scheduler.Instant) {
	for len(q.batches) > 0 && (!q.batches[0].counted || now-q.batches[0].sentAt >= q.overdueAfter()) {
		q.uncount(q.batches[0])
		q.batches[0] = nil
		q.batches = q.batches[1:]
	}
}

func (q *stopQueue) uncount(b *stopBatch) {
	if b.counted {
		b.counted = false
		q.counted -= len(b.orders)
	}
}

// heldUpUntil returns when the window next has room without a further answer, and whether orders
// wait for that.
func (q *stopQueue) heldUpUntil() (scheduler.Instant, bool) {
	if len(q.turns[promised])+len(q.turns[unpromised]) == 0 || len(q.batches) == 0 {
		return 0, false
	}
	return q.batches[0].sentAt + q.overdueAfter(), true
}

// release takes in that a batch is no longer under way.
func (q *stopQueue) release(b *stopBatch) {
	q.uncount(b)
	q.inFlight -= len(b.orders)
	w := q.workers[b.worker]
	w.inFlight--
	q.takeTurn(w)
	if w.inFlight == 0 && w.waits() == 0 {
		delete(q.workers, b.worker)
	}
}

// adjust adjusts the window and the worker's batches to a batch that was answered after took, or of
// which an order got no answer within it.
func (q *stopQueue) adjust(now scheduler.Instant, b *stopBatch, took time.Duration, answered bool) {
	q.workers[b.worker].adjustBatch(len(b.orders), took, answered)
	q.observe(took)
	slower := q.answerTime - q.easyAnswer
	// Fewer orders would not make a slow process faster, but they must not time out either.
	onLink := slower - q.lag
	switch {
	case onLink < growBelow && slower < shrinkAbove && answered && 2*q.counted >= int(q.size):
		q.size = min(maxStopWindow, q.size+float64(len(b.orders)))
	case (onLink > shrinkAbove || slower > shrinkAboveLagging) && now-q.shrunkAt >= shrinkInterval:
		q.size = max(minStopWindow, q.size*shrinkFactor)
		q.shrunkAt = now
	}
}

// adjustBatch adjusts the batches to one of n orders. They double while twice the orders take
// clearly less than twice the time, which holds whatever a call costs and wherever it waits, but not if
// the worker's own time for each order counts. A worker that leaves a part of a batch unanswered may
// take no such batches.
func (w *workerStops) adjustBatch(n int, took time.Duration, answered bool) {
	switch {
	case !answered:
		w.maxBatch = max(1, min(w.maxBatch, n/2))
		w.setBatch(1, 0)
		return
	case n != w.batch || w.limit < maxStopsPerWorker:
		return
	case took > shrinkAboveLagging:
		w.setBatch(max(1, n/2), 0)
		return
	}
	if w.samples++; w.samples <= 1 || took < w.fastest {
		w.fastest = took
	}
	if w.samples < batchSamples {
		return
	}
	rate := float64(n) / max(w.fastest, time.Microsecond).Seconds()
	switch {
	case n > 1 && w.fastest >= quickBatch && rate < batchGain*w.rate:
		w.setBatch(n/2, 0)
		w.samples = -batchRetry
	case 2*n <= w.maxBatch && w.fastest < shrinkAbove:
		w.setBatch(2*n, rate)
	default:
		w.samples = 0
	}
}

// setBatch sets the size of the batches and the rate with half that size.
func (w *workerStops) setBatch(n int, rate float64) { w.batch, w.rate, w.samples = n, rate, 0 }

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

// noteAnswers takes in how many orders a worker has answered, and whether one got no answer.
func (q *stopQueue) noteAnswers(now scheduler.Instant, id platform.WorkerID, answers int, unanswered bool) {
	if unanswered {
		q.unansweredAt[id] = now
	} else {
		delete(q.unansweredAt, id)
	}
	if w := q.workers[id]; w != nil {
		w.accepted += answers
	}
}

// noteLists takes in that a worker has answered with its lists.
func (q *stopQueue) noteLists(id platform.WorkerID) {
	if w := q.workers[id]; w != nil {
		w.accepted = 0
	}
}

// renewPause returns how long to wait between two renewals of a worker to which many stop orders
// wait and whose latest lists had the given number of rows. It lists all that it runs at each end,
// which takes the room and the processor time of the orders, so the next lists wait until it has
// accepted orders in proportion to them. In the pause of a worker that has not answered an order,
// the repeated order is sent.
func (q *stopQueue) renewPause(now scheduler.Instant, id platform.WorkerID, rows int) time.Duration {
	if at, unanswered := q.unansweredAt[id]; unanswered {
		if now-at < unansweredHold || q.workers[id] != nil {
			return maxRenewPause
		}
		delete(q.unansweredAt, id)
	}
	w := q.workers[id]
	if w == nil || w.limit < maxStopsPerWorker || w.waits() == 0 || rowsPerStop*(w.accepted-maxStopsPerWorker) >= rows {
		return 0
	}
	return maxStopRenewPause
}
