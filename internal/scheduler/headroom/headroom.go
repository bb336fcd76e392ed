// Package headroom estimates the latency headroom of latency-critical tasks and how
// much of it each image takes that runs on the same worker.
//
// Headroom is the latency target divided by the measured tail latency: 1 at the
// target, more when latency is below it. The tail latency of a queue at utilization
// u grows as 1/(1-u), so headroom falls linearly with the load from a task's own
// users and from its neighbours. The package does no I/O and reads no clock. It is
// not safe for concurrent use.
package headroom

import (
	"math"
	"slices"
	"time"
)

// ImageID is the index of an image in a Model.
type ImageID int

// ImageShare is the fraction, 0 to 1, of a worker's processors that the tasks of an
// image use.
type ImageShare struct {
	Image ImageID
	Share float64
}

const (
	// priorCost is the assumed cost of an unmeasured image: the headroom that it
	// takes when it uses all of a worker's processors. Measured costs are 0 to 12.
	priorCost = 4.0
	// priorCostVariance is the variance of priorCost: a standard deviation as large
	// as the cost itself, so that a first measurement can change the cost by as much.
	priorCostVariance = 16.0
	// driftVariancePerSecond is the process noise of a task's baseline headroom. Load
	// from its users changes by half within several seconds.
	driftVariancePerSecond = 0.09
	// relativeNoise is the relative error of a measurement. The platform reports
	// rough figures only.
	relativeNoise = 0.12
	// minNoiseVariance is the lower bound on the variance of a measurement.
	minNoiseVariance = 0.01
	// saturatedHeadroom is the headroom below which a measurement shows overload but
	// not its amount, since queues grow then however small the excess load is.
	saturatedHeadroom = 0.35
	// trendWeight is the weight of a measurement in the trend of a task's baseline,
	// relative to its weight in the level. trendHorizon limits how far ahead the
	// trend is extrapolated, and maxTrendPerSecond limits its size.
	trendWeight       = 0.2
	trendHorizon      = 800 * time.Millisecond
	maxTrendPerSecond = 0.6
	// minInterval is the minimum time between two measurements; earlier ones are
	// ignored.
	minInterval = 100 * time.Millisecond
	// maxResidual limits the effect of a single change on costs: a measurement over a
	// time in which the queue was full for a while says little about the cause.
	maxResidual = 1.0
	// maxLearningInterval is the longest time between two measurements whose
	// difference is attributed to the neighbours.
	maxLearningInterval = time.Second
	// minShareChange is the smallest change of a share that updates a cost.
	minShareChange = 0.01
	// minCostVariance is the lower bound on a cost's variance, so that later
	// measurements can still change the cost.
	minCostVariance = 0.5
)

// Model holds the cost of each pair of images.
type Model struct {
	images map[string]ImageID
	// costs is indexed by victim, then by antagonist.
	costs [][]cost
	// lowLevels holds a low quantile of the baseline headroom of each image's tasks.
	lowLevels []float64
}

// cost is the estimated headroom that one image takes from another.
type cost struct {
	mean, variance float64
	updatedAt      time.Duration
	// evaluated is the cost as last returned. A plan asks for the same one many times.
	evaluated evaluatedCost
}

// evaluatedCost is a cost at one time. The zero value is none.
type evaluatedCost struct {
	at              time.Duration
	mean, deviation float64
}

// NewModel returns a model without measurements.
func NewModel() *Model { return &Model{images: map[string]ImageID{}} }

// Image returns the index of an image, adding the image to the model if needed.
func (m *Model) Image(name string) ImageID {
	i, ok := m.images[name]
	if ok {
		return i
	}
	i = ImageID(len(m.images))
	m.images[name] = i
	for v := range m.costs {
		m.costs[v] = append(m.costs[v], newCost())
	}
	row := make([]cost, len(m.images))
	for c := range row {
		row[c] = newCost()
	}
	m.costs = append(m.costs, row)
	m.lowLevels = append(m.lowLevels, priorLowLevel)
	return i
}

func newCost() cost { return cost{mean: priorCost, variance: priorCostVariance} }

