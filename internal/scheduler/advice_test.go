package scheduler_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
	"github.com/siskinvane/siskinvane/internal/version/queue"
)

// advisor stands in for the advice service, which answers one request at a time.
type advisor struct {
	// delay and delayPerWorker determine the time of an answer. The queue declares them unless
	// declared is set.
	delay, delayPerWorker time.Duration
	declared              *queue.Advice
	// validity is how long tickets are valid, from the answer on or, if early is set, from when the
	// service begins with the request.
	validity time.Duration
	early    bool
	permits  func(platform.WorkerID) bool
	// fails makes each request fail.
	fails bool
	// finishes makes the service finish requests that are not waited for any more.
	finishes bool
	open     []*openRequest
	// tickets are the times until which tickets are valid.
	tickets map[string]time.Duration
}

type openRequest struct {
	action      scheduler.AdviceAction
	sent, begun time.Duration
	// givenUp is set once the answer is not waited for any more.
	givenUp bool
}

var errNoAdvice = errors.New("no advice")

// request takes requests sent at now.
func (a *advisor) request(now time.Duration, actions []scheduler.AdviceAction) {
	for _, action := range actions {
		a.open = append(a.open, &openRequest{action: action, sent: now})
	}
	a.begin(now)
}

// begin begins with the oldest request.
func (a *advisor) begin(now time.Duration) {
	if len(a.open) > 0 && a.open[0].begun == 0 {
		a.open[0].begun = now
	}
}

// answer answers the requests that are due, and gives up those that were waited for long enough.
func (a *advisor) answer(now time.Duration, s *scheduler.Shard) {
	for len(a.open) > 0 {
		r := a.open[0]
		answeredAt := r.begun + a.delay + time.Duration(len(r.action.Request.Workers))*a.delayPerWorker
		if answeredAt > now || !r.givenUp && answeredAt > r.sent+r.action.Timeout {
			break
		}
		a.open = a.open[1:]
		a.begin(answeredAt)
		if r.givenUp {
			continue
		}
		if a.fails {
			s.AdviceAnswered(now, r.sent, r.action, fleet.Advice{}, errNoAdvice)
			continue
		}
		validFrom := answeredAt
		if a.early {
			validFrom = r.begun
		}
		tickets := map[platform.WorkerID]string{}
		for _, id := range r.action.Request.Workers {
			if a.permits == nil || a.permits(id) {
				tickets[id] = string(id) + answeredAt.String()
				a.tickets[tickets[id]] = validFrom + a.validity
			}
		}
		s.AdviceAnswered(now, r.sent, r.action, fleet.Advice{Tickets: tickets}, nil)
	}
	for _, r := range a.open {
		if !r.givenUp && now >= r.sent+r.action.Timeout {
			r.givenUp = true
			s.AdviceAnswered(now, r.sent, r.action, fleet.Advice{}, context.DeadlineExceeded)
		}
	}
	if !a.finishes {
		a.open = slices.DeleteFunc(a.open, func(r *openRequest) bool { return r.givenUp })
		a.begin(now)
	}
}

// valid reports whether a start order has a valid ticket.
func (a *advisor) valid(now time.Duration, o fleet.StartOrder) bool { return now < a.tickets[o.Ticket] }

// newAdviceHarness returns a harness whose workers start tasks with a ticket only.
func newAdviceHarness(t *testing.T, workers int, a *advisor) *harness {
	h := newHarness(t, workers)
	a.tickets = map[string]time.Duration{}
	h.advisor = a
	declared := a.declared
	if declared == nil {
		declared = &queue.Advice{Delay: a.delay, DelayPerWorker: a.delayPerWorker, Validity: a.validity}
	}
	h.declare(declared)
	h.run(time.Second)
	return h
}

