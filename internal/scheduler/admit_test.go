package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// succeedOwner replaces the owner by one that knows what was recorded and learned.
func (h *harness) succeedOwner() {
	h.t.Helper()
	learned, err := h.shard.LearnedModels()
	must.NoError(h.t, err)
	h.takeOver(true)
	must.NoError(h.t, h.shard.RestoreModels(learned))
}

// overload offers jobs to the shard.
type overload struct {
	*harness
	// steps are those of each job, and jobsPerSecond how many come.
	steps         []job.Step
	jobsPerSecond int
	// bypass is the share of jobs, one of so many, that are stored without being admitted.
	bypass int

	offered  int
	accepted []job.ID
	refused  int
}

func newOverload(h *harness, jobsPerSecond int, steps ...job.Step) *overload {
	return &overload{harness: h, steps: steps, jobsPerSecond: jobsPerSecond}
}

func (o *overload) admit() scheduler.Admission {
	return o.shard.Admit(o.now, &job.Submission{
		Queue: queueName, Service: service, Stretch: 2, TargetMS: 1000, Spec: job.Spec{Steps: o.steps},
	})
}

// offer offers jobs for the given time.
func (o *overload) offer(d time.Duration) {
	for end := o.now + d; o.now < end; {
		o.tick()
		for due := int((o.now - time.Minute).Seconds() * float64(o.jobsPerSecond)); o.offered < due; o.offered++ {
			if bypass := o.bypass > 0 && o.offered%o.bypass == 0; !bypass && !o.admit().Admitted {
				o.refused++
				continue
			}
			o.accepted = append(o.accepted, o.submit(fmt.Sprintf("%016x", 0x1000+o.offered), nil, nil, o.steps...))
		}
	}
}

// fourCores returns a step with tasks of four cores that take a second.
func fourCores(step job.Step) job.Step {
	step.Size.MilliCPU = 4000
	return step
}

// TestNewOwnerAcceptsWhatItsPredecessorRefused: a new owner accepted every job for 3 s, so that
// owners that changed every few seconds refused none.
func TestNewOwnerAcceptsWhatItsPredecessorRefused(t *testing.T) {
	for name, step := range map[string]job.Step{"batch": fourCores(batchStep(8)), "fillers": fourCores(fillerStep(8, "f"))} {
		t.Run(name, func(t *testing.T) {
			o := newOverload(newHarness(t, 8), 20, step, dependsOn(0)(step))
			o.offer(10 * time.Second)
			must.Positive(t, o.refused)
			offered, refused := o.offered, o.refused
			for range 8 {
				o.succeedOwner()
				o.offer(2 * time.Second)
			}
			// Five times as much comes as the workers can do.
			must.Greater(t, (o.offered-offered)/2, o.refused-refused)
			o.run(30 * time.Second)
			o.succeedOwner()
			must.True(t, o.admit().Admitted, must.Sprint("once the load is over"))
			o.checkViolations()
		})
	}
}

// TestNewOwnerFillsWorkersWithWorkWithoutEnd: a new owner accepted all long-running work for 3 s,
// however full the workers were, so that batch work found no room from then on. The load is
// long-running jobs that come faster than others are cancelled, across changes of owners.
func TestNewOwnerFillsWorkersWithWorkWithoutEnd(t *testing.T) {
	step := fourCores(servingStep(4, "web"))
	o := newOverload(newHarness(t, 8), 10, step)
	o.offer(10 * time.Second)
	must.Positive(t, o.refused)
	accepted := len(o.accepted)
	for range 4 {
		o.succeedOwner()
		o.offer(2 * time.Second)
	}
	must.Eq(t, accepted, len(o.accepted))
	o.checkViolations()
}

// TestAcceptedWorkIsLeftWaiting: jobs that had become overdue were not counted by admission, so
// that they piled up and waited for long after the load, under owners that stay or change and
// with hosts that store jobs themselves.
func TestAcceptedWorkIsLeftWaiting(t *testing.T) {
	// The platform's rules ask for all jobs 14 s after the load.
	const limit = 14 * time.Second
	for name, step := range map[string]job.Step{"batch": fourCores(batchStep(8)), "fillers": fourCores(fillerStep(8, "f"))} {
		for _, reign := range []time.Duration{0, 4 * time.Second} {
			for _, bypass := range []int{0, 10} {
				t.Run(fmt.Sprint(name, " ", reign, " ", bypass), func(t *testing.T) {
					o := newOverload(newHarness(t, 8), 20, step, dependsOn(0)(step))
					o.bypass = bypass
					for o.now < time.Minute+time.Minute {
						o.offer(4 * time.Second)
						if reign > 0 {
							o.succeedOwner()
						}
					}
					must.Positive(t, len(o.accepted))
					o.run(limit)
					for _, id := range o.accepted {
						must.Eq(t, job.Done, o.state(id))
					}
					o.checkViolations()
				})
			}
		}
	}
}

// TestOverdueWorkKeepsOthersOut: one wide job that is overdue, or many of a lower priority, are
// no reason to refuse jobs that go before them.
func TestOverdueWorkKeepsOthersOut(t *testing.T) {
	step := fourCores(batchStep(8))
	for name, fill := range map[string]func(o *overload){
		"wide": func(o *overload) { o.submit(firstID, nil, nil, fourCores(batchStep(5000))) },
		"lower priority": func(o *overload) {
			for i := range 200 {
				o.submitAs(fmt.Sprintf("%016x", i), func(s *job.Submission) { s.Priority = 1 }, nil, nil, step)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			o := newOverload(newHarness(t, 8), 2, step)
			fill(o)
			o.run(8 * time.Second)
			o.offer(8 * time.Second)
			must.Zero(t, o.refused)
			o.checkViolations()
		})
	}
}

// TestRefusedImagesFillNoRecord guards against callers who fill the record of the learned state
// with the names of images, so that none of it is recorded.
func TestRefusedImagesFillNoRecord(t *testing.T) {
	step := fourCores(fillerStep(8, "f"))
	o := newOverload(newHarness(t, 8), 20, step, dependsOn(0)(step))
	o.bypass = 1
	o.offer(30 * time.Second)
	for i := range 1000 {
		image := fmt.Sprintf("%0*d", 10+i, i)
		o.steps = []job.Step{fourCores(fillerStep(8, image))}
		must.False(t, o.admit().Admitted)
	}
	learned, err := o.shard.LearnedModels()
	must.NoError(t, err)
	must.Less(t, job.MaxRecordBytes/4, len(learned))
}
