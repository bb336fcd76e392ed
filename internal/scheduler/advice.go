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
	// ticketMargin is how long before its expiry a ticket is no longer used.
	ticketMargin = 200 * time.Millisecond
	// adviceRetryDelay is the delay before a failed request is repeated.
	adviceRetryDelay = 200 * time.Millisecond
)

// advice holds the advice service's answers about a step.
type advice struct {
	// timing is that of the step's queue.
	timing *adviceTiming
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
	// timing is that of the step's queue, and expected the time that the answer should take.
	timing   *adviceTiming
	expected time.Duration
}

// valid reports whether the answer can still be used.
func (p permission) valid(now Instant, w *workerState) bool {
	return p.run == w.run && now+ticketMargin < p.validUntil
}

// updateAdvice sets advice if the step's queue requires the advice service to permit workers,
// and removes it if the queue does not any more. A queue that is no longer declared keeps
// what applied last: workers still refuse the tasks of its jobs without a ticket.
func (s *Shard) updateAdvice(r *stepRun) {
	switch q := s.config.Queues[r.job.sub.Queue]; {
	case q == nil:
	case q.Advice == nil:
		r.advice = nil
	default:
		r.requireAdvice(s.adviceCalls.timing(q.Name, *q.Advice))
	}
}

// requireAdvice sets advice.
func (r *stepRun) requireAdvice(timing *adviceTiming) {
	if r.advice == nil {
		r.advice = &advice{answers: map[platform.WorkerID]permission{}}
	}
	r.advice.timing = timing
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
	if a.pending || p.now < a.retryAt || !s.adviceCalls.hasRoom(a.timing) {
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
	s.pending.AdviceRequests = append(s.pending.AdviceRequests, s.adviceCalls.begin(a.timing, request))
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
	size := a.timing.size()
	first := permitted[:min(len(permitted), (size+1)/2)]
	list := slices.Concat(first, others, permitted[len(first):])
	return list[:min(len(list), size)]
}

// AdviceAnswered handles the answer to a request. sent is when the request was sent;
// err is nil if the service answered.
func (s *Shard) AdviceAnswered(now, sent Instant, action AdviceAction, answer fleet.Advice, err error) {
	begun := s.adviceCalls.end(now, sent, action)
	timing, asked := action.timing, len(action.Request.Workers)
	if err == nil {
		timing.answered(asked, now-begun, answer.Validity)
	} else if isUnanswered(err) {
		timing.notAnswered(asked)
	}
	r := s.findStep(action.Request)
	if r == nil || r.advice == nil {
		return
	}
	r.advice.pending = false
	r.triedAll = false
	if err != nil {
		r.advice.retryAt = now + adviceRetryDelay
		return
	}
	validUntil := begun + timing.validity
	if now+ticketMargin >= validUntil {
		s.notes.LateAdvice = append(s.notes.LateAdvice, LateAdviceNote{
			Job: action.Request.Job, Step: action.Request.Step, Workers: asked, Took: now - begun, Validity: timing.validity,
		})
		if timing.neverInTime(asked) {
			// Such tickets can be used only if they are valid from the answer on. A worker
			// refuses the start if they are not.
			validUntil = now + timing.validity
		}
	}
	for _, id := range action.Request.Workers {
		if w, ok := s.workers[id]; ok {
			r.advice.answers[id] = permission{ticket: answer.Tickets[id], run: w.run, validUntil: validUntil}
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
		r.requireAdvice(newAdviceTiming(queue.Advice{}))
		return
	}
	delete(r.advice.answers, w.info.ID)
}