// Cost returns the headroom that antagonist takes from victim when it uses all of a
// worker's processors, and the standard deviation of that estimate. Costs decay
// towards the prior: an image whose cost seems too high is never placed beside its
// victim again, so a wrong estimate would otherwise stay forever.
func (m *Model) Cost(victim, antagonist ImageID, now time.Duration) (mean, deviation float64) {
	c := &m.costs[victim][antagonist]
	if c.evaluated.at != now || c.evaluated.deviation == 0 {
		kept := c.retention(now)
		c.evaluated = evaluatedCost{
			at: now, mean: priorCost + kept*(c.mean-priorCost),
			deviation: math.Sqrt(priorCostVariance + kept*(c.variance-priorCostVariance)),
		}
	}
	return c.evaluated.mean, c.evaluated.deviation
}

// retention returns the weight of the learned cost against the prior, 0 to 1.
func (c *cost) retention(now time.Duration) float64 {
	return math.Exp(-max(0, now-c.updatedAt).Seconds() / costDecayTime.Seconds())
}

// costDecayTime is the time in which a learned cost loses two thirds of its weight.
const costDecayTime = 30 * time.Second

// Taken returns the headroom that all neighbours together take from victim.
func (m *Model) Taken(victim ImageID, neighbours []ImageShare, now time.Duration) float64 {
	total := 0.0
	for _, n := range neighbours {
		mean, _ := m.Cost(victim, n.Image, now)
		total += mean * n.Share
	}
	return total
}

// Tracker estimates the headroom of one task over time.
type Tracker struct {
	// level is the task's baseline headroom: what it would have without neighbours.
	level, variance float64
	// trend is the change of level per second.
	trend     float64
	updatedAt time.Duration
	// interval is the time between the last two measurements.
	interval    time.Duration
	initialized bool
	// lastMeasured and lastNeighbours are the last measurement and its neighbours.
	lastMeasured   float64
	lastNeighbours []ImageShare
}

// priorBaseline is the assumed baseline headroom of an unmeasured task.
const priorBaseline = 2.0

// Predict returns the baseline headroom that a task is expected to have after
// trendHorizon and the headroom that the given neighbours take from it. A falling
// trend is followed for that time, but not below the low level of the task's image.
func (m *Model) Predict(victim ImageID, t *Tracker, now time.Duration, neighbours []ImageShare) (baseline, interference float64) {
	baseline = t.baselineAt(now)
	extrapolated := baseline + min(0, t.trend*trendHorizon.Seconds())
	return max(extrapolated, min(baseline, m.lowLevels[victim])), m.Taken(victim, neighbours, now)
}

// baselineAt returns the baseline headroom at now. The trend is extrapolated for at
// most trendHorizon.
func (t *Tracker) baselineAt(now time.Duration) float64 {
	if !t.initialized {
		return priorBaseline
	}
	ahead := min(now-t.updatedAt, trendHorizon)
	return t.level + t.trend*ahead.Seconds()
}

// Observe updates the model and t by a measured headroom of a task. neighbours are the
// average shares over the time that the measurement covers. Costs are learned from the
// change between two measurements of the same task, because its baseline changes slowly
// and its neighbours abruptly. Absolute levels would bias the costs: neighbours are
// placed when there is headroom, and it mostly falls afterwards.
func (m *Model) Observe(victim ImageID, t *Tracker, now time.Duration, neighbours []ImageShare, measured float64) {
	if t.initialized && now-t.updatedAt < minInterval {
		return
	}
	if t.initialized {
		m.updateCosts(victim, t, now, neighbours, measured)
	}
	t.advance(now)
	t.lastMeasured, t.lastNeighbours = measured, neighbours
	residual := measured - (t.level - m.Taken(victim, neighbours, now))
	if measured < saturatedHeadroom && residual > 0 {
		return
	}
	t.update(residual, t.variance+measurementVariance(measured))
	m.updateLowLevel(victim, t.level)
}

