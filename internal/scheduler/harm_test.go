package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
	"github.com/siskinvane/siskinvane/internal/standin/cluster"
)

const targetMS = 50

func serving(tasks int, image string) job.Step {
	return job.Step{
		Tasks: tasks, Size: platform.Resources{MilliCPU: 6000, MemoryMB: 12_000}, LongRunning: true,
		Image: image, TargetMS: targetMS,
	}
}

func filler(tasks int, image string) job.Step {
	s := batch(tasks)
	s.Image, s.Fills = image, true
	return s
}

// queueing is a tail that grows like that of a queue. Each image takes its share
// of the server for each of its tasks; the rest is used to a quarter.
func queueing(costs map[string]float64) func(*job.Step, []cluster.Filler) float64 {
	return func(_ *job.Step, fillers []cluster.Filler) float64 {
		const idle, used, worst = 10.0, 0.25, 600.0
		free := 1 - used
		for _, f := range fillers {
			free -= costs[f.Image] * float64(f.Percent) / 100
		}
		return min(worst, idle/max(free, 1e-3))
	}
}

// working counts the fillers on a worker that are not paced to nothing.
func working(c *cluster.Cluster, id platform.WorkerID) int {
	n := 0
	for _, f := range c.Fillers(id) {
		if f.Percent > 0 {
			n++
		}
	}
	return n
}

// TestHeavyFillersLeaveServingTasks: on one worker without an alternative, what
// disturbs waits; what does not runs.
func TestHeavyFillersLeaveServingTasks(t *testing.T) {
	r := newRig(t, 1)
	r.cluster.Interfere(queueing(map[string]float64{"heavy": 0.3, "light": 0.005}))
	r.submit(firstID, nil, nil, serving(3, "web"))
	r.play(2 * time.Second)
	r.submit("00000000000000a2", seconds(1), nil, filler(20, "heavy"))
	light := r.submit("00000000000000a3", seconds(1), nil, filler(20, "light"))
	over := time.Duration(0)
	for range 400 {
		r.round()
		if latency := queueing(map[string]float64{"heavy": 0.3, "light": 0.005})(nil, r.cluster.Fillers("w00")); latency > targetMS {
			over += round
		}
	}
	r.clean()
	must.Eq(t, job.Done, r.state(light))
	must.Less(t, 2*time.Second, over, must.Sprint("time over the target"))
}

// TestBurstsOfWorseFillers lets bursts of fillers come to workers that are in use. The
// tasks of a burst take more than those of the burst before, which cannot be known
// before their first figures. Serving tasks are over their target for a tenth of the
// time at most, and the fillers get on.
func TestBurstsOfWorseFillers(t *testing.T) {
	const workers = 6
	r := newRig(t, workers)
	costs := map[string]float64{"burst": 0.04}
	latency := queueing(costs)
	r.cluster.Interfere(latency)
	for i := range workers {
		r.submit(fmt.Sprintf("%016x", 100+i), nil, nil, serving(4, "web"))
	}
	r.play(2 * time.Second)
	over, all := 0, 0
	var bursts []job.ID
	for i := range 12 {
		costs["burst"] = 0.04 + 0.1*float64(i%2)
		for k := range 4 {
			bursts = append(bursts, r.submit(fmt.Sprintf("%016x", 1000+10*i+k), seconds(1), nil, filler(8, "burst")))
		}
		for range 60 {
			r.round()
			for w := range workers {
				all++
				if latency(nil, r.cluster.Fillers(workerInfo(w).ID)) > targetMS {
					over++
				}
			}
		}
	}
	t.Logf("over the target for %.3f of the time", float64(over)/float64(all))
	must.Less(t, all/10, over)
	r.play(5 * time.Second)
	for _, id := range bursts {
		must.Eq(t, job.Done, r.state(id))
	}
	r.clean()
}

