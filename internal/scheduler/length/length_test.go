package length

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestEstimateIsUsedBeforeAnyMeasurement(t *testing.T) {
	m := NewModel()
	must.Eq(t, 3*time.Second, m.Predict("a", 3*time.Second))
	must.Eq(t, defaultRunTime, m.Predict("a", 0))
}

// TestModelBeatsEstimateAndMean uses estimates that are off by a factor of 2.3 in
// either direction, for tasks whose run times vary by less. The prediction must have
// a smaller squared error than the estimate alone and than the mean run time.
func TestModelBeatsEstimateAndMean(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	m := NewModel()
	draw := func() (estimate, runTime time.Duration) {
		y := math.Log(1.5) + 0.45*random.NormFloat64()
		x := y - 0.3 + 0.85*random.NormFloat64()
		return fromLogSeconds(x), fromLogSeconds(y)
	}
	for range 200 {
		estimate, runTime := draw()
		m.Observe("a", estimate, runTime)
	}
	var estimateError, meanError, modelError float64
	const samples = 2000
	for range samples {
		estimate, runTime := draw()
		square := func(d time.Duration) float64 {
			e := logSeconds(d) - logSeconds(runTime)
			return e * e / samples
		}
		estimateError += square(estimate)
		meanError += square(m.Predict("a", 0))
		modelError += square(m.Predict("a", estimate))
	}
	must.Less(t, estimateError, modelError)
	must.Less(t, meanError, modelError)
}
