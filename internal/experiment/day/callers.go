package day

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/node"
	"github.com/siskinvane/siskinvane/internal/process/pause"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
	"github.com/siskinvane/siskinvane/internal/standin/cluster"
)

const (
	// submitAttempts is the maximum number of attempts to submit a job, callTimeout
	// the timeout of each call.
	submitAttempts = 5
	callTimeout    = 3 * time.Second
	// pollInterval is the interval between two queries of a job's state.
	pollInterval = 250 * time.Millisecond
	// cancelShare is the fraction of jobs that are cancelled, failShare the fraction
	// of attempts that fail.
	cancelShare = 0.05
	// minStay and maxStay bound the time after which the caller of a long-running job
	// cancels it.
	minStay   = 4 * time.Second
	maxStay   = 12 * time.Second
	failShare = 0.02
)

// caller submits one job and polls its state until the job has ended.
type caller struct {
	sim        *simulation
	random     *rand.Rand
	id         job.ID
	submission *job.Submission
	// longRunning is set if the job runs until its caller cancels it.
	longRunning bool
	// longStay is added to the time after which the caller cancels a long-running job.
	longStay time.Duration
	// crashing is set if tasks of the job crash the workers that start them, and leaves if the
	// caller leaves before its submission is answered, and cancels the job.
	crashing   bool
	leaves     bool
	colocation colocation

	accepted, cancelled, refused bool
	// cancelRequested is set once the caller has requested cancellation. The
	// cancellation may take effect even if the request got no answer.
	cancelRequested bool
	// outcomeUnknown is set if the outcome of a submission was unknown.
	outcomeUnknown bool
	finalState     job.State
	duration       time.Duration
	violations     []string
}

// newCaller draws a job and registers its task durations and failures with the
// simulated workers.
func newCaller(sim *simulation, number int, p Plan, random *rand.Rand) *caller {
	c := &caller{
		sim: sim, random: random, id: job.ID(fmt.Sprintf("%016x", number)),
		longStay: time.Duration(p.LongRunningStaySeconds) * time.Second,
	}
	spec := job.Spec{Payload: "job " + string(c.id)}
	spec.Payload += strings.Repeat(".", max(0, p.PayloadBytes-len(spec.Payload)))
	if c.longRunning = p.LongRunningShare > 0 && random.Float64() < p.LongRunningShare; c.longRunning {
		spec.Steps = []job.Step{{
			Tasks: 1 + random.IntN(8), Size: platform.Resources{MilliCPU: 2000, MemoryMB: 4000}, LongRunning: true,
		}}
	}
	for i := range drawSteps(c.longRunning, random) {
		step := job.Step{
			Tasks:      1 + random.IntN(8),
			Size:       platform.Resources{MilliCPU: 1000 + random.Int64N(4000), MemoryMB: 2000 + random.Int64N(6000)},
			EstimateMS: 500 + random.Int64N(1500), Checkpointing: random.IntN(4) > 0, Gang: random.IntN(10) == 0,
		}
		if i > 0 {
			step.DependsOn = []int{i - 1}
		}
		if random.IntN(6) == 0 {
			step.MaxPerWorker = 2
		}
		spec.Steps = append(spec.Steps, step)
	}
	spec.Steps, c.colocation = drawColocation(p, number, spec.Steps, rand.New(rand.NewPCG(p.Seed, colocationStream+uint64(number))))
	makeGangs(spec.Steps, p.GangShare, rand.New(rand.NewPCG(p.Seed, gangStream+uint64(number))))
	c.submission = &job.Submission{
		Queue: queueName, Service: service, MaxFailures: 3, Stretch: 2, TargetMS: 1000, Spec: spec,
		AcceptedMS: time.Now().UnixMilli(),
	}
	seed := random.Uint64()
	draw := func(ref job.TaskRef, salt uint64) float64 {
		return rand.New(rand.NewPCG(seed, salt+uint64(ref.Step*100+ref.Index))).Float64()
	}
	sim.cluster.Job(c.id, c.submission,
		func(ref job.TaskRef) time.Duration {
			return time.Duration((0.3 + 1.7*draw(ref, 0)) * c.colocation.length * float64(time.Second))
		},
		func(ref job.TaskRef, n platform.Attempt) bool { return draw(ref, uint64(n)<<16) < failShare })
	c.drawCrashing(p, rand.New(rand.NewPCG(p.Seed, crashingStream+uint64(number))))
	c.leaves = rand.New(rand.NewPCG(p.Seed, leavingStream+uint64(number))).Float64() < p.LeavingShare
	return c
}

