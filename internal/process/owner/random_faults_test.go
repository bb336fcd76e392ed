package owner

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/process/task"
	"github.com/siskinvane/siskinvane/internal/standin/logservice"
	"github.com/siskinvane/siskinvane/internal/standin/worker"
	"pgregory.net/rapid"
)

// actionsPerCase is the number of random actions before all faults are removed.
const actionsPerCase = 250

// stateMachine is a harness with three hosts under random faults.
type stateMachine struct {
	*harness
	rt     *rapid.T
	owners []*Owner
	jobs   []platform.JobID
	// cancelled holds the jobs that a cancellation was requested for, whether or
	// not the request succeeded.
	cancelled map[platform.JobID]bool
}

// TestRandomFaults runs random faults and checks after every action that no task
// ran twice at the same time and no worker exceeded its capacity. After the
// faults are removed, every task must end.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &stateMachine{harness: newHarness(rt, 4, 3), rt: rt, cancelled: map[platform.JobID]bool{}}
		for _, id := range []platform.HostID{"a", "b", "c"} {
			m.owners = append(m.owners, m.newOwner(id))
		}
		m.afterStep = awaitSnapshot
		m.claimShard(m.owners[0])
		for range actionsPerCase {
			m.randomAction()
			must.NoError(rt, m.oracle.Check())
		}
		m.endFaults()
		m.checkFinalStates()
	})
}

// awaitSnapshot waits until no snapshot is being written, which keeps runs
// reproducible.
func awaitSnapshot(o *Owner) {
	for o.replica.Saving() {
		runtime.Gosched()
	}
}

func (m *stateMachine) randomAction() {
	o := m.owners[rapid.IntRange(0, 2).Draw(m.rt, "host")]
	w := m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(m.rt, "worker")]
	switch rapid.IntRange(0, 32).Draw(m.rt, "action") {
	case 0, 1, 2:
		m.submitOne(o)
	case 3:
		m.cancelOne(o)
	case 4, 5:
		m.evictOne(o)
	case 6:
		m.tryClaim(o)
	case 7:
		w.Restart()
	case 8:
		w.Kill()
	case 9:
		w.Pause()
	case 10:
		w.Resume()
	case 11:
		w.Faults.Set(worker.FaultScript{LoseAnswers: rapid.IntRange(1, 4).Draw(m.rt, "lost")})
	case 12:
		w.Faults.Set(worker.FaultScript{UnreachableFrom: []platform.HostID{o.config.Writer.Host}})
	case 13:
		w.Faults.Set(worker.FaultScript{})
	case 14:
		m.store.Faults().Set(logservice.FaultSet{Down: true})
	case 15:
		m.store.Faults().Set(logservice.FaultSet{CutOff: []string{string(o.config.Writer.Host)}})
	case 16, 17:
		m.store.Faults().Set(logservice.FaultSet{LoseAnswers: rapid.IntRange(0, 3).Draw(m.rt, "lost")})
	case 18, 19:
		m.pauseInCall(o)
	case 20, 21:
		m.pauseWorker(o, w)
	case 22:
		m.partitionHosts(o, w)
	case 23:
		m.clock.advance(time.Duration(rapid.IntRange(1, 400).Draw(m.rt, "pause")) * time.Second)
	default:
		for range rapid.IntRange(1, 8).Draw(m.rt, "steps") {
			m.clock.advance(time.Duration(rapid.IntRange(10, 3000).Draw(m.rt, "wait")) * time.Millisecond)
			_ = m.step(o)
		}
	}
}

func (m *stateMachine) submitOne(o *Owner) {
	id := platform.JobID(fmt.Sprintf("job-%d", len(m.jobs)))
	err := o.Submit(context.Background(), record.Job{
		ID: id, Template: "t", Class: "batch", Count: rapid.Uint32Range(1, 4).Draw(m.rt, "tasks"),
		Size:       platform.Resources{MilliCPU: 900, MemoryMB: 900, Slots: 1},
		WorkMillis: uint64(rapid.IntRange(1, 40).Draw(m.rt, "work")) * 1000,
	})
	if err == nil {
		m.jobs = append(m.jobs, id)
	}
}

func (m *stateMachine) cancelOne(o *Owner) {
	if len(m.jobs) == 0 {
		return
	}
	id := rapid.SampledFrom(m.jobs).Draw(m.rt, "job")
	_ = o.Cancel(context.Background(), id)
	m.cancelled[id] = true
}

