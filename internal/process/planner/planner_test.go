package planner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/estimate"
	"github.com/siskinvane/siskinvane/internal/process/place"
	"github.com/siskinvane/siskinvane/internal/process/pressure"
	"github.com/siskinvane/siskinvane/internal/process/probe"
)

var start = time.Unix(100_000, 0)

var size = platform.Resources{MilliCPU: 2000, MemoryMB: 4000, Slots: 1}

func newTestPlanner(workers int) *Planner {
	p := New(rand.New(rand.NewPCG(1, 2)))
	for i := range workers {
		p.SetWorker(place.WorkerInfo{
			ID: platform.WorkerID(fmt.Sprintf("w%d", i)), Rack: "r", Domain: "d",
			Capacity: platform.Resources{MilliCPU: 32_000, MemoryMB: 125_000, Slots: 8},
		}, start)
	}
	return p
}

func batchItem(id string) place.Item {
	return place.Item{Since: start, Request: place.Request{
		Task: platform.TaskID(id), Team: "t", Class: "summary", Template: "day", Size: size,
	}}
}

func serviceItem(id string) place.Item {
	return place.Item{Since: start, Request: place.Request{
		Task: platform.TaskID(id), Team: "t", Class: "tap", Service: "diary", Size: size, Urgent: true,
	}}
}

// enqueue enqueues n batch tasks of one template.
func enqueue(p *Planner, job string, n int) {
	for i := range n {
		p.Enqueue(batchItem(fmt.Sprintf("%s/%d", job, i)))
	}
}

// confirm adds a running task to a worker.
func confirm(p *Planner, item place.Item, w platform.WorkerID) {
	p.ConfirmTask(place.Resident{
		Task: item.Task, Attempt: 1, Team: item.Team, Class: item.Class, Template: item.Template, Service: item.Service,
		Worker: w, Size: item.Size, Urgent: item.Urgent, Running: true, SavedAt: start,
	})
}

func report(w platform.WorkerID, at time.Duration, tasks ...platform.TaskReport) *platform.Report {
	for i := range tasks {
		tasks[i].Attempt, tasks[i].Phase = 1, platform.PhaseRunning
	}
	return &platform.Report{
		Worker: w, Capacity: platform.Resources{MilliCPU: 32_000, MemoryMB: 125_000, Slots: 8},
		Now: platform.WorkerTime(at + 10*time.Second), MeasuredAt: platform.WorkerTime(at), Tasks: tasks,
	}
}

func usage(id string, u platform.Resources, latency time.Duration) platform.TaskReport {
	return platform.TaskReport{TaskAttempt: platform.TaskAttempt{Task: platform.TaskID(id)}, Usage: u, Latency: latency}
}

func TestUnprofiledTemplateStartsFewTasks(t *testing.T) {
	p := newTestPlanner(4)
	enqueue(p, "j", 10)
	first := p.Plan(start, 64)
	must.SliceLen(t, estimate.UnprofiledLimit, first)
	must.Eq(t, 6000, first[0].Size.MemoryMB)
	must.SliceEmpty(t, p.Plan(start.Add(unprofiledPeriod), 64))
	p.ConfirmTask(place.Resident{Task: first[0].Task, Attempt: 1, Template: "day", Worker: first[0].Worker, Size: first[0].Size})
	p.Report(report(first[0].Worker, time.Second, usage(string(first[0].Task), size, 0)), start.Add(20*time.Second))
	must.SliceLen(t, 6, p.Plan(start.Add(20*time.Second), 64))
}

func TestTemplateWithoutReportsIsLimitedForABoundedTime(t *testing.T) {
	p := newTestPlanner(4)
	enqueue(p, "j", 10)
	must.SliceLen(t, estimate.UnprofiledLimit, p.Plan(start, 64))
	must.SliceEmpty(t, p.Plan(start.Add(unprofiledPeriod), 64))
	must.SliceLen(t, 6, p.Plan(start.Add(unprofiledPeriod+1), 64))
}

