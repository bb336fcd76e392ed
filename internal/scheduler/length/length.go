// Package length predicts the run times of tasks. Callers' estimates are far off, each
// by a different factor, so an estimate is combined with the measured run times of
// tasks of the same kind. The package does no I/O and reads no clock. It is not safe
// for concurrent use.
package length

import (
	"math"
	"time"
)

const (
	// priorSlope is the assumed slope of log run time over log estimate before any
	// measurement. priorSumSq is the weight of that prior, as a sum of squared
	// deviations of log estimates: that of four estimates that differ by a factor
	// of two.
	priorSlope = 0.5
	priorSumSq = 2.0
	// estimateWeight is the weight of the caller's estimate alone, in measurements.
	estimateWeight = 2.0
	// priorDeviation is the assumed standard deviation of log run times before any measurement,
	// about a factor of two, and deviationWeight its weight in measurements.
	priorDeviation  = 0.7
	deviationWeight = 4.0
	// upperDeviations is the number of standard deviations that nine of ten run times lie below.
	upperDeviations = 1.28
	// defaultRunTime is predicted when there is neither an estimate nor a measurement.
	defaultRunTime = time.Second
	// minRunTime is the lower bound on run times before their logarithm is taken.
	minRunTime = 10 * time.Millisecond
)

// TaskKind identifies a group of similar tasks, which share one regression.
type TaskKind string

// Model holds, for each kind, a linear regression of log run time on log estimate.
type Model struct {
	kinds map[TaskKind]*moments
}

// moments holds the moments of one kind's measurements. Estimates and run times are
// logarithms of seconds.
type moments struct {
	count, meanEstimate, meanRunTime float64
	// estimateSumSq is the sum of the estimates' squared deviations from their mean,
	// crossSum that of the products of both deviations.
	estimateSumSq, crossSum float64
	// runTimeSumSq is the sum of the run times' squared deviations from their mean.
	runTimeSumSq float64
}

// NewModel returns a model without measurements.
func NewModel() *Model { return &Model{kinds: map[TaskKind]*moments{}} }

// Observe updates the model by a task that ran to its end without interruption.
func (m *Model) Observe(k TaskKind, estimate, runTime time.Duration) {
	s := m.kinds[k]
	if s == nil {
		s = &moments{}
		m.kinds[k] = s
	}
	x, y := logSeconds(estimate), logSeconds(runTime)
	s.count++
	dx := x - s.meanEstimate
	s.meanEstimate += dx / s.count
	dy := y - s.meanRunTime
	s.meanRunTime += dy / s.count
	s.runTimeSumSq += dy * (y - s.meanRunTime)
	s.estimateSumSq += dx * (x - s.meanEstimate)
	s.crossSum += dx * (y - s.meanRunTime)
}

func logSeconds(d time.Duration) float64 { return math.Log(max(d, minRunTime).Seconds()) }

// Predict returns the expected run time of a task, given the caller's estimate. Zero
// means that there is no estimate.
func (m *Model) Predict(k TaskKind, estimate time.Duration) time.Duration {
	s := m.kinds[k]
	switch {
	case s == nil && estimate == 0:
		return defaultRunTime
	case s == nil:
		return estimate
	case estimate == 0:
		return fromLogSeconds(s.meanRunTime)
	}
	x := logSeconds(estimate)
	measured := s.meanRunTime + s.slope()*(x-s.meanEstimate)
	weight := s.count / (s.count + estimateWeight)
	return fromLogSeconds(weight*measured + (1-weight)*x)
}

// slope returns the slope of log run time over log estimate.
func (s *moments) slope() float64 {
	return (s.crossSum + priorSlope*priorSumSq) / (s.estimateSumSq + priorSumSq)
}

// UpperBound returns the run time that nine of ten tasks with the given estimate do not exceed.
func (m *Model) UpperBound(k TaskKind, estimate time.Duration) time.Duration {
	return time.Duration(float64(m.Predict(k, estimate)) * math.Exp(upperDeviations*m.deviation(k, estimate)))
}

// deviation returns the standard deviation of the logarithm of run times about the predicted one.
func (m *Model) deviation(k TaskKind, estimate time.Duration) float64 {
	sum, weight := priorDeviation*priorDeviation*deviationWeight, deviationWeight
	if s := m.kinds[k]; s != nil {
		residuals := s.runTimeSumSq
		if estimate != 0 {
			b := s.slope()
			residuals += b*b*s.estimateSumSq - 2*b*s.crossSum
		}
		sum, weight = sum+max(0, residuals), weight+s.count
	}
	return math.Sqrt(sum / weight)
}

func fromLogSeconds(y float64) time.Duration {
	return time.Duration(math.Exp(y) * float64(time.Second))
}
