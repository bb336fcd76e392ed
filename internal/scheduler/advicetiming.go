package scheduler

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/version/queue"
)

const (
	// maxRequestWorkers bounds the workers that one request names: the platform's
	// latency objective covers thirty.
	maxRequestWorkers = 30
	// promptAdvice is the time that a request may take where the service allows it: two in turn fit
	// into the 3 s for which a job may wait with nothing running.
	promptAdvice = 1500 * time.Millisecond
	// maxOpenRequests bounds the owner's requests in flight. The service answers one at a time and
	// lets 32 wait, among which there may be some that the owner no longer waits for.
	maxOpenRequests = 16
	// maxOpenQueueRequests bounds those of one queue, to keep the service busy without keeping
	// other queues from it.
	maxOpenQueueRequests = 2
	// minAdviceTimeout is the shortest wait for an answer, which is adviceTimeoutFactor times as
	// long as the answer should take. It doubles with each request in a row that got none.
	minAdviceTimeout    = time.Second
	adviceTimeoutFactor = 3
	maxTimeoutDoublings = 4
	// defaultTicketValidity applies to a queue that declares none.
	defaultTicketValidity = time.Second
)

// adviceTiming is what the owner knows of the time that requests about the steps of one queue take.
type adviceTiming struct {
	declared queue.Advice
	latency  latencyFit
	// validity is how long tickets are valid.
	validity time.Duration
	// limit bounds the workers that the next request names. A request without an answer
	// quarters it, and an answer doubles it.
	limit int
	// answers counts the answers, unanswered the requests in a row that got none.
	answers, unanswered int
	// open counts the requests in flight; their answers should take openTime.
	open     int
	openTime time.Duration
}

func newAdviceTiming(declared queue.Advice) *adviceTiming {
	t := &adviceTiming{declared: declared, validity: declared.Validity, limit: maxRequestWorkers}
	if t.validity <= 0 {
		t.validity = defaultTicketValidity
	}
	limit := func(d time.Duration) time.Duration { return min(max(0, d), fleet.MaxAdviceWait) }
	for _, n := range []int{1, maxRequestWorkers} {
		t.latency.declare(n, limit(declared.Delay)+time.Duration(n)*limit(declared.DelayPerWorker))
	}
	return t
}

// answered records an answer about n workers, for which the service took the given time. validity
// is zero if the answer did not tell it.
func (t *adviceTiming) answered(n int, took, validity time.Duration) {
	t.answers, t.unanswered = t.answers+1, 0
	t.limit = min(maxRequestWorkers, max(t.limit, 2*n))
	t.latency.measure(n, took)
	t.validity = cmp.Or(validity, t.validity)
}

// notAnswered records that a request about n workers got no answer in time.
func (t *adviceTiming) notAnswered(n int) {
	t.unanswered++
	t.limit = max(1, min(t.limit, n/4))
}

// expected returns the time that the service should take for a request about n workers.
func (t *adviceTiming) expected(n int) time.Duration {
	fixed, perWorker := t.latency.line()
	return min(fixed+time.Duration(n)*perWorker, fleet.MaxAdviceWait)
}

// size returns the number of workers that the next request may name. Naming them takes no longer
// than the rest of the request, or than promptAdvice leaves, and at most half of the time for which
// the tickets can be used.
func (t *adviceTiming) size() int {
	fixed, perWorker := t.latency.line()
	budget := max(promptAdvice-fixed, fixed)
	if usable := t.validity - ticketMargin - fixed; usable > 0 {
		budget = min(budget, usable/2)
	}
	n := maxRequestWorkers
	if perWorker > 0 {
		n = int(min(maxRequestWorkers, budget/perWorker))
	}
	return max(1, min(n, t.limit))
}

// neverInTime reports whether tickets are over when the answer to a request about n workers arrives,
// and a smaller request would not help.
func (t *adviceTiming) neverInTime(n int) bool {
	fixed, _ := t.latency.line()
	return n == 1 && t.size() == 1 || fixed+ticketMargin >= t.validity
}

// adviceCalls tracks the owner's requests to the advice service, which answers one at a time.
type adviceCalls struct {
	// timings are those of the declared queues.
	timings map[queue.Name]*adviceTiming
	// open counts the requests in flight; their answers should take openTime.
	open     int
	openTime time.Duration
	// endedAt is when the last request was answered or given up.
	endedAt Instant
}

