package day

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// TestWaitBeginsAnewAfterStart: a task that crashed its worker between two checks counted as
// waiting all the time. One that was not started goes on waiting, and one that ran at a check
// waits from the next check on.
func TestWaitBeginsAnewAfterStart(t *testing.T) {
	task, other := job.TaskRef{Job: "1"}, job.TaskRef{Job: "2"}
	started := map[job.TaskRef]time.Duration{}
	lastLostStart := func(ref job.TaskRef) time.Duration { return started[ref] }
	idle := idleTasks{}.next(10*time.Second, []job.TaskRef{task, other}, lastLostStart)
	must.Eq(t, idleTasks{task: 10 * time.Second, other: 10 * time.Second}, idle)
	started[task] = 10100 * time.Millisecond
	idle = idle.next(10250*time.Millisecond, []job.TaskRef{task, other}, lastLostStart)
	must.Eq(t, idleTasks{task: started[task], other: 10 * time.Second}, idle)
	idle = idle.next(10500*time.Millisecond, []job.TaskRef{other}, lastLostStart)
	must.Eq(t, idleTasks{other: 10 * time.Second}, idle)
	idle = idle.next(10750*time.Millisecond, []job.TaskRef{task, other}, lastLostStart)
	must.Eq(t, idleTasks{task: 10750 * time.Millisecond, other: 10 * time.Second}, idle)
}