// declare declares the queue with or without advice.
func (h *harness) declare(a *queue.Advice) {
	h.config = queue.New(h.config.Version+1, []*queue.Queue{{Name: queueName, Service: service, MaxFailures: 3, Stretch: 2, Target: time.Second, Advice: a}},
		[]*queue.Service{{Name: service}}, queue.Limits{})
	h.shard.SetConfig(h.config)
}

// undeclare drops the queue.
func (h *harness) undeclare() {
	h.config = queue.New(h.config.Version+1, nil, []*queue.Service{{Name: service}}, queue.Limits{})
	h.shard.SetConfig(h.config)
}

// TestChangedQueueKeepsNoTaskWaiting: a step that waited for advice waited for ever once its
// queue was dropped or required none any more.
func TestChangedQueueKeepsNoTaskWaiting(t *testing.T) {
	cases := map[string]func(h *harness){
		"dropped": func(h *harness) { h.undeclare() },
		"dropped before a change of owner": func(h *harness) {
			h.undeclare()
			h.takeOver(true)
		},
		"without advice": func(h *harness) {
			h.declare(nil)
			h.advisor.permits = func(platform.WorkerID) bool { return false }
			h.ticketsRequired = false
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			h := newAdviceHarness(t, 4, &advisor{delay: 100 * time.Millisecond, validity: time.Second})
			h.ticketsRequired = true
			second := batchStep(40)
			second.DependsOn = []int{0}
			id := h.submit(firstID, nil, nil, batchStep(40), second)
			h.run(300 * time.Millisecond)
			change(h)
			h.run(10 * time.Second)
			must.Eq(t, job.Done, h.state(id))
			h.checkViolations()
		})
	}
}

// TestAdviceReachesEveryWorker: a step waited for ever if only workers with a low score were
// permitted. The answers on the best ones expired before all others had been asked about.
func TestAdviceReachesEveryWorker(t *testing.T) {
	a := &advisor{delay: 400 * time.Millisecond, validity: 900 * time.Millisecond}
	a.permits = func(id platform.WorkerID) bool { return id == "w99" }
	h := newAdviceHarness(t, 120, a)
	h.ticketsRequired = true
	id := h.submit(firstID, nil, nil, batchStep(1))
	h.run(5 * time.Second)
	must.Eq(t, job.Done, h.state(id))
	h.checkViolations()
}

// TestLateAdviceIsAskedForFewerWorkers: a service that takes longer for a request of the
// largest size than its tickets are valid kept a step waiting for ever.
func TestLateAdviceIsAskedForFewerWorkers(t *testing.T) {
	a := &advisor{delay: 50 * time.Millisecond, delayPerWorker: 30 * time.Millisecond, validity: 900 * time.Millisecond}
	h := newAdviceHarness(t, 40, a)
	h.ticketsRequired = true
	first, second := h.submit(firstID, nil, nil, batchStep(1)), h.submit(secondID, nil, nil, batchStep(1))
	h.run(8 * time.Second)
	must.Eq(t, job.Done, h.state(first))
	must.Eq(t, job.Done, h.state(second))
	h.checkViolations()
}

// TestLostAdviceIsAskedForAgain: a request that fails, that the owner before has sent or whose
// tickets are not said to be valid for any time keeps no task waiting.
func TestLostAdviceIsAskedForAgain(t *testing.T) {
	for name, lose := range map[string]func(h *harness){
		"requests fail":   func(h *harness) { h.advisor.fails = true; h.run(3 * time.Second); h.advisor.fails = false },
		"change of owner": func(h *harness) { h.takeOver(true); h.advisor.open = nil },
		"no validity":     func(h *harness) { h.declare(&queue.Advice{}) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newAdviceHarness(t, 4, &advisor{delay: 200 * time.Millisecond, validity: 900 * time.Millisecond})
			h.ticketsRequired = true
			id := h.submit(firstID, nil, nil, batchStep(1))
			h.run(100 * time.Millisecond)
			lose(h)
			h.run(3 * time.Second)
			must.Eq(t, job.Done, h.state(id))
			h.checkViolations()
		})
	}
}

