package request

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/siskinvane/siskinvane/internal/standin/endpoint"
)

const (
	detectionRate     = 2000
	settleTime        = time.Second
	detectionTime     = 4 * time.Second
	detectionReplicas = 4
)

// failureMode is a way in which an endpoint becomes unavailable.
type failureMode struct {
	name   string
	inject func(b *testbed, victim *replica, stalled *atomic.Bool)
}

var failureModes = []failureMode{
	{"endpoint says that it leaves", func(_ *testbed, v *replica, _ *atomic.Bool) { v.server.SetLeaving() }},
	{"directory says that it leaves", func(b *testbed, v *replica, _ *atomic.Bool) { v.entry.Leaving = true; b.publish() }},
	{"endpoint dies", func(_ *testbed, v *replica, _ *atomic.Bool) { v.path.RefuseNew(true); v.server.Kill() }},
	{"connections fall silent", func(_ *testbed, v *replica, _ *atomic.Bool) { v.path.Blackhole() }},
	{"endpoint stalls", func(_ *testbed, _ *replica, stalled *atomic.Bool) { stalled.Store(true) }},
}

// benchDetection measures for how long an entry still sends requests to an endpoint that
// has become unavailable. The requests are not idempotent.
func benchDetection(c BenchConfig) error {
	for _, mode := range failureModes {
		if err := c.measureDetection(mode); err != nil {
			return err
		}
	}
	return nil
}

func (c BenchConfig) measureDetection(mode failureMode) error {
	stalled := &atomic.Bool{}
	b, err := startTestbed(testbedConfig{
		entries: 1, endpoints: detectionReplicas, targetLatency: urgentLatencyTarget,
		faultPlan: func(index int) func() endpoint.Fault {
			return func() endpoint.Fault {
				if index == 0 && stalled.Load() {
					return endpoint.Stall
				}
				return endpoint.None
			}
		},
	})
	if err != nil {
		return err
	}
	defer b.stop() //nolint:errcheck // the run is over
	l := loadSpec{
		addr: b.hosts[0].settings.Entry, call: call{method: "POST", path: "/nap", body: "nap"},
		callers: halfLoadCallers, rate: detectionRate, duration: settleTime + detectionTime,
	}
	done := make(chan *loadResult)
	go func() { done <- l.run() }()
	time.Sleep(settleTime)
	victim := b.replicas[0]
	injectedAt, requestsBefore := time.Now(), victim.server.Begun()
	mode.inject(b, victim, stalled)
	res := <-done
	lastRequest, sent := victim.server.LastRequestAt(), victim.server.Begun()-requestsBefore
	if dropped, lastDropped := victim.path.Dropped(); dropped > 0 {
		lastRequest, sent = lastDropped, dropped
	}
	fmt.Fprintf(c.Out, "%-30s last request to it after %s, %d sent to it; answered %d, refused or unknown %d, broken %d\n",
		mode.name, max(lastRequest.Sub(injectedAt), 0).Round(time.Millisecond), sent, res.answered, res.refused, res.failed)
	return nil
}