// TestLateJobsMakeRoomFirst: of two jobs whose tasks take too much of a serving task's
// headroom, the one that cannot be in time any more is stopped.
func TestLateJobsMakeRoomFirst(t *testing.T) {
	r := newRig(t, 1)
	own := 0.0
	fillers := queueing(map[string]float64{"fill": 0.06})
	r.cluster.Interfere(func(victim *job.Step, beside []cluster.Filler) float64 { return fillers(victim, beside) * (1 + own) })
	r.submit(firstID, nil, nil, serving(3, "web"))
	r.play(2 * time.Second)
	for _, id := range []string{"00000000000000a4", "00000000000000a5"} {
		r.submit(id, seconds(1), nil, filler(6, "fill"))
		r.play(3 * time.Second)
	}
	unhurried := func(s *job.Submission) { s.Stretch = 100 }
	hopeless := func(s *job.Submission) { s.Stretch, s.TargetMS = 0, 1 }
	inTime := r.submitAs("00000000000000a2", unhurried, seconds(8), nil, filler(3, "fill"))
	late := r.submitAs("00000000000000a3", hopeless, seconds(8), nil, filler(3, "fill"))
	r.play(2 * time.Second)
	must.Eq(t, 6, r.cluster.Running(inTime)+r.cluster.Running(late))
	own = 0.7
	r.play(2500 * time.Millisecond)
	stopped := map[job.ID]int{}
	for _, id := range []job.ID{inTime, late} {
		for index := range 3 {
			if r.cluster.AttemptOf("w00", job.TaskRef{Job: id, Index: index}) != 1 {
				stopped[id]++
			}
		}
	}
	must.Zero(t, stopped[inTime])
	must.Positive(t, stopped[late])
	r.clean()
}

// TestHaltWithoutBlame: a serving task that stays a little over its target, beside
// tasks that were never seen to take anything from it, loses them all the same
// before the platform's bound of 4 s.
func TestHaltWithoutBlame(t *testing.T) {
	r := newRig(t, 1)
	begin := r.now + 10*time.Second
	r.cluster.Interfere(func(_ *job.Step, fillers []cluster.Filler) float64 {
		if r.now > begin {
			return 1.01 * targetMS
		}
		return 20
	})
	r.submit(firstID, nil, nil, serving(3, "web"))
	r.submit("00000000000000a2", seconds(0.7), nil, filler(30, "quiet"))
	r.play(8 * time.Second)
	r.submit("00000000000000a3", seconds(60), nil, filler(4, "quiet"))
	r.play(2 * time.Second)
	must.Positive(t, working(r.cluster, "w00"))
	r.play(2500 * time.Millisecond)
	must.Zero(t, working(r.cluster, "w00"))
	r.clean()
}

// TestServingTasksGatherByImage: which images disturb each other is a matter of
// pairs, so workers get serving tasks of one image.
func TestServingTasksGatherByImage(t *testing.T) {
	r := newRig(t, 6)
	r.submit(firstID, nil, nil, serving(7, "a"))
	r.submit("00000000000000a2", nil, nil, serving(7, "b"))
	r.submit("00000000000000a3", nil, nil, serving(3, "a"))
	r.play(time.Second)
	for i := range 6 {
		images := map[string]bool{}
		for id, image := range map[job.ID]string{firstID: "a", "00000000000000a2": "b", "00000000000000a3": "a"} {
			for index := range 7 {
				if r.cluster.AttemptOf(workerInfo(i).ID, job.TaskRef{Job: id, Index: index}) > 0 {
					images[image] = true
				}
			}
		}
		must.Less(t, 2, len(images))
	}
}