// makeGangs makes a share of the batch steps gangs.
func makeGangs(steps []job.Step, share float64, random *rand.Rand) {
	for i := range steps {
		if !steps[i].LongRunning && random.Float64() < share {
			steps[i].Gang = true
		}
	}
}

const (
	// maxCrashDelay bounds the time from a crashing task's start until its worker crashes.
	maxCrashDelay = 300 * time.Millisecond
	// minCrashDown and maxCrashDown bound the time for which a worker is down after it.
	minCrashDown = time.Second
	maxCrashDown = 5 * time.Second
	// wholeStepShare is the fraction of crashing jobs of whose crashing step all tasks crash
	// their workers, and not only one.
	wholeStepShare = 0.5
	// crashAnswerLostShare is the fraction of start orders of crashing tasks whose answer is
	// lost.
	crashAnswerLostShare = 0.3
)

// drawCrashing draws whether the job has tasks that crash their workers, and which and how.
// It has random numbers of its own, so that the share of such jobs changes nothing else of a
// day.
func (c *caller) drawCrashing(p Plan, random *rand.Rand) {
	if c.crashing = random.Float64() < p.CrashingShare; !c.crashing {
		return
	}
	step := random.IntN(len(c.submission.Spec.Steps))
	only, whole := random.IntN(c.submission.Spec.Steps[step].Tasks), random.Float64() < wholeStepShare
	seed := random.Uint64()
	draw := func(ref job.TaskRef, n platform.Attempt, salt uint64) float64 {
		return rand.New(rand.NewPCG(seed^salt, uint64(n)<<16+uint64(ref.Index))).Float64()
	}
	c.sim.cluster.CrashWorkersOf(c.id, cluster.Crashing{
		Tasks: func(ref job.TaskRef) bool { return ref.Step == step && (whole || ref.Index == only) },
		After: func(ref job.TaskRef, n platform.Attempt) time.Duration {
			return time.Duration(draw(ref, n, 1) * float64(maxCrashDelay))
		},
		AnswerLost: func(ref job.TaskRef, n platform.Attempt) bool { return draw(ref, n, 2) < crashAnswerLostShare },
		DownFor:    minCrashDown + time.Duration(random.Int64N(int64(maxCrashDown-minCrashDown))),
	})
}

// drawSteps draws the number of batch steps of a job.
func drawSteps(longRunning bool, random *rand.Rand) int {
	if longRunning {
		return 0
	}
	return 1 + random.IntN(3)
}

// run submits the job and polls it until it has ended or ctx is done.
func (c *caller) run(ctx context.Context) {
	if c.leaves {
		c.leave(ctx)
		return
	}
	submittedAt := c.sim.now()
	if !c.submit(ctx) {
		return
	}
	cancelAt := time.Duration(-1)
	switch {
	case c.colocation.stay > 0:
		cancelAt = c.sim.now() + c.colocation.stay
	case c.longRunning:
		cancelAt = c.sim.now() + c.longStay + minStay + time.Duration(c.random.Int64N(int64(maxStay-minStay)))
	case c.random.Float64() < cancelShare:
		cancelAt = c.sim.now() + time.Duration(c.random.Int64N(int64(2*time.Second)))
	}
	for ctx.Err() == nil {
		wait(ctx, pollInterval)
		if cancelAt >= 0 && c.sim.now() >= cancelAt && c.cancel() {
			return
		}
		state, err := c.pollState()
		if err == nil && state.Final() {
			c.duration = c.sim.now() - submittedAt
			c.noteFinalState(state)
			return
		}
	}
}

