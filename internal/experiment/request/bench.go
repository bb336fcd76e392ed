package request

import (
	"fmt"
	"io"
	"time"

	"github.com/siskinvane/siskinvane/internal/connection/wire"
	"github.com/siskinvane/siskinvane/internal/standin/endpoint"
)

const (
	benchCallers = 32
	// halfLoadCallers is enough callers for an open loop at half load.
	halfLoadCallers = 128
	// overloadCallers is enough callers to sustain the rate while requests wait.
	overloadCallers = 1024
	warmUpTime      = 300 * time.Millisecond
	// In the overload run the worker has workerSlots slots, and each request occupies
	// one for slotTime.
	workerSlots         = 8
	slotTime            = 4 * time.Millisecond
	urgentLatencyTarget = 100 * time.Millisecond
	overloadFactor      = 2
	idleEntries         = 8
	// urgentShare is the load of the urgent service during overload, as a fraction
	// of the worker's peak; the rest of the load may wait.
	urgentShare = 0.6
)

// BenchConfig configures RunBench.
type BenchConfig struct {
	// Duration is the duration of each measurement.
	Duration time.Duration
	// Connections lists the numbers of open client connections to measure with.
	Connections []int
	Out         io.Writer
}

// RunBench compares requests sent to a stand-in endpoint directly and through an entry,
// both in this process.
func RunBench(c BenchConfig) error {
	half, err := benchCost(c)
	if err != nil {
		return err
	}
	if err := benchEndpoints(c, half); err != nil {
		return err
	}
	if err := benchConnections(c, half); err != nil {
		return err
	}
	if err := benchOverload(c); err != nil {
		return err
	}
	if err := benchDetection(c); err != nil {
		return err
	}
	return benchIdle(c)
}

// benchIdle measures the processor time of idle entries.
func benchIdle(c BenchConfig) error {
	b, err := startTestbed(testbedConfig{entries: idleEntries, endpoints: 1, targetLatency: time.Second, direct: true})
	if err != nil {
		return err
	}
	defer b.stop() //nolint:errcheck // the run is over
	time.Sleep(settleTime)
	cpu, start := cpuTime(), time.Now()
	time.Sleep(c.Duration)
	used := float64(cpuTime()-cpu) / float64(time.Since(start)) / idleEntries
	fmt.Fprintf(c.Out, "idle entry among %d: %.2f%% of a core\n", idleEntries, 100*used)
	return nil
}

func (c BenchConfig) newTestbed(endpoints int) (*testbed, error) {
	b, err := startTestbed(testbedConfig{entries: 1, endpoints: endpoints, targetLatency: time.Second, direct: true})
	if err != nil {
		return nil, err
	}
	loadSpec{addr: b.hosts[0].settings.Entry, call: napRequest, callers: benchCallers, duration: warmUpTime}.run()
	return b, nil
}

var napRequest = call{method: "GET", path: "/nap"}

// benchCost measures the cost of an entry at peak load, half load and a tenth of the
// peak, and returns the rate of half load.
func benchCost(c BenchConfig) (float64, error) {
	b, err := c.newTestbed(1)
	if err != nil {
		return 0, err
	}
	defer b.stop() //nolint:errcheck // the run is over
	direct := loadSpec{addr: b.replicas[0].server.Addr(), call: napRequest, callers: benchCallers, duration: c.Duration}
	direct.call.direct = true
	viaEntry := loadSpec{addr: b.hosts[0].settings.Entry, call: napRequest, callers: benchCallers, duration: c.Duration}
	d, t := direct.run(), viaEntry.run()
	added := t.cpuPerRequest() - d.cpuPerRequest()
	c.print("peak", "direct", d)
	c.print("peak", "entry", t)
	fmt.Fprintf(c.Out, "entry alone: %s of a core per request, %.0f requests/s per core, %.1f allocations per request\n",
		added.Round(100*time.Nanosecond), float64(time.Second)/float64(added), t.mallocsPerRequest()-d.mallocsPerRequest())
	half := t.throughput() / 2
	direct.callers, viaEntry.callers = halfLoadCallers, halfLoadCallers
	for _, part := range []struct {
		name string
		rate float64
	}{{"half load", half}, {"a tenth of the peak", half / 5}} {
		direct.rate, viaEntry.rate = part.rate, part.rate
		d, t = direct.run(), viaEntry.run()
		c.print(part.name, "direct", d)
		c.print(part.name, "entry", t)
		fmt.Fprintf(c.Out, "added at %s: p50 %s, p99 %s\n", part.name, t.latencyAt(50)-d.latencyAt(50), t.latencyAt(99)-d.latencyAt(99))
	}
	return half, nil
}

