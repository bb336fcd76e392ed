package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/version/queue"
)

const (
	// maxRequestWorkers bounds the workers that one request names: the platform's
	// latency objective covers thirty.
	maxRequestWorkers = 30
	// maxOpenRequests bounds the requests in flight: the service answers one at a time.
	maxOpenRequests = 2
	// ticketMargin is how long before its expiry a ticket is no longer used.
	ticketMargin = 200 * time.Millisecond
	// adviceRetryDelay is the delay before a failed request is repeated.
	adviceRetryDelay = 200 * time.Millisecond
	// minAdviceTimeout and maxAdviceTimeout bound the wait for an answer, which is
	// adviceTimeoutFactor times as long as the answer usually takes.
	minAdviceTimeout    = time.Second
	maxAdviceTimeout    = 5 * time.Second
	adviceTimeoutFactor = 3
)

// advice holds the advice service's answers about a step.
type advice struct {
	// timing tells how long requests take and tickets are valid unless an answer says
	// otherwise.
	timing queue.Advice
	// failures counts the requests in a row that failed.
	failures int
	// pending is set while a request is in flight.
	pending bool
	// retryAt is when the next request may be sent.
	retryAt Instant
	answers map[platform.WorkerID]permission
}

// permission is the answer for one worker.
type permission struct {
	// ticket is empty if the worker may not run the step.
	ticket string
	// run is the worker run for which the answer is valid.
	run        int64
	validUntil Instant
}

// AdviceAction is a request to the advice service about which workers may run a step.
type AdviceAction struct {
	Request fleet.AdviceRequest
	// Timeout is how long to wait for the answer.
	Timeout time.Duration
}

// valid reports whether the answer can still be used.
func (p permission) valid(now Instant, w *workerState) bool {
	return p.run == w.run && now+ticketMargin < p.validUntil
}

// defaultTiming applies to a queue that was never declared to this owner. Its validity also
// applies if a queue declares none.
var defaultTiming = queue.Advice{Validity: time.Second}

// updateAdvice sets advice if the step's queue requires the advice service to permit workers,
// and removes it if the queue does not any more. A queue that is no longer declared keeps
// what applied last: workers still refuse the tasks of its jobs without a ticket.
func (r *stepRun) updateAdvice(q *queue.Queue) {
	switch {
	case q == nil:
	case q.Advice == nil:
		r.advice = nil
	default:
		r.requireAdvice(*q.Advice)
	}
}

// requireAdvice sets advice.
func (r *stepRun) requireAdvice(timing queue.Advice) {
	if r.advice == nil {
		r.advice = &advice{answers: map[platform.WorkerID]permission{}}
	}
	r.advice.timing = timing
}

// requestTimeout returns how long to wait for the answer to a request about n workers. The
// request may have to wait for the owner's other ones. The time doubles after each failure,
// since the service may be slow.
func (a *advice) requestTimeout(n int) time.Duration {
	usual := maxOpenRequests * (a.timing.Delay + time.Duration(n)*a.timing.DelayPerWorker)
	return min(maxAdviceTimeout, max(minAdviceTimeout, adviceTimeoutFactor*usual)<<min(a.failures, 3))
}

// permitted reports whether a step may run on a worker.
func (r *stepRun) permitted(now Instant, w *workerState) bool {
	if r.advice == nil {
		return true
	}
	p := r.advice.answers[w.info.ID]
	return p.ticket != "" && p.valid(now, w)
}

// ticket returns the ticket for an attempt on a worker, or "".
func (r *stepRun) ticket(w *workerState) string {
	if r.advice == nil {
		return ""
	}
	return r.advice.answers[w.info.ID].ticket
}

