// Package oracle checks the invariants of execution against what simulated workers
// actually ran: a task never has two running attempts, and no worker runs tasks beyond
// its capacity.
package oracle

import (
	"fmt"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/process/task"
	"github.com/siskinvane/siskinvane/internal/standin/worker"
)

// Oracle checks a set of workers that share one clock. It is not safe for concurrent
// use.
type Oracle struct {
	workers   []*worker.Worker
	nextRun   []int
	endedRuns map[platform.TaskID][]worker.Run
	starts    map[platform.TaskAttempt]attemptStart
}

// attemptStart is where and when an attempt was started.
type attemptStart struct {
	worker platform.WorkerID
	at     time.Duration
}

// New returns an oracle for the given workers that has checked no run yet.
func New(workers []*worker.Worker) *Oracle {
	return &Oracle{
		workers: workers, nextRun: make([]int, len(workers)),
		endedRuns: map[platform.TaskID][]worker.Run{}, starts: map[platform.TaskAttempt]attemptStart{},
	}
}

// Starts returns the number of attempts whose runs were checked.
func (o *Oracle) Starts() int { return len(o.starts) }

// Check returns the first violation among the runs since the last check, or nil.
func (o *Oracle) Check() error {
	var running []worker.Run
	for i, w := range o.workers {
		ended, next := w.EndedRuns(o.nextRun[i])
		o.nextRun[i] = next
		for _, r := range ended {
			if err := o.checkRun(r); err != nil {
				return err
			}
			o.endedRuns[r.Task] = append(o.endedRuns[r.Task], r)
		}
		active := w.ActiveRuns()
		running = append(running, active...)
		if err := checkCapacity(w, active); err != nil {
			return err
		}
	}
	return o.checkRunning(running)
}

// checkRun checks a run against the ended runs of its task and records its start.
func (o *Oracle) checkRun(r worker.Run) error {
	for _, other := range o.endedRuns[r.Task] {
		if overlap(r, other) {
			return fmt.Errorf("task %s ran twice at a time: %s and %s", r.Task, describe(r), describe(other))
		}
	}
	if b, seen := o.starts[r.TaskAttempt]; seen && b != (attemptStart{r.Worker, r.Began}) {
		return fmt.Errorf("attempt %d of task %s began twice: on %s and on %s", r.Attempt, r.Task, b.worker, r.Worker)
	}
	o.starts[r.TaskAttempt] = attemptStart{r.Worker, r.Began}
	return nil
}

func (o *Oracle) checkRunning(running []worker.Run) error {
	byTask := map[platform.TaskID]worker.Run{}
	for _, r := range running {
		if err := o.checkRun(r); err != nil {
			return err
		}
		if other, twice := byTask[r.Task]; twice {
			return fmt.Errorf("task %s runs twice: %s and %s", r.Task, describe(r), describe(other))
		}
		byTask[r.Task] = r
	}
	return nil
}

func overlap(a, b worker.Run) bool {
	return (b.Phase == "" || a.Began < b.Ended) && (a.Phase == "" || b.Began < a.Ended)
}

func describe(r worker.Run) string {
	return fmt.Sprintf("attempt %d on %s from %s to %s %s", r.Attempt, r.Worker, r.Began, r.Ended, r.Phase)
}

func checkCapacity(w *worker.Worker, running []worker.Run) error {
	var sum platform.Resources
	for _, r := range running {
		sum = sum.Add(r.Size)
	}
	if dim := sum.Exceeded(w.Capacity()); dim != "" {
		return fmt.Errorf("worker %s runs more than its %s hold", w.ID(), dim)
	}
	return nil
}

// CheckTable returns an error if the table commits more of a worker than its capacity,
// or if a worker runs an attempt that is unknown to the table, newer than the recorded
// one, or recorded as queued. Attempts older than the recorded one are allowed.
func (o *Oracle) CheckTable(t *task.Table) error {
	for _, w := range o.workers {
		if dim := t.Committed(w.ID()).Exceeded(w.Capacity()); dim != "" {
			return fmt.Errorf("worker %s has more committed than its %s hold", w.ID(), dim)
		}
		for _, r := range w.ActiveRuns() {
			known := t.Task(r.Task)
			if known == nil || r.Attempt > known.Attempt {
				return fmt.Errorf("task %s runs on %s as %s, which the table does not know", r.Task, w.ID(), describe(r))
			}
			if known.Attempt == r.Attempt && known.State == record.Queued {
				return fmt.Errorf("task %s is queued and runs on %s", r.Task, w.ID())
			}
		}
	}
	return nil
}

// CheckRuns returns an error if two runs of one task overlap, or if an attempt was
// started more than once. The runs share one clock.
func CheckRuns(runs []worker.Run) error {
	o := New(nil)
	for _, r := range runs {
		if err := o.checkRun(r); err != nil {
			return err
		}
		o.endedRuns[r.Task] = append(o.endedRuns[r.Task], r)
	}
	return nil
}
