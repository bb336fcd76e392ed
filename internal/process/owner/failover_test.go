package owner

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/lease"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/standin/worker"
)

const hour = time.Hour

func TestTaskRunsAndFinishes(t *testing.T) {
	h := newHarness(t, 2, 4)
	a := h.newClaimedOwner("a")
	h.submitJob(a, "j", 3, 4*time.Second)
	h.runFor(a, 2*time.Second)
	must.Len(t, 1, h.activeRuns("j/0"))
	h.runFor(a, 12*time.Second)
	for _, id := range []platform.TaskID{"j/0", "j/1", "j/2"} {
		state, attempt, _ := h.taskState(a, id)
		must.Eq(t, record.Finished, state)
		must.Eq(t, 1, attempt)
	}
	must.Eq(t, 3, h.oracle.Starts())
}

// onceBeforeCall runs f before the first call of the given kind from a host. The
// result becomes true when f is run.
func (h *harness) onceBeforeCall(host platform.HostID, call string, f func(platform.WorkerID)) *bool {
	done := false
	h.beforeCall = func(from platform.HostID, made string, w platform.WorkerID) {
		if from != host || made != call || done {
			return
		}
		done = true
		f(w)
	}
	return &done
}

// TestOwnerPausedBeforeStartCall pauses the owner between the read-back of an
// assignment and the start call. Another host claims the shard, cannot reach the
// worker, waits for the lease to expire and runs the task elsewhere. The delayed
// start call must not start a second attempt.
func TestOwnerPausedBeforeStartCall(t *testing.T) {
	h := newHarness(t, 2, 4)
	a, b := h.newClaimedOwner("a"), h.newOwner("b")
	h.submitJob(a, "j", 1, hour)
	paused := h.onceBeforeCall("a", "start", func(w platform.WorkerID) {
		h.workerByID(w).Faults.Set(worker.FaultScript{UnreachableFrom: []platform.HostID{"b"}})
		h.claimShard(b)
		h.runFor(b, maxTakeoverDelay)
		_, attempt, newWorkerID := h.taskState(b, "j/0")
		must.Eq(t, 2, attempt)
		must.NotEq(t, w, newWorkerID)
		must.Len(t, 1, h.activeRuns("j/0"))
	})
	_ = h.step(a)
	must.True(t, *paused)
	h.checkInvariants(b)
	must.Len(t, 1, h.activeRuns("j/0"))
	h.runFor(a, 5*time.Second)
	must.Len(t, 1, h.activeRuns("j/0"))
}

// TestOwnerPausedBeforeStartOfCancelledTask pauses the owner before a start call.
// The new owner reaches the worker immediately and the job is cancelled; the delayed
// start call must not run it.
func TestOwnerPausedBeforeStartOfCancelledTask(t *testing.T) {
	h := newHarness(t, 2, 4)
	a, b := h.newClaimedOwner("a"), h.newOwner("b")
	h.submitJob(a, "j", 1, hour)
	paused := h.onceBeforeCall("a", "start", func(platform.WorkerID) {
		h.claimShard(b)
		must.NoError(t, b.Cancel(context.Background(), "j"))
		for range 4 {
			must.NoError(t, h.step(b))
			h.clock.advance(10 * time.Millisecond)
		}
		state, _, _ := h.taskState(b, "j/0")
		must.Eq(t, record.Cancelled, state)
	})
	_ = h.step(a)
	must.True(t, *paused)
	must.Len(t, 0, h.activeRuns("j/0"))
}

func TestStartResponseLost(t *testing.T) {
	h := newHarness(t, 2, 4)
	a := h.newClaimedOwner("a")
	h.submitJob(a, "j", 1, hour)
	lost := h.onceBeforeCall("a", "start", func(w platform.WorkerID) {
		h.workerByID(w).Faults.Set(worker.FaultScript{LoseAnswers: 1})
	})
	h.runFor(a, 30*time.Second)
	must.True(t, *lost)
	state, attempt, _ := h.taskState(a, "j/0")
	must.Eq(t, record.Running, state)
	must.Eq(t, 1, attempt)
	must.Eq(t, 1, h.oracle.Starts())
}

// evictTask writes the record that requests a checkpoint and the end of the
// current attempt.
func (h *harness) evictTask(o *Owner, id platform.TaskID) {
	_, attempt, _ := h.taskState(o, id)
	ok, err := o.commit(context.Background(), record.Record{Transition: &record.Transition{
		Task: id, Attempt: attempt, State: record.Checkpointing,
	}})
	must.NoError(h.t, err)
	must.True(h.t, ok)
}

// TestEvictedResumesOnce evicts a task while responses to stop calls are lost.
// The task must resume once from its checkpoint.
func TestEvictedResumesOnce(t *testing.T) {
	for _, lost := range []int{0, 1, 2} {
		h := newHarness(t, 3, 4)
		a := h.newClaimedOwner("a")
		h.submitJob(a, "j", 1, 30*time.Second)
		h.runFor(a, 12*time.Second)
		h.evictTask(a, "j/0")
		_, _, workerID := h.taskState(a, "j/0")
		h.workerByID(workerID).Faults.Set(worker.FaultScript{LoseAnswers: lost})
		h.runFor(a, 10*time.Second)
		state, attempt, _ := h.taskState(a, "j/0")
		must.Eq(t, record.Running, state)
		must.Eq(t, 2, attempt)
		h.runFor(a, 20*time.Second)
		state, attempt, _ = h.taskState(a, "j/0")
		must.Eq(t, record.Finished, state)
		must.Eq(t, 2, attempt)
		for _, w := range h.workers {
			must.Zero(t, w.Wasted())
		}
	}
}

