package scheduler_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// The harness fails a test that sends a start order to an evacuated domain. Its workers 0 to 3
// are in domain d0, 4 to 7 in d1.

func stepOf(tasks int, cpu int64, change func(*job.Step)) job.Step {
	s := job.Step{Tasks: tasks, Size: platform.Resources{MilliCPU: cpu, MemoryMB: 1000}, EstimateMS: 1000}
	if change != nil {
		change(&s)
	}
	return s
}

// runsIn counts the tasks of a job that run in a failure domain.
func (h *harness) runsIn(domain platform.FailureDomain, id job.ID, tasks int) int {
	n := 0
	for _, w := range h.cluster.Entries() {
		for index := range tasks {
			if w.Domain == domain && h.cluster.AttemptOf(w.ID, job.TaskRef{Job: id, Index: index}) != 0 {
				n++
			}
		}
	}
	return n
}

func TestEvacuatedDomainGetsNoStarts(t *testing.T) {
	cases := map[string]job.Step{
		"batch":        stepOf(40, 8000, nil),
		"gang":         stepOf(12, 8000, func(s *job.Step) { s.Gang = true }),
		"same rack":    stepOf(4, 8000, func(s *job.Step) { s.Gang, s.SameRack, s.DataRack = true, true, "r0" }),
		"fillers":      stepOf(40, 4000, func(s *job.Step) { s.Fills, s.Checkpointing, s.Image = true, true, "f" }),
		"data there":   stepOf(20, 8000, func(s *job.Step) { s.DataRack = "r0" }),
		"one a worker": stepOf(4, 1000, func(s *job.Step) { s.MaxPerWorker = 1 }),
	}
	for name, step := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 8)
			h.evacuate("d0")
			h.run(time.Second)
			first := h.submit("first", nil, nil, step)
			h.run(400 * time.Millisecond)
			h.takeOver(false)
			h.run(20 * time.Second)
			must.Eq(t, job.Done, h.state(first))
			h.evacuate()
			second := h.submit("second", fixedLength(2), nil, stepOf(20, 8000, nil))
			h.run(time.Second)
			must.Positive(t, h.runsIn("d0", second, 20), must.Sprint("the domain was taken back"))
			h.checkViolations()
		})
	}
}

// TestEvacuationLeavesRunningWork: what runs goes on, also what lasts, and what ends starts again
// elsewhere.
func TestEvacuationLeavesRunningWork(t *testing.T) {
	h := newHarness(t, 8)
	h.run(time.Second)
	lasting := h.submit("lasting", fixedLength(1000), nil, stepOf(16, 4000, func(s *job.Step) { s.LongRunning, s.MayMiss = true, 4 }))
	batch := h.submit("batch", fixedLength(3), nil, stepOf(16, 4000, nil))
	h.run(2 * time.Second)
	before := h.runsIn("d0", lasting, 16)
	must.Positive(t, before)
	must.Positive(t, h.runsIn("d0", batch, 16))
	h.evacuate("d0")
	h.run(6 * time.Second)
	must.Eq(t, job.Done, h.state(batch))
	must.Eq(t, before, h.runsIn("d0", lasting, 16))
	must.SliceEmpty(t, h.shard.TakeNotes().Lost)
	h.cluster.Crash("w00")
	h.run(15 * time.Second)
	must.Eq(t, 16, h.runsIn("d0", lasting, 16)+h.runsIn("d1", lasting, 16))
	h.checkViolations()
}

// TestDrainedTasksAvoidEvacuatedDomain guards against moves into the domain.
func TestDrainedTasksAvoidEvacuatedDomain(t *testing.T) {
	h := newHarness(t, 8)
	h.run(time.Second)
	lasting := h.submit("lasting", fixedLength(1000), nil, stepOf(8, 4000, func(s *job.Step) { s.LongRunning = true }))
	h.run(2 * time.Second)
	h.evacuate("d0")
	h.cluster.DrainWithNotice("w04", 20*time.Second)
	h.syncWorkers()
	h.run(10 * time.Second)
	must.Eq(t, 8, h.runsIn("d0", lasting, 8)+h.runsIn("d1", lasting, 8))
	h.checkViolations()
}

