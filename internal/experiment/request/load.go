package request

import (
	"net/netip"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/siskinvane/siskinvane/internal/request/outcome"
)

const (
	// Bounds of the histograms, in microseconds.
	histogramMaxMicros = 60_000_000
	histogramDigits    = 3
	benchTimeout       = time.Second
)

// loadSpec describes a load of requests on one address.
type loadSpec struct {
	addr    netip.AddrPort
	call    call
	callers int
	// rate is the number of requests per second of all callers. With zero, each
	// caller sends its next request when the last answer has arrived (closed loop).
	rate     float64
	duration time.Duration
}

// loadResult is the result of a load.
type loadResult struct {
	answered, refused, failed int64
	elapsed                   time.Duration
	// cpu is the processor time and mallocs the number of allocations of the whole
	// process, including callers and endpoints.
	cpu     time.Duration
	mallocs uint64
	latency *hdrhistogram.Histogram
}

func (r *loadResult) throughput() float64 { return float64(r.answered) / r.elapsed.Seconds() }

// cpuPerRequest returns the processor time per answered request.
func (r *loadResult) cpuPerRequest() time.Duration { return r.cpu / time.Duration(max(r.answered, 1)) }

func (r *loadResult) mallocsPerRequest() float64 {
	return float64(r.mallocs) / float64(max(r.answered, 1))
}

func (r *loadResult) latencyAt(percentile float64) time.Duration {
	return time.Duration(r.latency.ValueAtPercentile(percentile)) * time.Microsecond
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// run sends the load. The latency of a request is measured from the time at which it
// was due, so that it includes the time spent waiting for a free caller.
func (l loadSpec) run() *loadResult {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu, start := cpuTime(), time.Now()
	res := l.send(start)
	res.elapsed = time.Since(start)
	res.cpu = cpuTime() - cpu
	runtime.ReadMemStats(&after)
	res.mallocs = after.Mallocs - before.Mallocs
	return res
}

func (l loadSpec) send(start time.Time) *loadResult {
	res := &loadResult{latency: newHistogram()}
	var next atomic.Int64
	var mu sync.Mutex
	var callers sync.WaitGroup
	for range l.callers {
		callers.Add(1)
		go func() {
			defer callers.Done()
			result := l.runCaller(start, &next)
			mu.Lock()
			defer mu.Unlock()
			res.answered += result.answered
			res.refused += result.refused
			res.failed += result.failed
			res.latency.Merge(result.latency)
		}()
	}
	callers.Wait()
	return res
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMaxMicros, histogramDigits)
}

// runCaller sends requests until the load ends. next is the shared counter that numbers
// the requests of all callers.
func (l loadSpec) runCaller(start time.Time, next *atomic.Int64) *loadResult {
	res := &loadResult{latency: newHistogram()}
	c := &caller{}
	defer c.close()
	for {
		n := next.Add(1)
		due := time.Now()
		if l.rate > 0 {
			due = start.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
		}
		if due.Sub(start) >= l.duration {
			return res
		}
		time.Sleep(time.Until(due))
		q := l.call
		q.id, q.timeout = strconv.FormatInt(n, 10), benchTimeout
		r := c.send(l.addr, q)
		switch {
		case r.err != nil:
			res.failed++
		case r.outcome == outcome.Answered || q.direct && r.status == 200:
			res.answered++
			res.latency.RecordValue(time.Since(due).Microseconds()) //nolint:errcheck // within the bounds
		default:
			res.refused++
		}
	}
}