// wait sleeps for d or until ctx is done.
func wait(ctx context.Context, d time.Duration) { _ = pause.For(ctx, d) }

// randomNode returns a random running host, or nil if none runs.
func (c *caller) randomNode() *node.Node {
	hosts := c.sim.runningHosts()
	if len(hosts) == 0 {
		return nil
	}
	return hosts[c.random.IntN(len(hosts))].node.Load()
}

// maxPatience bounds the time after which a caller leaves that does not wait for the answer to
// its submission.
const maxPatience = 1500 * time.Millisecond

// leave submits the job, leaves without an answer, and cancels the job until that is answered.
// The host goes on with the submission, since it does not notice.
func (c *caller) leave(ctx context.Context) {
	n := c.randomNode()
	if n == nil || n.Queues() == nil {
		return
	}
	go func() {
		call, stop := context.WithTimeout(context.Background(), callTimeout)
		defer stop()
		// Nobody is there for the answer.
		_ = n.Submit(call, c.id, c.submission)
	}()
	wait(ctx, time.Duration(c.random.Int64N(int64(maxPatience))))
	for ctx.Err() == nil && !c.cancel() {
		wait(ctx, pollInterval)
	}
}

// submit reports whether the job was accepted.
func (c *caller) submit(ctx context.Context) bool {
	for range submitAttempts {
		n := c.randomNode()
		if n == nil || n.Queues() == nil {
			wait(ctx, time.Second)
			continue
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := n.Submit(call, c.id, c.submission)
		cancel()
		switch {
		case err == nil:
			c.accepted = true
			c.sim.cluster.Accepted(c.sim.now(), c.id)
			return true
		case node.OutcomeUnknown(err):
			c.outcomeUnknown = true
			wait(ctx, pollInterval)
		default:
			c.refused = true
			wait(ctx, time.Second)
		}
	}
	return false
}

func (c *caller) cancel() bool {
	n := c.randomNode()
	if n == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	c.cancelRequested = true
	if err := n.Cancel(ctx, c.id); err != nil && !(c.leaves && errors.Is(err, node.ErrUnknownJob)) {
		return false
	}
	c.cancelled = true
	c.sim.cluster.CancelAcknowledged(c.sim.now(), c.id)
	return true
}

// pollState queries a random host for the job's state. It records a violation if the
// host does not know the accepted job.
func (c *caller) pollState() (job.State, error) {
	n := c.randomNode()
	if n == nil {
		return 0, errNoHost
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	state, err := n.State(ctx, c.id)
	if errors.Is(err, node.ErrUnknownJob) {
		c.violations = append(c.violations, fmt.Sprintf("LOST at %v: accepted job %s is not known", c.sim.now(), c.id))
	}
	return state, err
}

var errNoHost = errors.New("no host is running")

// noteFinalState records that a host has shown the job as over. A cancellation whose
// acknowledgement was lost counts as acknowledged by then.
func (c *caller) noteFinalState(state job.State) {
	c.finalState = state
	switch {
	case state == job.Failed:
		c.sim.cluster.ShownFailed(c.id)
	case state == job.Cancelled && c.cancelRequested:
		c.sim.cluster.CancelAcknowledged(c.sim.now(), c.id)
	}
	c.checkFinalState(state)
}

// checkFinalState compares the reported final state with what the workers ran.
func (c *caller) checkFinalState(state job.State) {
	if state == job.Done && !c.sim.cluster.Done(c.id) {
		c.violations = append(c.violations, fmt.Sprintf("MIXED at %v: job %s is shown as done", c.sim.now(), c.id))
	}
	if state == job.Failed && !c.sim.cluster.MayFail(c.id) {
		c.violations = append(c.violations, fmt.Sprintf("LOST at %v: job %s is shown as failed without cause", c.sim.now(), c.id))
	}
	if state == job.Cancelled && !c.cancelRequested {
		c.violations = append(c.violations, fmt.Sprintf("LOST at %v: job %s is shown as cancelled", c.sim.now(), c.id))
	}
}