func TestReportsCorrectSizes(t *testing.T) {
	p := newTestPlanner(1)
	p.estimates.Size("template day", size)
	confirm(p, batchItem("j/0"), "w0")
	p.Report(report("w0", time.Second, usage("j/0", platform.Resources{MilliCPU: 9000, MemoryMB: 30_000}, 0)), start.Add(20*time.Second))
	enqueue(p, "k", 8)
	plan := p.Plan(start.Add(20*time.Second), 64)
	must.SliceLen(t, 2, plan, must.Sprint("9 of 32 cores are in use, each further task reserves 9"))
	must.Eq(t, platform.Resources{MilliCPU: 9000, MemoryMB: 33_000, Slots: 1}, plan[0].Size)
}

func TestRepeatedMeasurementCountsOnce(t *testing.T) {
	p := newTestPlanner(1)
	p.SetLatencyBound("tap", 100*time.Millisecond)
	confirm(p, serviceItem("svc/0"), "w0")
	confirm(p, batchItem("j/0"), "w0")
	for i := range 20 {
		p.Report(report("w0", time.Second, usage("svc/0", size, 500*time.Millisecond)), start.Add(11*time.Second+time.Duration(i)))
	}
	_, known := p.Model().Ratio("tap", 0.1, nil)
	must.False(t, known, must.Sprint("the neighbours are not known for the whole time of the measurement"))
	must.SliceEmpty(t, p.NextActions(start.Add(12*time.Second)), must.Sprint("one measurement must not cause an action"))
}

func TestMissLeadsToAnAction(t *testing.T) {
	p := newTestPlanner(1)
	p.SetLatencyBound("tap", 100*time.Millisecond)
	confirm(p, serviceItem("svc/0"), "w0")
	confirm(p, batchItem("j/0"), "w0")
	var actions []pressure.Action
	for i := range 12 {
		at := time.Duration(10+5*i) * time.Second
		p.Report(report("w0", at, usage("svc/0", size, 500*time.Millisecond), usage("j/0", size, 0)), start.Add(at+10*time.Second))
		actions = append(actions, p.NextActions(start.Add(at+10*time.Second))...)
	}
	must.Eq(t, pressure.Throttle, actions[0].Kind)
	must.Eq(t, "j/0", actions[0].Task)
}

func TestUrgentTaskPreemptsWithinTheBudget(t *testing.T) {
	p := newTestPlanner(1)
	for i := range 8 {
		confirm(p, batchItem(fmt.Sprintf("j/%d", i)), "w0")
	}
	p.Enqueue(serviceItem("svc/0"))
	must.SliceEmpty(t, p.Plan(start, 64))
	must.SliceEmpty(t, p.NextActions(start), must.Sprint("no budget yet"))
	p.budget.AddStarts(1000)
	must.SliceEmpty(t, p.Plan(start, 64))
	actions := p.NextActions(start)
	must.SliceLen(t, 1, actions)
	must.SliceEmpty(t, p.Plan(start.Add(time.Second), 64))
	must.SliceEmpty(t, p.NextActions(start.Add(time.Second)), must.Sprint("a preemption for the task is in progress"))
	must.Eq(t, pressure.Move, actions[0].Kind)
	p.End(AttemptEnd{Task: actions[0].Task, Outcome: Evicted}, start)
	plan := p.Plan(start, 64)
	must.SliceLen(t, 1, plan)
	must.Eq(t, "svc/0", plan[0].Task)
}

func TestSuspectWorkerGetsOneTaskAsAProbe(t *testing.T) {
	p := newTestPlanner(1)
	info := p.Cache().Worker("w0").WorkerInfo
	info.SetAside = true
	p.SetWorker(info, start)
	enqueue(p, "k", 5)
	must.SliceEmpty(t, p.Plan(start.Add(time.Second), 64))
	due := start.Add(probe.MinBackoff)
	must.SliceLen(t, 1, p.Plan(due, 64))
	must.SliceEmpty(t, p.Plan(due, 64))
	info.SetAside = false
	p.SetWorker(info, due)
	must.SliceLen(t, 3, p.Plan(due, 64), must.Sprint("the template has no usage report yet"))
}

