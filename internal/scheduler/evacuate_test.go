package scheduler_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// leave lets a worker drain, and end after a time.
func (r *rig) leave(name int, remaining time.Duration) {
	r.cluster.Leave(workerInfo(name).ID, remaining)
	r.list()
}

// TestLastingTasksLeaveBeforeTheirWorker lets a worker drain for 4.5 s and end.
// Without a move its tasks stand still from then until their leases have run out.
func TestLastingTasksLeaveBeforeTheirWorker(t *testing.T) {
	r := newRig(t, 4)
	step := lasting()
	step.Tasks = 6
	id := r.submit(firstID, nil, nil, step)
	r.play(time.Second)
	all := r.cluster.Running(id)
	away := 0
	for i := range 4 {
		r.leave(i, 4500*time.Millisecond)
		for end := r.now + 4500*time.Millisecond; r.now < end; {
			r.round()
			away += all - r.cluster.Running(id)
		}
		r.cluster.Crash(workerInfo(i).ID)
		r.list()
		must.Eq(t, all, r.cluster.Running(id))
		r.play(time.Second)
		r.cluster.Boot(r.now, workerInfo(i).ID)
		r.cluster.Drain(workerInfo(i).ID, false)
		r.list()
	}
	r.clean()
	// Each task is away for the stop and the start, on at most two of four workers.
	must.Less(t, all*2*int(2*time.Second/round), away)
}

// TestLastingTasksStayWithoutRoomElsewhere fills the other workers: a task that has
// nowhere to go works on where it is.
func TestLastingTasksStayWithoutRoomElsewhere(t *testing.T) {
	r := newRig(t, 2)
	step := lasting()
	step.Size.MilliCPU, step.Tasks = 16_000, 4
	id := r.submit(firstID, nil, nil, step)
	r.play(time.Second)
	must.Eq(t, 4, r.cluster.Running(id))
	r.leave(0, 4500*time.Millisecond)
	r.play(4 * time.Second)
	must.Eq(t, 4, r.cluster.Running(id))
	r.clean()
}

// TestWorkIsSavedBeforeItsWorkerLeaves lets a worker drain while it runs long tasks.
// They resume elsewhere from where they were, and the job is over long before their
// leases would have run out.
func TestWorkIsSavedBeforeItsWorkerLeaves(t *testing.T) {
	r := newRig(t, 2)
	id := r.submit(firstID, seconds(6), nil, batch(8))
	r.play(2 * time.Second)
	r.leave(0, 3*time.Second)
	r.play(3 * time.Second)
	must.Eq(t, 8, r.cluster.Running(id))
	r.cluster.Crash(workerInfo(0).ID)
	r.list()
	r.play(3 * time.Second)
	must.Eq(t, job.Done, r.state(id))
	r.clean()
}

// TestShortTasksEndWhereTheyAre lets a worker drain for longer than its tasks take.
func TestShortTasksEndWhereTheyAre(t *testing.T) {
	r := newRig(t, 2)
	id := r.submit(firstID, seconds(2), nil, batch(8))
	r.play(time.Second)
	starts := r.cluster.Starts()
	r.leave(0, 4500*time.Millisecond)
	r.play(2 * time.Second)
	must.Eq(t, job.Done, r.state(id))
	must.Eq(t, starts, r.cluster.Starts())
	r.clean()
}

// TestCordonedWorkersAreLeftAsCallersAllow leaves one worker after the other while the
// caller of a lasting job allows one of its tasks to be away at a time.
func TestCordonedWorkersAreLeftAsCallersAllow(t *testing.T) {
	r := newRig(t, 3)
	step := lasting()
	step.Tasks, step.MayMiss = 9, 1
	id := r.submit(firstID, nil, nil, step)
	r.play(2 * time.Second)
	for i := range 3 {
		worker := workerInfo(i).ID
		r.shard.SetCordoned([]platform.WorkerID{worker})
		for end := r.now + 20*time.Second; r.now < end; {
			r.round()
			must.LessEq(t, 1, 9-r.cluster.Running(id))
			if lasting, _ := r.shard.LoadOf(worker); lasting == 0 {
				break
			}
		}
		lasting, short := r.shard.LoadOf(worker)
		must.Zero(t, lasting+short)
	}
	r.shard.SetCordoned(nil)
	r.play(time.Second)
	must.Eq(t, 9, r.cluster.Running(id))
	r.clean()
}

// TestCordonedWorkersGetNoTask: what can resume goes on elsewhere.
func TestCordonedWorkersGetNoTask(t *testing.T) {
	r := newRig(t, 2)
	id := r.submit(firstID, seconds(4), nil, batch(8))
	r.play(time.Second)
	r.shard.SetCordoned([]platform.WorkerID{workerInfo(0).ID})
	r.play(2 * time.Second)
	lasting, short := r.shard.LoadOf(workerInfo(0).ID)
	must.Zero(t, lasting+short)
	must.Eq(t, 8, r.cluster.Running(id))
	r.clean()
}