// TestLeaseRenewedByEarlierOwner partitions the worker from the new owner while
// the earlier owner, partitioned from the log, keeps renewing its leases. A new
// owner that has reached the worker before has fenced off the earlier one and
// waits only for the lease to expire.
func TestLeaseRenewedByEarlierOwner(t *testing.T) {
	cases := []struct {
		name string
		// reached is how long the new owner can reach the worker.
		reached time.Duration
		within  time.Duration
	}{
		{"never reached", 0, maxTakeoverDelay},
		{"reached at first", 2 * time.Second, time.Minute},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 2, 4)
			a, b := h.newClaimedOwner("a"), h.newOwner("b")
			h.submitJob(a, "j", 1, hour)
			h.runFor(a, 2*time.Second)
			_, _, workerID := h.taskState(a, "j/0")
			must.Len(t, 1, h.activeRuns("j/0"))
			logFaults := h.store.Faults().Get()
			logFaults.CutOff = []string{"a"}
			h.store.Faults().Set(logFaults)
			h.claimShard(b)
			h.runFor(b, c.reached)
			h.workerByID(workerID).Faults.Set(worker.FaultScript{UnreachableFrom: []platform.HostID{"b"}})
			start, moved := h.clock.elapsed(), time.Duration(0)
			for h.clock.elapsed() < start+2*maxTakeoverDelay {
				_ = h.step(a)
				_ = h.step(b)
				h.clock.advance(time.Second)
				if _, attempt, _ := h.taskState(b, "j/0"); attempt == 2 && moved == 0 {
					moved = h.clock.elapsed() - start
				}
			}
			must.Between(t, lease.TTL, moved, c.within)
			must.Len(t, 1, h.activeRuns("j/0"))
		})
	}
}

func TestCancelRaces(t *testing.T) {
	h := newHarness(t, 1, 4)
	a := h.newClaimedOwner("a")
	h.submitJob(a, "start", 1, hour)
	h.onceBeforeCall("a", "start", func(platform.WorkerID) {
		must.NoError(t, a.Cancel(context.Background(), "start"))
	})
	h.runFor(a, 5*time.Second)
	state, _, _ := h.taskState(a, "start/0")
	must.Eq(t, record.Cancelled, state)
	must.Len(t, 0, h.activeRuns("start/0"))

	// The task finishes while the stop call is under way.
	h.submitJob(a, "finish", 1, 3*time.Second)
	h.runFor(a, 2*time.Second)
	must.NoError(t, a.Cancel(context.Background(), "finish"))
	h.onceBeforeCall("a", "stop", func(platform.WorkerID) { h.clock.advance(3 * time.Second) })
	h.runFor(a, 5*time.Second)
	state, _, _ = h.taskState(a, "finish/0")
	must.Eq(t, record.Finished, state)

	// The task finishes while it is being evicted.
	h.submitJob(a, "evict", 1, 3*time.Second)
	h.runFor(a, 2*time.Second)
	h.evictTask(a, "evict/0")
	h.onceBeforeCall("a", "stop", func(platform.WorkerID) { h.clock.advance(3 * time.Second) })
	h.runFor(a, 5*time.Second)
	state, attempt, _ := h.taskState(a, "evict/0")
	must.Eq(t, record.Finished, state)
	must.Eq(t, 1, attempt)
}

// TestWorkerReconnectsAfterLeaseExpiry partitions a worker until its task was
// assigned to another one. When the worker reconnects and reports the earlier
// attempt, the newer attempt must keep running and no other may start.
func TestWorkerReconnectsAfterLeaseExpiry(t *testing.T) {
	h := newHarness(t, 2, 4)
	a := h.newClaimedOwner("a")
	h.submitJob(a, "j", 1, hour)
	h.runFor(a, 20*time.Second)
	_, _, workerID := h.taskState(a, "j/0")
	h.workerByID(workerID).Faults.Set(worker.FaultScript{UnreachableFrom: []platform.HostID{"a"}})
	h.runFor(a, 45*time.Second)
	_, attempt, newWorkerID := h.taskState(a, "j/0")
	must.Eq(t, 2, attempt)
	must.NotEq(t, workerID, newWorkerID)
	h.workerByID(workerID).Faults.Set(worker.FaultScript{})
	h.runFor(a, 30*time.Second)
	state, attempt, _ := h.taskState(a, "j/0")
	must.Eq(t, record.Running, state)
	must.Eq(t, 2, attempt)
	must.Eq(t, 2, h.oracle.Starts())
}

// TestDelayedStartAfterWorkerRestart delivers a start call after the worker has
// restarted and the task runs elsewhere. The call must not start the task again.
func TestDelayedStartAfterWorkerRestart(t *testing.T) {
	h := newHarness(t, 2, 4)
	a := h.newClaimedOwner("a")
	h.submitJob(a, "j", 1, hour)
	h.delayNextStart = true
	_ = h.step(a)
	must.NotNil(t, h.deliverStart)
	_, _, workerID := h.taskState(a, "j/0")
	for i := range h.hosts {
		if h.hosts[i].ID == string(workerID) {
			h.hosts[i].State = platform.HostLeaving
		}
	}
	h.workerByID(workerID).Restart()
	h.runFor(a, 2*time.Second)
	state, attempt, newWorkerID := h.taskState(a, "j/0")
	must.Eq(t, record.Running, state)
	must.Eq(t, 2, attempt)
	must.NotEq(t, workerID, newWorkerID)
	h.deliverStart()
	h.checkInvariants(a)
	must.Len(t, 1, h.activeRuns("j/0"))
}