// TestSlowAdviceStartsTasks: no task of a queue was ever started if the service took over 5 s for
// thirty workers, or its tickets were over by then: each request named as many as the one before.
func TestSlowAdviceStartsTasks(t *testing.T) {
	const second = time.Second
	cases := map[string]struct {
		advisor advisor
		spread  bool
		// within bounds the time until the first task starts.
		within time.Duration
	}{
		"many workers":  {advisor{delay: second / 2, delayPerWorker: 160 * time.Millisecond, validity: 10 * second}, false, 3 * second},
		"long decision": {advisor{delay: 6 * second, delayPerWorker: 10 * time.Millisecond, validity: 10 * second}, false, 7 * second},
		"short tickets": {advisor{delay: second / 2, delayPerWorker: 160 * time.Millisecond, validity: 2 * second, early: true}, false, 3 * second},
		"slower than declared": {advisor{
			delay: second / 2, delayPerWorker: 300 * time.Millisecond, validity: 10 * second,
			declared: &queue.Advice{Delay: second / 2, DelayPerWorker: 20 * time.Millisecond, Validity: 10 * second},
		}, false, 20 * second},
		"slower than declared, and finishes what is given up": {advisor{
			delay: second / 2, delayPerWorker: 300 * time.Millisecond, validity: 10 * second, finishes: true,
			declared: &queue.Advice{Delay: second / 2, DelayPerWorker: 20 * time.Millisecond, Validity: 10 * second},
		}, false, 20 * second},
		"tasks on workers apart":        {advisor{delay: second / 2, delayPerWorker: 300 * time.Millisecond, validity: 10 * second}, true, 4 * second},
		"tickets shorter than the call": {advisor{delay: 1200 * time.Millisecond, validity: second}, false, 3 * second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newAdviceHarness(t, 40, &c.advisor)
			h.ticketsRequired = true
			step := batchStep(2)
			if c.spread {
				step.Tasks, step.MaxPerWorker = 12, 1
			}
			id, behind := h.submit(firstID, nil, nil, step), h.submit(secondID, nil, nil, batchStep(2))
			h.run(c.within)
			must.NotEq(t, job.Queued, h.state(id))
			h.run(20 * second)
			must.Eq(t, job.Done, h.state(id))
			must.Eq(t, job.Done, h.state(behind))
			h.checkViolations()
		})
	}
}

// TestSlowQueueKeepsNoOtherQueueWaiting: two requests of a queue with slow advice kept the steps of
// other queues from being asked about, and made their requests smaller.
func TestSlowQueueKeepsNoOtherQueueWaiting(t *testing.T) {
	a := &advisor{delay: 3 * time.Second, validity: 10 * time.Second}
	h := newAdviceHarness(t, 8, a)
	quick := &queue.Queue{Name: "quick", Service: service, MaxFailures: 3, Stretch: 2, Target: time.Second, Advice: &queue.Advice{Delay: 10 * time.Millisecond, Validity: time.Second}}
	slow := &queue.Queue{Name: queueName, Service: service, MaxFailures: 3, Stretch: 2, Target: time.Second, Advice: &queue.Advice{Delay: 3 * time.Second, Validity: 10 * time.Second}}
	h.config = queue.New(h.config.Version+1, []*queue.Queue{slow, quick}, []*queue.Service{{Name: service}}, queue.Limits{})
	h.shard.SetConfig(h.config)
	for _, id := range []string{firstID, secondID} {
		h.submit(id, nil, nil, batchStep(1))
	}
	h.plan()
	must.SliceLen(t, 1, a.open)
	h.submitAs(thirdID, func(s *job.Submission) { s.Queue = "quick" }, nil, nil, batchStep(1))
	h.plan()
	must.SliceLen(t, 2, a.open)
	must.Eq(t, thirdID, string(a.open[1].action.Request.Job))
}