// timing returns the timing of a queue, which begins anew if other times are declared.
func (c *adviceCalls) timing(name queue.Name, declared queue.Advice) *adviceTiming {
	t, ok := c.timings[name]
	if !ok || t.declared != declared {
		t = newAdviceTiming(declared)
		c.timings[name] = t
	}
	return t
}

// forgetDropped forgets the timings of queues that are not declared any more.
func (c *adviceCalls) forgetDropped(config *queue.Config) {
	for name := range c.timings {
		if config.Queues[name] == nil {
			delete(c.timings, name)
		}
	}
}

// hasRoom reports whether a request of a queue may be sent: its only one, or one that should
// be answered in promptAdvice behind the queue's others. The service may go on with requests that
// are not waited for any more, so only one is sent while it does not answer in time.
func (c *adviceCalls) hasRoom(t *adviceTiming) bool {
	if c.open >= maxOpenRequests || t.open >= maxOpenQueueRequests {
		return false
	}
	return t.open == 0 || t.answers > 0 && t.unanswered == 0 && t.openTime+t.expected(t.size()) <= promptAdvice
}

// begin returns the action that sends a request.
func (c *adviceCalls) begin(t *adviceTiming, request fleet.AdviceRequest) AdviceAction {
	expected := t.expected(len(request.Workers))
	wait := max(minAdviceTimeout, adviceTimeoutFactor*(c.openTime+expected)) << min(t.unanswered, maxTimeoutDoublings)
	c.open, c.openTime = c.open+1, c.openTime+expected
	t.open, t.openTime = t.open+1, t.openTime+expected
	return AdviceAction{Request: request, Timeout: min(wait, fleet.MaxAdviceWait), timing: t, expected: expected}
}

// end records that a request, sent at the time sent, was answered or given up, and returns the
// earliest time at which the service can have begun with it.
func (c *adviceCalls) end(now, sent Instant, action AdviceAction) (begun Instant) {
	t := action.timing
	c.open, c.openTime = c.open-1, c.openTime-action.expected
	t.open, t.openTime = t.open-1, t.openTime-action.expected
	begun = max(sent, c.endedAt)
	c.endedAt = now
	return begun
}

// isUnanswered reports whether a request may have failed for the time that it took.
func isUnanswered(err error) bool {
	return errors.Is(err, platform.ErrOutcomeUnknown) || errors.Is(err, context.DeadlineExceeded)
}

const (
	// declaredWeight is the weight of a declared time beside the latest measured one.
	declaredWeight = 0.05
	// measuredDecay is the weight of a measured time relative to the next one.
	measuredDecay = 0.5
)

// latencyFit fits a line to the time that requests take over the number of workers that they name,
// by least squares. Measured times lose weight to later ones, declared times keep theirs.
type latencyFit struct{ declared, measured latencySums }

// measure adds a measured time.
func (f *latencyFit) measure(n int, took time.Duration) {
	f.measured = f.measured.scaled(measuredDecay).plus(sample(n, took))
}

// declare adds a declared time.
func (f *latencyFit) declare(n int, takes time.Duration) {
	f.declared = f.declared.plus(sample(n, takes).scaled(declaredWeight))
}

// line returns the time that a request takes without workers, and that which each worker adds.
func (f *latencyFit) line() (fixed, perWorker time.Duration) {
	s := f.declared.plus(f.measured)
	slope := max(0, (s.weight*s.nt-s.n*s.t)/(s.weight*s.nn-s.n*s.n))
	intercept := max(0, (s.t-slope*s.n)/s.weight)
	return time.Duration(intercept * float64(time.Second)), time.Duration(slope * float64(time.Second))
}

// latencySums are weighted sums over requests: the weights, the workers named, their squares, the times
// in seconds and the products of workers and times.
type latencySums struct{ weight, n, nn, t, nt float64 }

func sample(n int, took time.Duration) latencySums {
	workers, seconds := float64(n), took.Seconds()
	return latencySums{1, workers, workers * workers, seconds, workers * seconds}
}

func (s latencySums) scaled(by float64) latencySums {
	return latencySums{s.weight * by, s.n * by, s.nn * by, s.t * by, s.nt * by}
}

func (s latencySums) plus(o latencySums) latencySums {
	return latencySums{s.weight + o.weight, s.n + o.n, s.nn + o.nn, s.t + o.t, s.nt + o.nt}
}