// requestAdvice asks the service about workers for a step, leaving out those with a valid
// answer.
func (p *placement) requestAdvice(r *stepRun, candidates []*workerState) {
	s, a := p.shard, r.advice
	if a.pending || p.now < a.retryAt || s.openAdviceRequests >= maxOpenRequests {
		return
	}
	workers := p.workersToAskAbout(r, candidates)
	if len(workers) == 0 {
		return
	}
	request := fleet.AdviceRequest{Job: r.job.id, Occurrence: r.occurrence, Step: r.stepIndex}
	for _, w := range workers {
		request.Workers = append(request.Workers, w.info.ID)
	}
	a.pending = true
	s.openAdviceRequests++
	s.pending.AdviceRequests = append(s.pending.AdviceRequests, AdviceAction{Request: request, Timeout: a.requestTimeout(len(workers))})
}

// workersToAskAbout returns the workers that the next request about a step names. Those
// with an expired ticket are certain to be permitted, but may be unfit for another reason,
// so they get half of the request. The others come in the order in which they were last asked
// about, the best first of those that were not: the answers on the best ones may expire
// sooner than all others are asked about.
func (p *placement) workersToAskAbout(r *stepRun, candidates []*workerState) []*workerState {
	s, a := p.shard, r.advice
	image := s.headroom.Image(r.spec.Image)
	var permitted, others []*workerState
	for _, w := range candidates {
		known := a.answers[w.info.ID]
		switch {
		case known.valid(p.now, w) || !feasible(r, w):
		case known.ticket != "" && known.run == w.run:
			permitted = append(permitted, w)
		default:
			others = append(others, w)
		}
	}
	askedAt := func(w *workerState) Instant {
		if known := a.answers[w.info.ID]; known.run == w.run {
			return known.validUntil
		}
		return 0
	}
	order := func(x, y *workerState) int {
		return cmp.Or(cmp.Compare(askedAt(x), askedAt(y)), cmp.Compare(s.score(r.spec, image, y), s.score(r.spec, image, x)))
	}
	slices.SortStableFunc(permitted, order)
	slices.SortStableFunc(others, order)
	first := permitted[:min(len(permitted), (s.adviceSize+1)/2)]
	list := slices.Concat(first, others, permitted[len(first):])
	return list[:min(len(list), s.adviceSize)]
}

// adjustAdviceSize adapts the number of workers in a request to the time that answers take:
// one that comes when its tickets have expired is of no use.
func (s *Shard) adjustAdviceSize(asked int, late bool) {
	switch {
	case late:
		s.adviceSize = max(1, min(s.adviceSize, asked/2))
	case asked == s.adviceSize:
		s.adviceSize = min(maxRequestWorkers, s.adviceSize+1)
	}
}

// AdviceAnswered handles the answer to a request. sent is when the request was sent;
// err is nil if the service answered.
func (s *Shard) AdviceAnswered(now, sent Instant, action AdviceAction, answer fleet.Advice, err error) {
	s.openAdviceRequests--
	r := s.findStep(action.Request)
	if r == nil || r.advice == nil {
		return
	}
	r.advice.pending = false
	r.triedAll = false
	if err != nil {
		r.advice.failures++
		r.advice.retryAt = now + adviceRetryDelay
		return
	}
	r.advice.failures = 0
	validity := cmp.Or(answer.Validity, r.advice.timing.Validity, defaultTiming.Validity)
	s.adjustAdviceSize(len(action.Request.Workers), now+ticketMargin >= sent+validity)
	for _, id := range action.Request.Workers {
		if w, ok := s.workers[id]; ok {
			r.advice.answers[id] = permission{ticket: answer.Tickets[id], run: w.run, validUntil: sent + validity}
		}
	}
}

// findStep returns the step that a request is about, or nil.
func (s *Shard) findStep(q fleet.AdviceRequest) *stepRun {
	j, ok := s.jobs[q.Job]
	if !ok {
		return nil
	}
	steps, held := j.findOccurrence(q.Occurrence)
	if !held {
		return nil
	}
	return steps[q.Step]
}

// discardTicket drops a ticket that a worker did not accept. If the step has none, its queue
// was dropped before this owner took over.
func (r *stepRun) discardTicket(w *workerState) {
	if r.advice == nil {
		r.requireAdvice(defaultTiming)
		return
	}
	delete(r.advice.answers, w.info.ID)
}