func TestMovedTaskAvoidsItsOldWorker(t *testing.T) {
	p := newTestPlanner(1)
	p.lastMoves["j/0"] = lastMove{from: "w0", at: start}
	p.Enqueue(batchItem("j/0"))
	must.SliceEmpty(t, p.Plan(start.Add(avoidDuration), 64))
	must.SliceLen(t, 1, p.Plan(start.Add(avoidDuration+1), 64))
}

func TestTaskStaysAwayFromWorkersItFailedOn(t *testing.T) {
	p := newTestPlanner(2)
	item := batchItem("j/0")
	item.Avoid = []platform.WorkerID{"w0"}
	p.Enqueue(item)
	must.Eq(t, "w1", p.Plan(start, 64)[0].Worker)
	item = batchItem("j/1")
	item.Avoid = []platform.WorkerID{"w0", "w1"}
	p.Enqueue(item)
	must.SliceLen(t, 1, p.Plan(start, 64), must.Sprint("it failed everywhere"))
}

func TestLossOfManyTasksPacesStarts(t *testing.T) {
	p := newTestPlanner(4)
	for i := range 16 {
		confirm(p, batchItem(fmt.Sprintf("j/%d", i)), platform.WorkerID(fmt.Sprintf("w%d", i/8)))
	}
	p.estimates.Observe("j/0", "template day", size)
	for i := range 16 {
		id := platform.TaskID(fmt.Sprintf("j/%d", i))
		p.End(AttemptEnd{Task: id, Outcome: Lost}, start)
		p.Enqueue(batchItem(string(id)))
	}
	p.Enqueue(serviceItem("svc/0"))
	must.SliceLen(t, 1, p.Plan(start, 64), must.Sprint("urgent work is not paced"))
}

// BenchmarkStep measures one step of a shard at the target size: 1,400 workers with 23
// tasks each. In each step of 200 ms, 15 tasks start, 15 tasks end and 28 reports
// arrive; one report in five has a new measurement.
func BenchmarkStep(b *testing.B) {
	const workers, each, perStep, reports = 1400, 23, 15, 28
	p := New(rand.New(rand.NewPCG(1, 2)))
	p.SetLatencyBound("tap", 100*time.Millisecond)
	capacity := platform.Resources{MilliCPU: 64_000, MemoryMB: 250_000, Slots: 32}
	for w := range workers {
		id := platform.WorkerID(fmt.Sprintf("w%d", w))
		p.SetWorker(place.WorkerInfo{ID: id, Rack: platform.RackID(fmt.Sprintf("r%d", w/8)), Domain: "d", Capacity: capacity}, start)
		for i := range each {
			item := batchItem(fmt.Sprintf("j%d/%d", w, i))
			if i < 4 {
				item = serviceItem(fmt.Sprintf("svc%d/%d", w, i))
			}
			confirm(p, item, id)
		}
	}
	p.estimates.Size("template day", size)
	p.estimates.Observe("j0/5", "template day", size)
	now, n := start, 0
	for b.Loop() {
		now = now.Add(200 * time.Millisecond)
		for i := range reports {
			w := platform.WorkerID(fmt.Sprintf("w%d", (n*reports+i)%workers))
			r := report(w, now.Sub(start)/time.Second*time.Second)
			p.cache.Worker(w).EachResident(func(t *place.Resident) {
				u := platform.TaskReport{TaskAttempt: platform.TaskAttempt{Task: t.Task, Attempt: t.Attempt}, Phase: platform.PhaseRunning, Usage: size}
				if t.Service != "" {
					u.Latency = 50 * time.Millisecond
				}
				r.Tasks = append(r.Tasks, u)
			})
			p.Report(r, now)
		}
		for i := range perStep {
			p.Enqueue(batchItem(fmt.Sprintf("n%d/%d", n, i)))
		}
		for _, a := range p.Plan(now, 64) {
			p.ConfirmTask(place.Resident{Task: a.Task, Attempt: 1, Class: "summary", Template: "day", Worker: a.Worker, Size: a.Size, SavedAt: now})
			p.End(AttemptEnd{Task: a.Task, Outcome: Finished}, now)
		}
		p.NextActions(now)
		n++
	}
}
