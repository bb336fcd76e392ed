package routing

import "time"

const (
	// ejectAfterFailures is the number of consecutive failures after which an
	// endpoint is ejected.
	ejectAfterFailures = 3
	// maxEjectedPercent bounds the share of a service's endpoints that are
	// ejected at the same time.
	maxEjectedPercent = 50
	baseEjectionTime  = time.Second
	maxEjectionTime   = 30 * time.Second
	// slowStartWindow is the time over which the load of a new endpoint rises
	// to its full share.
	slowStartWindow = 10 * time.Second
	// slowStartMinPercent is the share that a new endpoint starts with.
	slowStartMinPercent = 10
)

// CanEject reports whether one more of total endpoints may be ejected if ejected
// of them already are. It never allows all endpoints of a service to be ejected.
func CanEject(ejected, total int) bool {
	return (ejected+1)*100 <= total*maxEjectedPercent
}

// EjectionTime returns the duration of an endpoint's nth consecutive ejection,
// counted from 1. It doubles with each ejection up to maxEjectionTime.
func EjectionTime(n int) time.Duration {
	d := baseEjectionTime
	for ; n > 1 && d < maxEjectionTime; n-- {
		d *= 2
	}
	return min(d, maxEjectionTime)
}

// slowStartPercentAt returns the percentage of its full share of the load that an
// endpoint of the given age gets.
func slowStartPercentAt(age time.Duration) int64 {
	if age >= slowStartWindow {
		return 100
	}
	return max(slowStartMinPercent, int64(100*age/slowStartWindow))
}
