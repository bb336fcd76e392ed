package owner

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/process/task"
)

// Dimensions of a shard at the system's design size.
const (
	benchWorkers        = 32
	benchTasksPerWorker = 23
	stepPeriod          = 200 * time.Millisecond
)

// traffic counts calls to workers and the bytes of their JSON bodies.
type traffic struct {
	calls map[string]int
	bytes map[string]int
}

func (t *traffic) add(call string, bodies ...any) {
	t.calls[call]++
	for _, b := range bodies {
		data, err := json.Marshal(b)
		if err != nil {
			panic(err)
		}
		t.bytes[call] += len(data)
	}
}

// countingWorker counts the traffic of the calls that occur in the steady state.
type countingWorker struct {
	platform.Worker
	traffic *traffic
}

func (w *countingWorker) Report(ctx context.Context) (platform.Report, error) {
	r, err := w.Worker.Report(ctx)
	w.traffic.add("report", r)
	return r, err
}

func (w *countingWorker) Renew(ctx context.Context, r platform.RenewRequest) (platform.RenewReply, error) {
	reply, err := w.Worker.Renew(ctx, r)
	w.traffic.add("renew", r, reply)
	return reply, err
}

// newFullShard returns a shard whose worker slots are all occupied by tasks that
// run for hours.
func newFullShard(b *testing.B) (*harness, *Owner) {
	h := newHarness(b, benchWorkers, benchTasksPerWorker)
	a := h.newClaimedOwner("a")
	h.submitJob(a, "j", benchWorkers*benchTasksPerWorker, 1000*time.Hour)
	for running := 0; running < benchWorkers*benchTasksPerWorker; {
		_ = a.Follow(b.Context())
		a.SetWorkers(h.hosts)
		must.NoError(b, a.Step(b.Context(), Desired{}))
		h.clock.advance(stepPeriod)
		a.follower.View(func() { running = a.table.CountInState(record.Running) })
	}
	return h, a
}

// BenchmarkSteadyStep measures a step of a full shard in which no task ends,
// with in-process worker calls, and the traffic that the step causes.
func BenchmarkSteadyStep(b *testing.B) {
	h, a := newFullShard(b)
	t := &traffic{calls: map[string]int{}, bytes: map[string]int{}}
	for _, w := range a.workers {
		w.control = &countingWorker{Worker: w.control, traffic: t}
	}
	start := h.clock.elapsed()
	for b.Loop() {
		_ = a.Follow(b.Context())
		a.SetWorkers(h.hosts)
		must.NoError(b, a.Step(b.Context(), Desired{}))
		h.clock.advance(stepPeriod)
	}
	seconds := (h.clock.elapsed() - start).Seconds()
	for _, call := range []string{"report", "renew"} {
		b.ReportMetric(float64(t.calls[call])/seconds/benchWorkers*60, call+"s/worker-min")
		b.ReportMetric(float64(t.bytes[call])/seconds, call+"-B/s")
	}
}

// BenchmarkTaskLife measures the log records, log bytes and step time per task
// from submission to completion.
func BenchmarkTaskLife(b *testing.B) {
	h := newHarness(b, benchWorkers, benchTasksPerWorker)
	a := h.newClaimedOwner("a")
	const tasksPerJob = 50
	ended := 0
	for job := 0; b.Loop(); job++ {
		h.submitJob(a, platform.JobID(fmt.Sprintf("job-%d", job)), tasksPerJob, 2*time.Second)
		for remaining := 1; remaining > 0; {
			_ = a.Follow(b.Context())
			a.SetWorkers(h.hosts)
			must.NoError(b, a.Step(b.Context(), Desired{}))
			h.clock.advance(stepPeriod)
			a.follower.View(func() {
				remaining = a.table.CountInState(record.Queued) + a.table.CountInState(record.Assigned) + a.table.CountInState(record.Running)
			})
		}
		ended += tasksPerJob
	}
	stats := a.writer.Stats()
	b.ReportMetric(float64(stats.Records)/float64(ended), "records/task")
	b.ReportMetric(float64(stats.Bytes)/float64(ended), "log-B/task")
	b.ReportMetric(float64(stats.Appends)/float64(ended), "appends/task")
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(ended), "µs/task")
}

// BenchmarkTableMemory measures the memory of a table per 1,000 running tasks.
func BenchmarkTableMemory(b *testing.B) {
	const tasks = 10_000
	var before, after runtime.MemStats
	var table *task.Table
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		table = newRunningTable(b, tasks)
		runtime.GC()
		runtime.ReadMemStats(&after)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/tasks, "KB/1000-tasks")
	runtime.KeepAlive(table)
}

func newRunningTable(b *testing.B, tasks int) *task.Table {
	t := task.NewTable()
	must.NoError(b, t.Apply(0, record.Record{Job: &record.Job{ID: "j", Template: "t", Count: uint32(tasks)}}))
	for i := range tasks {
		id := task.ID("j", uint32(i))
		worker := platform.WorkerID(fmt.Sprintf("worker-%d", i%1400))
		for _, s := range []record.State{record.Assigned, record.Running} {
			must.NoError(b, t.Apply(0, record.Record{Transition: &record.Transition{
				Task: id, Attempt: 1, State: s, Worker: worker, Boot: "boot", Reason: "best score",
			}}))
		}
	}
	return t
}