// TestOrdersUnderWayAtEvacuation guards against orders that were planned or sent before the
// evacuation and are sent, or sent again, after it.
func TestOrdersUnderWayAtEvacuation(t *testing.T) {
	begin := func(t *testing.T) (*harness, scheduler.StartAction) {
		h := newHarness(t, 8)
		h.run(time.Second)
		h.submit("job", nil, nil, stepOf(1, 8000, func(s *job.Step) { s.DataRack = "r0" }))
		a := h.shard.Plan(h.now, h.now.Milliseconds(), unlimitedStarts)
		must.Len(t, 1, a.Starts)
		must.Eq(t, "d0", a.Starts[0].Worker.Domain)
		return h, a.Starts[0]
	}
	t.Run("planned", func(t *testing.T) {
		h, planned := begin(t)
		h.evacuate("d0")
		_, wanted := h.shard.BeginStart(h.now, planned)
		must.False(t, wanted)
		h.run(3 * time.Second)
		must.Eq(t, job.Done, h.state("job"))
	})
	t.Run("begun", func(t *testing.T) {
		h, planned := begin(t)
		start, wanted := h.shard.BeginStart(h.now, planned)
		must.True(t, wanted)
		h.evacuate("d0")
		must.False(t, h.shard.StartCurrent(h.now, start))
		h.shard.StartAnswered(h.now, start, fleet.Answer{}, scheduler.ErrWithheld)
		h.run(3 * time.Second)
		must.Eq(t, job.Done, h.state("job"))
	})
	t.Run("unanswered", func(t *testing.T) {
		h, planned := begin(t)
		start, _ := h.shard.BeginStart(h.now, planned)
		h.evacuate("d0")
		h.shard.StartAnswered(h.now, start, fleet.Answer{}, platform.ErrOutcomeUnknown)
		a := h.shard.Plan(h.now, h.now.Milliseconds(), unlimitedStarts)
		must.SliceEmpty(t, a.Starts)
		must.Len(t, 1, a.Stops, must.Sprint("the worker may have carried the order out"))
	})
}

// TestNewOwnerWaitsForEvacuations guards against starts of an owner whose host has never read
// what operators request.
func TestNewOwnerWaitsForEvacuations(t *testing.T) {
	h := newHarness(t, 8)
	owner := h.owner()
	owner.Claim, owner.Epoch = owner.Claim+1, owner.Epoch+1
	limits := bounds
	limits.Evacuation = 5 * time.Second
	h.shard = scheduler.New(limits, owner, h.now, nil)
	h.shard.ClaimRecorded(h.now)
	h.shard.OwnershipConfirmed(h.now)
	h.shard.SetConfig(h.config)
	h.syncWorkers()
	id := h.submit("job", nil, nil, batchStep(4))
	h.run(3 * time.Second)
	must.False(t, h.cluster.Started(id))
	must.False(t, h.shard.EvacuationsKnown())
	h.evacuate("d0")
	h.run(3 * time.Second)
	must.Eq(t, job.Done, h.state(id))
}

// TestWorkersOfUnknownDomain: a worker whose entry names no domain may be in an evacuated one.
func TestWorkersOfUnknownDomain(t *testing.T) {
	h := newHarness(t, 1)
	h.evacuate("d7")
	info := workerInfo(0)
	info.Domain, info.Started = "", 1
	h.shard.SetWorker(h.now, info)
	id := h.submit("job", nil, nil, batchStep(1))
	for range 20 {
		h.tick()
	}
	must.False(t, h.cluster.Started(id))
	h.evacuate()
	h.run(3 * time.Second)
	must.Eq(t, job.Done, h.state(id))
}

// TestAdmissionCountsWorkersThatAreLeft guards against work that is accepted for the room of
// evacuated workers.
func TestAdmissionCountsWorkersThatAreLeft(t *testing.T) {
	h := newHarness(t, 8)
	h.run(5 * time.Second)
	admit := func(step job.Step) scheduler.Admission {
		return h.shard.Admit(h.now, &job.Submission{
			Queue: queueName, Service: service, Stretch: 2, TargetMS: 1000, Spec: job.Spec{Steps: []job.Step{step}},
		})
	}
	lasting := stepOf(10, 16_000, func(s *job.Step) { s.LongRunning = true })
	must.True(t, admit(lasting).Admitted)
	h.evacuate("d0")
	must.False(t, admit(lasting).Admitted)
	must.True(t, admit(batchStep(1)).Admitted)
	h.evacuate("d0", "d1")
	refusal := admit(batchStep(1))
	must.False(t, refusal.Admitted)
	must.Eq(t, "all workers of the service are evacuated", refusal.Reason)
	must.Positive(t, refusal.RetryAfter)
	h.evacuate()
	must.True(t, admit(lasting).Admitted)

	h.submit("backlog", nil, nil, stepOf(300, 16_000, nil))
	h.run(2 * time.Second)
	before := admit(batchStep(1)).Wait
	h.evacuate("d0")
	must.Between(t, 2*before-time.Millisecond, admit(batchStep(1)).Wait, 2*before+time.Millisecond, must.Sprint("half of the workers start half as many tasks"))
}