func (m *stateMachine) evictOne(o *Owner) {
	var victim *task.Task
	o.follower.View(func() {
		o.table.EachInState(record.Running, func(t *task.Task) bool {
			copied := *t
			victim = &copied
			return false
		})
	})
	if victim == nil {
		return
	}
	_, _ = o.commit(context.Background(), record.Record{Transition: &record.Transition{
		Task: victim.ID, Attempt: victim.Attempt, State: record.Checkpointing,
	}})
}

func (m *stateMachine) tryClaim(o *Owner) {
	ctx := context.Background()
	if o.Follow(ctx) == nil && !o.Owns() {
		_, _ = o.Claim(ctx)
	}
}

// pauseInCall steps a host and pauses it before one of its calls, while another
// host claims the shard and runs it.
func (m *stateMachine) pauseInCall(o *Owner) {
	other := m.owners[rapid.IntRange(0, 2).Draw(m.rt, "other")]
	call := rapid.SampledFrom([]string{"start", "renew", "stop"}).Draw(m.rt, "call")
	steps := rapid.IntRange(1, 40).Draw(m.rt, "steps")
	wait := time.Duration(rapid.IntRange(10, 15000).Draw(m.rt, "wait")) * time.Millisecond
	if other == o {
		return
	}
	m.onceBeforeCall(o.config.Writer.Host, call, func(platform.WorkerID) {
		m.tryClaim(other)
		for range steps {
			m.clock.advance(wait)
			_ = m.step(other)
		}
	})
	_ = m.step(o)
	m.beforeCall = nil
}

// pauseWorker pauses a worker while its owner continues with new work to place,
// then resumes it, so that it executes the calls received during the pause.
func (m *stateMachine) pauseWorker(o *Owner, w *worker.Worker) {
	m.submitOne(o)
	if rapid.Bool().Draw(m.rt, "before") {
		_ = m.step(o)
	}
	w.Pause()
	for range rapid.IntRange(1, 60).Draw(m.rt, "seconds") {
		_ = m.step(o)
		m.clock.advance(time.Second)
	}
	w.Resume()
}

// partitionHosts partitions a host from the log and another one from a worker,
// lets the latter claim the shard and runs both.
func (m *stateMachine) partitionHosts(o *Owner, w *worker.Worker) {
	other := m.owners[rapid.IntRange(0, 2).Draw(m.rt, "other")]
	if other == o {
		return
	}
	m.store.Faults().Set(logservice.FaultSet{CutOff: []string{string(o.config.Writer.Host)}})
	reached := rapid.IntRange(0, 1).Draw(m.rt, "reached")
	m.tryClaim(other)
	for second := range rapid.IntRange(1, 400).Draw(m.rt, "seconds") {
		if second == reached {
			w.Faults.Set(worker.FaultScript{UnreachableFrom: []platform.HostID{other.config.Writer.Host}})
		}
		_ = m.step(o)
		_ = m.step(other)
		m.clock.advance(time.Second)
	}
	m.store.Faults().Set(logservice.FaultSet{})
}

// endFaults removes all faults and lets one host run the shard until no task is
// left unfinished.
func (m *stateMachine) endFaults() {
	m.beforeCall = nil
	m.store.Faults().Set(logservice.FaultSet{})
	for _, w := range m.workers {
		w.Faults.Set(worker.FaultScript{})
		w.Resume()
		w.Restart()
	}
	o := m.owners[0]
	for range 3000 {
		m.clock.advance(500 * time.Millisecond)
		if m.step(o) != nil {
			// A writer may still be resolving commits with an unknown outcome
			// from an outage, including a claim of another host.
			m.tryClaim(o)
			time.Sleep(writerRetryDelay)
		} else if m.unfinishedTasks(o) == 0 {
			return
		}
	}
}

func (m *stateMachine) unfinishedTasks(o *Owner) int {
	n := 0
	o.follower.View(func() {
		for s := record.Queued; s <= record.Checkpointing; s++ {
			n += o.table.CountInState(s)
		}
	})
	return n
}

func (m *stateMachine) checkFinalStates() {
	o := m.owners[0]
	must.Zero(m.rt, m.unfinishedTasks(o))
	for _, id := range m.jobs {
		must.NotNil(m.rt, o.table.Job(id), must.Sprintf("job %s lost", id))
		for i := range o.table.Job(id).Count {
			state := o.table.Task(task.ID(id, i)).State
			ok := state == record.Finished || (state == record.Cancelled && m.cancelled[id])
			must.True(m.rt, ok, must.Sprintf("job %s ended as %s", id, state))
		}
	}
}