const (
	// lowLevelQuantile is the fraction of levels that lie below an image's low level,
	// and lowLevelStep is how much the low level rises for each level above it.
	lowLevelQuantile = 0.05
	lowLevelStep     = 0.002
	// priorLowLevel is the low level of an unmeasured image.
	priorLowLevel = 1.0
)

// updateLowLevel moves the low level of an image towards the quantile of its tasks'
// levels.
func (m *Model) updateLowLevel(victim ImageID, level float64) {
	if level >= m.lowLevels[victim] {
		m.lowLevels[victim] += lowLevelStep
	} else {
		m.lowLevels[victim] -= lowLevelStep * (1 - lowLevelQuantile) / lowLevelQuantile
	}
}

// measurementVariance returns the variance of a measured headroom.
func measurementVariance(measured float64) float64 {
	return minNoiseVariance + relativeNoise*relativeNoise*measured*measured
}

// updateCosts updates the costs of the images whose shares have changed since the last
// measurement.
func (m *Model) updateCosts(victim ImageID, t *Tracker, now time.Duration, neighbours []ImageShare, measured float64) {
	seconds := (now - t.updatedAt).Seconds()
	if seconds > maxLearningInterval.Seconds() || measured < saturatedHeadroom && t.lastMeasured < saturatedHeadroom {
		return
	}
	changes := shareChanges(neighbours, t.lastNeighbours)
	row := m.costs[victim]
	for _, change := range changes {
		mean, deviation := m.Cost(victim, change.Image, now)
		row[change.Image] = cost{mean: mean, variance: deviation * deviation, updatedAt: now}
	}
	expected := t.trend * seconds
	totalVariance := measurementVariance(measured) + measurementVariance(t.lastMeasured) + driftVariancePerSecond*seconds
	for _, change := range changes {
		c := &row[change.Image]
		expected -= c.mean * change.Share
		totalVariance += c.variance * change.Share * change.Share
	}
	residual := max(-maxResidual, min(maxResidual, measured-t.lastMeasured-expected))
	if measured < saturatedHeadroom && residual > 0 || t.lastMeasured < saturatedHeadroom && residual < 0 {
		return
	}
	for _, change := range changes {
		c := &row[change.Image]
		gain := c.variance * change.Share / totalVariance
		c.mean = max(0, c.mean-gain*residual)
		c.variance = max(minCostVariance, c.variance*(1-gain*change.Share))
		c.updatedAt = now
		c.evaluated = evaluatedCost{}
	}
}

// shareChanges returns the differences from before to after, without those below
// minShareChange.
func shareChanges(after, before []ImageShare) []ImageShare {
	var list []ImageShare
	for _, x := range after {
		list = append(list, ImageShare{Image: x.Image, Share: x.Share - shareOf(before, x.Image)})
	}
	for _, x := range before {
		if shareOf(after, x.Image) == 0 {
			list = append(list, ImageShare{Image: x.Image, Share: -x.Share})
		}
	}
	return slices.DeleteFunc(list, func(x ImageShare) bool { return math.Abs(x.Share) < minShareChange })
}

func shareOf(list []ImageShare, image ImageID) float64 {
	for _, x := range list {
		if x.Image == image {
			return x.Share
		}
	}
	return 0
}

// advance extrapolates t to now, before it is updated by a measurement.
func (t *Tracker) advance(now time.Duration) {
	if !t.initialized {
		*t = Tracker{level: priorBaseline, variance: 1, updatedAt: now, initialized: true}
		return
	}
	seconds := (now - t.updatedAt).Seconds()
	t.level = t.baselineAt(now)
	t.variance += driftVariancePerSecond * seconds
	t.interval, t.updatedAt = now-t.updatedAt, now
}

// update corrects level and trend by a residual whose variance is totalVariance.
func (t *Tracker) update(residual, totalVariance float64) {
	gain := t.variance / totalVariance
	t.level += gain * residual
	t.trend += trendWeight * gain * residual / max(t.interval, minInterval).Seconds()
	t.trend = max(-maxTrendPerSecond, min(maxTrendPerSecond, t.trend))
	t.variance *= 1 - gain
}
