package policy

import (
	"math"
)

const (
	// latencyLogStdDev is the standard deviation of the logarithm of a replica's request
	// latencies, and p99Quantile the standard normal quantile of the 99th percentile.
	latencyLogStdDev = 0.5
	p99Quantile      = 2.326
	// binsPerLogUnit is the number of histogram bins per factor of e.
	binsPerLogUnit = 50
	histogramBins  = 400
	// histogramZeroBin is the bin of ratio 1.
	histogramZeroBin = 150
)

// runMetrics accumulates the metrics of a run.
type runMetrics struct {
	// requests is a histogram of requests by the ratio of their replica's tail
	// latency to the target.
	requests [histogramBins]float64
	served   float64
	unserved float64
	// offered, finished and wasted are amounts of batch work in core-seconds.
	offered, finished, wasted float64
	starts, finishedTasks     int
	evictions, kills          int
	throttles                 int
}

// Result holds the metrics of one run.
type Result struct {
	Mix, Policy string
	Seed        uint64
	// InTarget is the fraction of service requests within the latency target;
	// requests that arrive while no replica runs count as misses.
	InTarget float64
	// TailOverTarget is the 99th percentile of the ratio of request latency to target.
	TailOverTarget float64
	// BatchFinished is the ratio of finished to offered batch work.
	BatchFinished float64
	// EvictionsPerTask is the ratio of evictions to task starts.
	EvictionsPerTask float64
	Evictions        int
	Kills            int
	Starts           int
	Throttles        int
	// WastedShare is the ratio of discarded to finished batch work.
	WastedShare float64
}

// recordRequests records the requests of one tick. Requests during
// warmUp are not counted.
func (r *run) recordRequests() {
	if r.now < warmUp {
		return
	}
	for i, s := range r.mix.services {
		if r.replicas[i] == 0 {
			r.metrics.unserved += s.requestsPerSecond * r.schedule.serviceLoad(i, r.now) * tick.Seconds()
		}
	}
	for _, m := range r.machines {
		for _, t := range m.tasks {
			if t.service < 0 || r.now < t.readyAt {
				continue
			}
			s := &r.mix.services[t.service]
			rate := s.requestsPerSecond * r.schedule.serviceLoad(t.service, r.now) / float64(r.replicas[t.service])
			r.metrics.addRequests(float64(r.latency(t))/float64(s.targetLatency), rate*tick.Seconds())
		}
	}
}

// addRequests counts requests of a replica, where ratio is the replica's tail latency
// over the target.
func (m *runMetrics) addRequests(ratio, requests float64) {
	bin := histogramZeroBin + int(math.Round(math.Log(ratio)*binsPerLogUnit))
	m.requests[max(min(bin, histogramBins-1), 0)] += requests
	m.served += requests
}

// fractionWithin returns the fraction of all requests whose ratio of latency to target
// is at most x. The latencies of a replica are lognormal, with its tail latency as
// their 99th percentile.
func (m *runMetrics) fractionWithin(x float64) float64 {
	var sum float64
	for bin, requests := range m.requests {
		logRatio := float64(bin-histogramZeroBin) / binsPerLogUnit
		sum += requests * normalCDF(p99Quantile+(math.Log(x)-logRatio)/latencyLogStdDev)
	}
	return sum / (m.served + m.unserved)
}

// p99Ratio returns the 99th percentile of the ratio of latency to target.
func (m *runMetrics) p99Ratio() float64 {
	const steps, top = 60, 100.0
	low, high := 0.01, top
	for range steps {
		middle := math.Sqrt(low * high)
		if m.fractionWithin(middle) < 0.99 {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

func normalCDF(x float64) float64 { return 0.5 * math.Erfc(-x/math.Sqrt2) }

func (m *runMetrics) result(mix *Mix, policy string, seed uint64) Result {
	return Result{
		Mix: mix.Name, Policy: policy, Seed: seed,
		InTarget: m.fractionWithin(1), TailOverTarget: m.p99Ratio(),
		BatchFinished:    m.finished / m.offered,
		EvictionsPerTask: float64(m.evictions) / float64(m.starts),
		Evictions:        m.evictions, Kills: m.kills, Starts: m.starts, Throttles: m.throttles,
		WastedShare: m.wasted / m.finished,
	}
}
