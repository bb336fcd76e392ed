package day

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
	"github.com/siskinvane/siskinvane/internal/standin/cluster"
)

const (
	// servingTargetMS is the latency target of serving tasks.
	servingTargetMS = 50
	// maxServingStay is the ratio of the longest to the shortest time after which the caller
	// of a serving job cancels it.
	maxServingStay = 1.5
	// servingImages is the number of images of serving tasks, fillerImages that of fillers
	// from the beginning of the day on.
	servingImages = 3
	fillerImages  = 4
	// lateShare is the fraction of the day after which fillers of new images come, each for
	// lateImageJobs jobs.
	lateShare     = 0.5
	lateImageJobs = 3
	// fillerLength is the ratio of the run time of fillers to that of other tasks.
	fillerLength = 2.5
	// harmStability is how long after a fault serving tasks count as harmed.
	harmStability = 3 * time.Second
	// harmBound is how long fillers may keep a serving task over its target.
	harmBound = 4 * time.Second
)

// colocation is what a caller's job runs, if its tasks serve or fill.
type colocation struct {
	// stay is the time after which the caller of a serving job cancels it, or zero.
	stay time.Duration
	// length is the ratio of the run time of the job's tasks to that of others.
	length float64
}

// drawColocation draws whether the job serves or fills, and changes its steps accordingly.
// It has random numbers of its own, so that the shares of such jobs change nothing else of a
// day. Fillers are gangs only through Plan.GangShare.
func drawColocation(p Plan, number int, steps []job.Step, random *rand.Rand) ([]job.Step, colocation) {
	switch {
	case random.Float64() < p.ServingShare:
		perWorker := 1 + random.IntN(3)
		step := job.Step{
			Tasks: p.Workers/2 + random.IntN(p.Workers/2+1), MaxPerWorker: perWorker,
			Size:  platform.Resources{MilliCPU: 1000 + random.Int64N(3000), MemoryMB: 2000 + random.Int64N(4000)},
			Image: fmt.Sprintf("serving-%d", random.IntN(servingImages)), TargetMS: servingTargetMS, LongRunning: true,
		}
		seconds := float64(p.ServingStaySeconds) * (1 + (maxServingStay-1)*random.Float64())
		return []job.Step{step}, colocation{stay: time.Duration(seconds * float64(time.Second)), length: 1}
	case len(steps) > 0 && !steps[0].LongRunning && random.Float64() < p.FillerShare:
		image := fmt.Sprintf("filler-%d", random.IntN(fillerImages))
		if float64(number) > lateShare*float64(p.Seconds)*p.JobsPerSecond {
			image = fmt.Sprintf("late-%d", number/lateImageJobs)
		}
		for i := range steps {
			steps[i].Fills, steps[i].Image, steps[i].Gang = true, image, false
			steps[i].EstimateMS = int64(fillerLength * float64(steps[i].EstimateMS))
		}
		return steps, colocation{length: fillerLength}
	}
	return steps, colocation{length: 1}
}

// latencyModel gives the tail latency of serving tasks.
type latencyModel struct {
	// low and high bound the latency without fillers, as shares of the target.
	low, high float64
	seed      uint64
	now       func() time.Duration
}

const (
	// loadPeriod is the period of the load of serving tasks.
	loadPeriod = 16 * time.Second
	// lightCost and heavyCost are the largest shares of a serving task's capacity that a
	// light and a heavy filler take.
	lightCost = 0.03
	heavyCost = 0.2
	// maxSlowdown bounds the ratio of the latency beside fillers to that without.
	maxSlowdown = 12
)

// latency returns the tail latency of a serving task in milliseconds beside fillers. It grows
// like that of a queue. The load of each image swings with a phase of its own.
func (m *latencyModel) latency(victim *job.Step, fillers []cluster.Filler) float64 {
	phase := m.draw(victim.Image) + m.now().Seconds()/loadPeriod.Seconds()
	alone := m.low + (m.high-m.low)*(1+math.Sin(2*math.Pi*phase))/2
	free := 1.0
	for _, f := range fillers {
		free -= m.cost(victim.Image, f.Image) * float64(f.Percent) / 100
	}
	return float64(victim.TargetMS) * alone * min(maxSlowdown, 1/max(free, 1e-3))
}

// cost returns the share of a serving task's capacity that a filler takes. Half of the
// fillers' images are light.
func (m *latencyModel) cost(victim, filler string) float64 {
	largest := lightCost
	if m.draw(filler) < 0.5 {
		largest = heavyCost
	}
	return largest * (0.2 + 0.8*m.draw(victim+filler))
}

// draw returns a random number from 0 to 1 that depends on a name.
func (m *latencyModel) draw(name string) float64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return rand.New(rand.NewPCG(m.seed, h.Sum64())).Float64()
}

// colocate sets the latency of serving tasks and what counts as harm to them.
func (sim *simulation) colocate(p Plan) {
	if p.ServingShare == 0 {
		return
	}
	m := &latencyModel{low: p.ServingLoadLow, high: p.ServingLoadHigh, seed: p.Seed, now: sim.now}
	sim.cluster.SetInterference(m.latency)
	sim.cluster.SetHarmBound(harmBound, func(now time.Duration) bool { return sim.disturbance.calmFor(now) < harmStability })
}
