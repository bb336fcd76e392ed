package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// submitLong writes a job of two tasks of 1 to 16 s to the log.
func (s *ownersSim) submitLong() {
	id := job.ID(fmt.Sprintf("%016x", len(s.jobs)+1))
	step := batchStep(2)
	step.Checkpointing = false
	sub := &job.Submission{
		Queue: queueName, Service: service, MaxFailures: 3, Stretch: 2, TargetMS: 1000, AcceptedMS: s.now.Milliseconds(),
		Spec: job.Spec{Payload: "payload of " + string(id), Steps: []job.Step{step}},
	}
	draw := rand.New(rand.NewPCG(s.rng.Uint64(), 2))
	lengths := map[job.TaskRef]time.Duration{}
	for i := range step.Tasks {
		lengths[job.TaskRef{Job: id, Index: i}] = time.Second + time.Duration(draw.Int64N(int64(15*time.Second)))
	}
	s.cluster.Job(id, sub, func(ref job.TaskRef) time.Duration { return lengths[ref] }, nil)
	s.accept(id, sub)
}

// restartAndCutOff takes a part of the workers down and cuts them off from the hosts and the store soon after they are
// back. It returns the times until both.
func (s *ownersSim) restartAndCutOff() (back, cut time.Duration) {
	back = s.between(300*time.Millisecond, 800*time.Millisecond)
	latest := 2500 * time.Millisecond
	if s.chance(0.5) {
		// Before an owner can learn of the restart from an answer.
		latest = 500 * time.Millisecond
	}
	cut = back + s.between(0, latest)
	cutFor := s.between(11*time.Second, 21*time.Second)
	for _, id := range s.someWorkers(0.3 + 0.4*s.rng.Float64()) {
		w := s.workers[s.indexOf(id)]
		s.restart(w, back)
		s.after(cut, func() {
			s.tracef("%s is cut off for %v", id, cutFor)
			w.cutUntil = s.now + cutFor
			w.silentUntil = max(w.silentUntil, w.cutUntil)
		})
	}
	return back, cut
}

// killOwner ends the owner's process. Another host takes the shard over.
func (s *ownersSim) killOwner() {
	o := s.current()
	if o == nil {
		return
	}
	o.host.kill(s.between(time.Second, 4*time.Second))
	next := s.hosts[(o.host.name+1+s.rng.IntN(len(s.hosts)-1))%len(s.hosts)]
	s.after(s.between(300*time.Millisecond, 1500*time.Millisecond), next.takeOver)
}

// TestTasksRunTwiceOnRunsWithoutEntry guards against tasks that run on a worker's run that no owner has seen: the worker
// is back under its id, its entry is late, it carries out start orders that were meant for the run before, and it is
// cut off before an owner learns of the new run or has recorded it.
func TestTasksRunTwiceOnRunsWithoutEntry(t *testing.T) {
	t.Parallel()
	for i := range *days {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newOwnersSim(t, seed, 64_000)
			s.maxEntryDelay = 3 * time.Second
			if s.chance(0.4) {
				s.maxAnswerDelay = s.between(50*time.Millisecond, answerTimeout)
			}
			ownersKilled := s.chance(0.5)
			s.hosts[0].takeOver()
			s.run(5 * time.Second)
			submitting := true
			s.every(400*time.Millisecond, func() {
				if submitting {
					s.submitLong()
				}
			})
			for range 3 {
				s.run(s.between(2*time.Second, 5*time.Second))
				back, cut := s.restartAndCutOff()
				if ownersKilled {
					killed := cut
					if s.chance(0.7) {
						killed = back + s.between(0, 500*time.Millisecond)
					}
					s.after(killed, s.killOwner)
				}
				s.run(s.between(16*time.Second, 22*time.Second))
				s.ensureOwner()
			}
			submitting = false
			s.heal()
			for end := s.now + recoveryTime; s.now < end && len(s.unsettled()) > 0; {
				s.ensureOwner()
				s.run(time.Second)
			}
			t.Logf("%d owners, %d jobs, %d starts", len(s.owners), len(s.jobs), s.cluster.Starts())
			must.SliceEmpty(t, s.unsettled(), must.Sprint("jobs that did not end: ", s.unsettled()))
		})
	}
}