func (c BenchConfig) print(name, path string, m *loadResult) {
	fmt.Fprintf(c.Out, "%-24s %-7s %7.0f/s  p50 %6s  p99 %7s  cpu %7s  allocations %5.1f  refused %d  failed %d\n",
		name, path, m.throughput(), m.latencyAt(50), m.latencyAt(99), m.cpuPerRequest().Round(100*time.Nanosecond), m.mallocsPerRequest(), m.refused, m.failed)
}

// benchEndpoints measures the given rate with different numbers of endpoints.
func benchEndpoints(c BenchConfig, rate float64) error {
	for _, n := range []int{1, 8, 64} {
		b, err := c.newTestbed(n)
		if err != nil {
			return err
		}
		m := loadSpec{
			addr: b.hosts[0].settings.Entry, call: napRequest, callers: halfLoadCallers, rate: rate, duration: c.Duration,
		}.run()
		c.print(fmt.Sprintf("endpoints %d", n), "entry", m)
		if err := b.stop(); err != nil {
			return err
		}
	}
	return nil
}

// benchConnections measures the given rate while idle client connections are open.
func benchConnections(c BenchConfig, rate float64) error {
	for _, n := range c.Connections {
		b, err := c.newTestbed(1)
		if err != nil {
			return err
		}
		idle, err := openIdle(b, n-halfLoadCallers)
		if err == nil {
			m := loadSpec{
				addr: b.hosts[0].settings.Entry, call: napRequest, callers: halfLoadCallers, rate: rate, duration: c.Duration,
			}.run()
			c.print(fmt.Sprintf("open connections %d", n), "entry", m)
		}
		for _, conn := range idle {
			conn.Close()
		}
		b.stop() //nolint:errcheck // the run is over
		if err != nil {
			return fmt.Errorf("open %d connections: %w", n, err)
		}
	}
	return nil
}

// openIdle opens n connections, sends one request over each and leaves them open.
func openIdle(b *testbed, n int) ([]*wire.Conn, error) {
	var idle []*wire.Conn
	for range max(n, 0) {
		c := &caller{}
		q := napRequest
		q.id, q.timeout = "idle", benchTimeout
		if r := c.send(b.hosts[0].settings.Entry, q); r.err != nil {
			return idle, r.err
		}
		if c.conn != nil {
			idle = append(idle, c.conn)
		}
	}
	return idle, nil
}

// benchOverload offers a worker twice its peak load: an urgent service at
// urgentShare of the peak, and a service that may wait for the rest.
func benchOverload(c BenchConfig) error {
	b, err := startTestbed(testbedConfig{
		entries: 1, endpoints: 1, targetLatency: urgentLatencyTarget, direct: true, mayWait: true,
		endpoint: endpoint.Config{Slots: make(chan struct{}, workerSlots), ServiceTime: slotTime},
	})
	if err != nil {
		return err
	}
	defer b.stop() //nolint:errcheck // the run is over
	addr := b.hosts[0].settings.Entry
	peak := loadSpec{addr: addr, call: napRequest, callers: 2 * workerSlots, duration: c.Duration}.run()
	c.print("worker at its peak", "entry", peak)
	rate := peak.throughput()
	mayWait := napRequest
	mayWait.service = mayWaitName
	urgentLoad := loadSpec{addr: addr, call: napRequest, callers: overloadCallers, rate: urgentShare * rate, duration: c.Duration}
	mayWaitLoad := loadSpec{addr: addr, call: mayWait, callers: overloadCallers, rate: (overloadFactor - urgentShare) * rate, duration: c.Duration}
	done := make(chan *loadResult)
	go func() { done <- mayWaitLoad.run() }()
	u := urgentLoad.run()
	w := <-done
	c.print("2x overload, urgent", "entry", u)
	c.print("2x overload, may wait", "entry", w)
	fmt.Fprintf(c.Out, "goodput %.0f%% of the peak; urgent p99 %s, target %s; may wait: %d refused of %d\n",
		100*float64(u.answered+w.answered)/max(u.elapsed, w.elapsed).Seconds()/rate, u.latencyAt(99), urgentLatencyTarget, w.refused, w.refused+w.answered+w.failed)
	return nil
}