// TestRoughFiguresDoNotEndAHalt: the true latency stays a little over the target
// while the figures of it scatter by a tenth. On the bench a filler that started
// at each better figure kept a serving task over its target for 4 s.
func TestRoughFiguresDoNotEndAHalt(t *testing.T) {
	r := newRig(t, 1)
	begin := r.now + 10*time.Second
	turn := 0
	r.cluster.Interfere(func(_ *job.Step, fillers []cluster.Filler) float64 {
		if r.now <= begin || len(fillers) == 0 {
			return 20
		}
		turn++
		return targetMS * (1.02 + 0.08*float64(turn/20%3-1))
	})
	r.submit(firstID, nil, nil, serving(3, "web"))
	r.submit("00000000000000a2", seconds(0.7), nil, filler(400, "quiet"))
	r.play(10 * time.Second)
	worked, longest := time.Duration(0), time.Duration(0)
	for range 200 {
		r.round()
		if working(r.cluster, "w00") == 0 {
			worked = 0
			continue
		}
		worked += round
		longest = max(longest, worked)
	}
	must.Less(t, 4*time.Second, longest)
	r.clean()
}

// TestNewOwnerKnowsWhatDisturbs: what was learned goes over to the next owner, which
// starts no heavy fillers beside serving tasks to find it out again.
func TestNewOwnerKnowsWhatDisturbs(t *testing.T) {
	r := newRig(t, 1)
	latency := queueing(map[string]float64{"heavy": 0.3})
	r.cluster.Interfere(latency)
	r.submit(firstID, nil, nil, serving(3, "web"))
	r.play(2 * time.Second)
	r.submit("00000000000000a2", seconds(1), nil, filler(40, "heavy"))
	r.play(8 * time.Second)
	learned, err := r.shard.Learned()
	must.NoError(t, err)
	r.takeOver(false)
	must.NoError(t, r.shard.Restore(learned))
	starts := r.cluster.Starts()
	for range 100 {
		r.round()
		must.LessEq(t, targetMS, latency(nil, r.cluster.Fillers("w00")))
	}
	must.Greater(t, starts, r.cluster.Starts())
	r.clean()
}

// TestOnePaceOrderAtATime: two orders for a task that were under way at once could
// overtake each other, and a task that was to rest worked on.
func TestOnePaceOrderAtATime(t *testing.T) {
	r := newRig(t, 1)
	r.cluster.Interfere(queueing(map[string]float64{"heavy": 0.3}))
	r.submit(firstID, nil, nil, serving(3, "web"))
	r.play(2 * time.Second)
	step := filler(12, "heavy")
	step.Checkpointing = false
	r.submit("00000000000000a2", seconds(20), nil, step)
	under := map[job.TaskRef]bool{}
	for range 60 {
		r.now += round
		r.cluster.Advance(r.now)
		r.hold("w00")
		r.hold("w00")
		a := r.shard.Plan(r.now, r.now.Milliseconds())
		for _, start := range a.Starts {
			answer, answered := r.cluster.Start(r.now, start.Worker.ID, start.Order)
			r.shard.StartAnswered(r.now, start, answer, outcome(answered))
		}
		for _, pace := range a.Paces {
			must.False(t, under[pace.Order.Task])
			under[pace.Order.Task] = true
		}
	}
	must.MapNotEmpty(t, under)
}

// TestNewOwnerWakesPacedTasks: a task that an earlier owner let rest is told its
// share by the next one.
func TestNewOwnerWakesPacedTasks(t *testing.T) {
	r := newRig(t, 1)
	id := r.submit(firstID, seconds(20), nil, filler(1, "light"))
	r.play(500 * time.Millisecond)
	_, answered := r.cluster.Pace(r.now, "w00", fleet.PaceOrder{Task: job.TaskRef{Job: id}, Attempt: 1, Percent: 0, Token: 1})
	must.True(t, answered)
	r.takeOver(false)
	r.play(time.Second)
	must.Eq(t, []cluster.Filler{{Image: "light", Percent: 100}}, r.cluster.Fillers("w00"))
}

// TestEmptyWorkerTakesFillers: a worker that never ran anything counted as having
// no processors to spare.
func TestEmptyWorkerTakesFillers(t *testing.T) {
	r := newRig(t, 1)
	id := r.submit(firstID, nil, nil, filler(4, "light"))
	r.play(2 * time.Second)
	must.Eq(t, job.Done, r.state(id))
}
