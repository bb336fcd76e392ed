package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// BenchmarkTask measures what the owner's decisions cost for each task that is started,
// in microseconds, at three sizes. Serving tasks run on the workers while callers submit
// wide jobs of fillers and narrow urgent ones, 2.4 tasks a second for each worker.
func BenchmarkTask(b *testing.B) {
	for _, workers := range []int{66, 490, 890} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			d := newMixedLoad(b, workers)
			d.run(3)
			d.spent, d.started = 0, 0
			b.ResetTimer()
			d.run(b.N)
			b.ReportMetric(float64(d.spent.Microseconds())/float64(max(1, d.started)), "us/task")
			b.ReportMetric(float64(d.started)/float64(b.N), "tasks/op")
		})
	}
}

// mixedLoad drives a harness and measures the time spent in the shard.
type mixedLoad struct {
	*harness
	workers, jobs, started int
	random                 *rand.Rand
	spent                  time.Duration
}

func newMixedLoad(b *testing.B, workers int) *mixedLoad {
	d := &mixedLoad{harness: newHarness(b, workers), workers: workers, random: rand.New(rand.NewPCG(1, 1))}
	costs := map[string]float64{}
	for i := range 30 {
		costs[fmt.Sprintf("f%d", i)] = 0.02 + 0.1*float64(i%3)
	}
	d.cluster.SetInterference(queueingLatency(costs))
	for range workers / 14 {
		d.submitStep(servingStep(24, fmt.Sprintf("s%d", d.random.IntN(16))))
	}
	return d
}

func (d *mixedLoad) submitStep(steps ...job.Step) {
	d.jobs++
	length := func(job.TaskRef) time.Duration {
		return time.Duration((0.8 + 1.8*d.random.Float64()) * float64(time.Second))
	}
	if steps[0].LongRunning {
		length = nil
	}
	d.submit(fmt.Sprintf("%016x", d.jobs), length, nil, steps...)
}

const (
	// ticksPerSecond is the number of steps of a simulated second, in each of which
	// every renewEvery-th worker answers. A plan follows answersPerPlan answers.
	ticksPerSecond = 20
	renewEvery     = 7
	answersPerPlan = 4
)

// run simulates the given number of seconds.
func (d *mixedLoad) run(seconds int) {
	for range seconds {
		for tick := range ticksPerSecond {
			d.now += time.Second / ticksPerSecond
			d.cluster.Advance(d.now)
			if d.random.Float64() < 0.027*float64(d.workers)/ticksPerSecond {
				step := fillerStep(39, fmt.Sprintf("f%d", d.random.IntN(30)))
				d.submitStep(step, dependsOn(0)(step))
			}
			if d.random.Float64() < 0.014*float64(d.workers)/ticksPerSecond {
				d.submitStep(batchStep(9))
			}
			answers := 0
			for i := tick % renewEvery; i < d.workers; i += renewEvery {
				d.timedRenewal(workerInfo(i).ID)
				if answers++; answers%answersPerPlan == 0 {
					d.timedPlan()
				}
			}
			d.timedPlan()
			d.record()
		}
	}
}

// timed adds the time that f takes to what the shard has spent.
func (d *mixedLoad) timed(f func()) {
	started := time.Now()
	f()
	d.spent += time.Since(started)
}

func (d *mixedLoad) timedRenewal(id platform.WorkerID) {
	_, order, ok := d.shard.RenewOrder(d.now, id)
	if !ok {
		return
	}
	lists, _ := d.cluster.Renew(d.now, id, order)
	d.timed(func() { d.shard.RenewAnswered(d.now, d.now, id, lists) })
}

func (d *mixedLoad) timedPlan() {
	var a scheduler.Actions
	d.timed(func() { a = d.shard.Plan(d.now, d.now.Milliseconds(), unlimitedStarts) })
	for _, planned := range a.Starts {
		var start scheduler.StartAction
		wanted := false
		d.timed(func() { start, wanted = d.shard.BeginStart(d.now, planned) })
		if !wanted {
			continue
		}
		d.started++
		answer, answered := d.cluster.Start(d.now, start.Worker.ID, start.Order)
		d.timed(func() { d.shard.StartAnswered(d.now, start, answer, orderError(answered)) })
	}
	for _, stop := range a.Stops {
		answer, answered := d.cluster.Stop(d.now, stop.Worker.ID, stop.Order)
		d.timed(func() { d.shard.StopAnswered(d.now, stop, answer, orderError(answered)) })
	}
	for _, throttle := range a.Throttles {
		answer, answered := d.cluster.Throttle(d.now, throttle.Worker.ID, throttle.Order)
		d.timed(func() { d.shard.ThrottleAnswered(d.now, throttle, answer, orderError(answered)) })
	}
}
