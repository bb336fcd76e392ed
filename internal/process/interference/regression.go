package interference

import (
	"math"

	"github.com/siskinvane/siskinvane/internal/platform"
)

const (
	// priorIntercept is the expected logarithm of latency over target for a service
	// alone on an idle worker.
	priorIntercept = -1.0
	// priorLogSlowdown is the expected logarithm of the slowdown by one neighbour
	// of a class without measurements.
	priorLogSlowdown = 0.05
	// priorVariance is the variance of a coefficient before any measurement, as a
	// multiple of the noise variance.
	priorVariance = 4.0
	// priorNoiseVariance is the assumed variance of one measurement's logarithm, and
	// priorWeight the weight of that assumption, in measurements.
	priorNoiseVariance = 0.04
	priorWeight        = 4.0
	// retention is the forgetting factor: the weight of old measurements is
	// multiplied by it at each new one.
	retention = 0.9995
	// maxNoiseWeight limits the weight of old measurements in the noise variance.
	maxNoiseWeight = 500
	// maxClasses is the maximum number of neighbouring classes of one regression.
	// Further classes share otherClass.
	maxClasses = 64
	// otherClass represents all classes beyond maxClasses.
	otherClass platform.ClassName = ""
)

// Indexes of the fixed features, and of the first class feature.
const (
	interceptFeature = iota
	loadFeature
	firstClassFeature
)

// regression is a Bayesian linear regression with a normal-inverse-gamma prior,
// updated by one measurement at a time. The covariance is a multiple of the noise
// variance.
type regression struct {
	featureOf    map[platform.ClassName]int
	mean         []float64
	cov          [][]float64
	observations []int
	// noiseSum divided by noiseWeight is the noise variance.
	noiseSum    float64
	noiseWeight float64
	// activeFeatures and activeValues are the indexes and values of the non-zero
	// features, as last set by setFeatures.
	activeFeatures []int
	activeValues   []float64
}

// newRegression returns a regression at its prior, or one that takes the means from
// the regression of another load band, with the variance of the prior.
func newRegression(from *regression) *regression {
	r := &regression{featureOf: map[platform.ClassName]int{}, noiseSum: priorNoiseVariance * priorWeight, noiseWeight: priorWeight}
	r.addFeature(priorIntercept)
	r.addFeature(0)
	if from == nil {
		return r
	}
	copy(r.mean, from.mean[:firstClassFeature])
	for class, i := range from.featureOf {
		r.featureOf[class] = i
	}
	for i := firstClassFeature; i < len(from.mean); i++ {
		r.addFeature(from.mean[i])
	}
	return r
}

// addFeature adds a feature with the given prior mean.
func (r *regression) addFeature(mean float64) {
	for i := range r.cov {
		r.cov[i] = append(r.cov[i], 0)
	}
	row := make([]float64, len(r.mean)+1)
	row[len(r.mean)] = priorVariance
	r.cov = append(r.cov, row)
	r.mean = append(r.mean, mean)
	r.observations = append(r.observations, 0)
}

func (r *regression) noiseVariance() float64 { return r.noiseSum / r.noiseWeight }

// setFeatures sets activeFeatures and activeValues, and returns the total amount of the
// classes that have no feature.
func (r *regression) setFeatures(load float64, neighbours []Neighbour) (unknown float64) {
	r.activeFeatures = append(r.activeFeatures[:0], interceptFeature, loadFeature)
	r.activeValues = append(r.activeValues[:0], 1, load)
	for _, n := range neighbours {
		i, ok := r.featureOf[n.Class]
		if !ok {
			unknown += n.Amount
			continue
		}
		r.activeFeatures = append(r.activeFeatures, i)
		r.activeValues = append(r.activeValues, n.Amount)
	}
	return unknown
}

// predict returns the expected logarithm of latency over target and the variance of
// that expectation.
func (r *regression) predict(load float64, neighbours []Neighbour) (mean, variance float64) {
	unknown := r.setFeatures(load, neighbours)
	for a, i := range r.activeFeatures {
		mean += r.mean[i] * r.activeValues[a]
		row := r.cov[i]
		for b, j := range r.activeFeatures {
			variance += row[j] * r.activeValues[a] * r.activeValues[b]
		}
	}
	mean += priorLogSlowdown * unknown
	variance += priorVariance * unknown * unknown
	return mean, max(variance, 0) * r.noiseVariance()
}

// ensureClasses adds a feature for each class of neighbours, up to maxClasses. It
// returns neighbours with the classes beyond that merged into otherClass.
func (r *regression) ensureClasses(neighbours []Neighbour) []Neighbour {
	known := neighbours[:0:0]
	for _, n := range neighbours {
		class := n.Class
		if _, ok := r.featureOf[class]; !ok && len(r.mean)-firstClassFeature >= maxClasses {
			class = otherClass
		}
		if _, ok := r.featureOf[class]; !ok {
			r.featureOf[class] = len(r.mean)
			r.addFeature(priorLogSlowdown)
		}
		known = AddNeighbour(known, class, n.Amount)
	}
	return known
}

// observe updates mean, covariance and noise variance by one measurement.
func (r *regression) observe(o Observation) {
	r.setFeatures(o.Load, r.ensureClasses(o.Neighbours))
	y := math.Log(max(o.Ratio, minRatio))
	d := len(r.mean)
	gain := make([]float64, d)
	for i := range d {
		for a, j := range r.activeFeatures {
			gain[i] += r.cov[i][j] * r.activeValues[a]
		}
	}
	scale, predicted := 1.0, 0.0
	for a, i := range r.activeFeatures {
		scale += gain[i] * r.activeValues[a]
		predicted += r.mean[i] * r.activeValues[a]
		r.observations[i]++
	}
	residual := y - predicted
	for i := range d {
		r.mean[i] += gain[i] / scale * residual
		for j := range d {
			r.cov[i][j] -= gain[i] * gain[j] / scale
		}
	}
	r.applyRetention()
	r.noiseSum += residual * residual / scale
	r.noiseWeight++
	if r.noiseWeight > maxNoiseWeight {
		keep := maxNoiseWeight / r.noiseWeight
		r.noiseSum *= keep
		r.noiseWeight *= keep
	}
}

// applyRetention reduces the weight of old measurements by increasing the covariance.
// It does nothing if that would raise a variance above that of the prior.
func (r *regression) applyRetention() {
	for i := range r.cov {
		if r.cov[i][i] > priorVariance*retention {
			return
		}
	}
	for i := range r.cov {
		for j := range r.cov {
			r.cov[i][j] /= retention
		}
	}
}
