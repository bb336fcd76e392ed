package interference

import (
	"math"
	"sort"

	"github.com/siskinvane/siskinvane/internal/platform"
)

// Confidence is the number of standard deviations that a prediction adds to the mean.
type Confidence int8

// Levels of confidence. Optimistic predicts less interference than expected, Cautious
// more.
const (
	Optimistic Confidence = -1
	Expected   Confidence = 0
	Cautious   Confidence = 1
)

const (
	// mediumLoadFloor and highLoadFloor are the lower bounds of the upper two load
	// bands.
	mediumLoadFloor = 0.45
	highLoadFloor   = 0.75
	bandCount       = 3
	// minRatio is the lower bound on latency over target before its logarithm is
	// taken.
	minRatio = 1e-3
	// unmeasuredMissChance is predicted for a class without measurements.
	unmeasuredMissChance = 0.05
)

// loadBand returns the index of the band that a processor load falls into.
func loadBand(load float64) int {
	switch {
	case load < mediumLoadFloor:
		return 0
	case load < highLoadFloor:
		return 1
	}
	return 2
}

// Observation is one measurement of a service's tail latency, or of a batch task's run
// time, in which case the usual run time takes the place of the target.
type Observation struct {
	Victim platform.ClassName
	// Load is the worker's processor load at the time of the measurement.
	Load float64
	// Neighbours is the work on the worker at that time, the victim included.
	Neighbours []Neighbour
	// Ratio is the measured latency divided by the target.
	Ratio float64
}

// Estimate is the slowdown of a victim class by one neighbour of another class.
type Estimate struct {
	Antagonist platform.ClassName
	// Slowdown is the factor on latency for one neighbour. 1 means no effect.
	Slowdown float64
	// LogDeviation is the standard deviation of the logarithm of Slowdown.
	LogDeviation float64
	// Observations is the number of measurements behind the estimate.
	Observations int
}

// Model holds, for each victim class and load band, a Bayesian linear regression of
// the logarithm of latency over target on the load and the amount of each
// neighbouring class.
type Model struct {
	victims map[platform.ClassName]*[bandCount]*regression
}

// NewModel returns a model without measurements.
func NewModel() *Model {
	return &Model{victims: map[platform.ClassName]*[bandCount]*regression{}}
}

// Observe updates the model by one measurement.
func (m *Model) Observe(o Observation) {
	v := m.victims[o.Victim]
	if v == nil {
		v = &[bandCount]*regression{}
		m.victims[o.Victim] = v
	}
	b := loadBand(o.Load)
	if v[b] == nil {
		v[b] = newRegression(nearestRegression(v, b))
	}
	v[b].observe(o)
}

// nearestRegression returns the regression of the band closest to b that has one, or
// nil.
func nearestRegression(v *[bandCount]*regression, b int) *regression {
	for d := range bandCount {
		for _, i := range [...]int{b - d, b + d} {
			if i >= 0 && i < bandCount && v[i] != nil {
				return v[i]
			}
		}
	}
	return nil
}

// regressionFor returns the regression that predicts for a load, or nil.
func (m *Model) regressionFor(victim platform.ClassName, load float64) *regression {
	v := m.victims[victim]
	if v == nil {
		return nil
	}
	return nearestRegression(v, loadBand(load))
}

// MissChance returns the probability that the tail latency of a service of class
// victim exceeds its target, given the work on its worker, the service included.
func (m *Model) MissChance(victim platform.ClassName, load float64, neighbours []Neighbour, c Confidence) float64 {
	r := m.regressionFor(victim, load)
	if r == nil {
		return unmeasuredMissChance
	}
	mean, variance := r.predict(load, neighbours)
	noise := r.noiseVariance()
	if c == Expected {
		noise += variance
	}
	shifted := mean + float64(c)*math.Sqrt(variance)
	return normalCDF(shifted / math.Sqrt(noise))
}

// Ratio returns the expected tail latency over target, and whether there are
// measurements of the class.
func (m *Model) Ratio(victim platform.ClassName, load float64, neighbours []Neighbour) (float64, bool) {
	r := m.regressionFor(victim, load)
	if r == nil {
		return 1, false
	}
	mean, _ := r.predict(load, neighbours)
	return math.Exp(mean), true
}

// RankAntagonists returns the neighbouring classes in descending order of their
// estimated effect on the victim's latency.
func (m *Model) RankAntagonists(victim platform.ClassName, load float64, neighbours []Neighbour) []Estimate {
	estimates := make([]Estimate, 0, len(neighbours))
	amounts := map[platform.ClassName]float64{}
	for _, n := range neighbours {
		estimates = append(estimates, m.Estimate(victim, n.Class, load))
		amounts[n.Class] = n.Amount
	}
	added := func(e Estimate) float64 { return math.Log(e.Slowdown) * amounts[e.Antagonist] }
	sort.SliceStable(estimates, func(i, j int) bool { return added(estimates[i]) > added(estimates[j]) })
	return estimates
}

// Estimate returns the estimated slowdown of victim by one task of antagonist at a
// load.
func (m *Model) Estimate(victim, antagonist platform.ClassName, load float64) Estimate {
	e := Estimate{Antagonist: antagonist, Slowdown: math.Exp(priorLogSlowdown), LogDeviation: math.Sqrt(priorNoiseVariance * priorVariance)}
	r := m.regressionFor(victim, load)
	if r == nil {
		return e
	}
	i, ok := r.featureOf[antagonist]
	if !ok {
		return e
	}
	e.Slowdown = math.Exp(r.mean[i])
	e.LogDeviation = math.Sqrt(r.noiseVariance() * r.cov[i][i])
	e.Observations = r.observations[i]
	return e
}

// WeakenEstimate halves the estimated effect of antagonist on victim and increases its
// variance, so that new measurements weigh more. It is called when a mitigation
// against antagonist did not help.
func (m *Model) WeakenEstimate(victim, antagonist platform.ClassName, load float64) {
	r := m.regressionFor(victim, load)
	if r == nil {
		return
	}
	if i, ok := r.featureOf[antagonist]; ok {
		r.mean[i] /= 2
		r.cov[i][i] = min(r.cov[i][i]+priorVariance/4, priorVariance)
	}
}

// normalCDF is the cumulative distribution function of the standard normal
// distribution.
func normalCDF(x float64) float64 { return 0.5 * math.Erfc(-x/math.Sqrt2) }
