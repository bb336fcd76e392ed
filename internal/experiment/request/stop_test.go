package request

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/request/outcome"
	"github.com/siskinvane/siskinvane/internal/standin/endpoint"
)

const (
	readyPeriod = 20 * time.Millisecond
	drainNotice = 200 * time.Millisecond
)

// watchReadiness probes an entry's readiness, as the platform's load balancer does. The
// result is true until the entry is not ready.
func watchReadiness(t *testing.T, addr netip.AddrPort, done <-chan struct{}) *atomic.Bool {
	ready := &atomic.Bool{}
	ready.Store(true)
	go func() {
		for {
			resp, err := http.Get("http://" + addr.String() + "/ready")
			if err != nil || resp.StatusCode != 200 {
				ready.Store(false)
				return
			}
			resp.Body.Close()
			select {
			case <-done:
				return
			case <-time.After(readyPeriod):
			}
		}
	}()
	return ready
}

// TestPlannedStopAnswersAllRequests guards against requests that a planned stop of an
// entry cuts off. Under load, callers use their connections for as long as the entry
// keeps them open, and open new ones while the load balancer still considers the entry
// ready; every request must be answered.
func TestPlannedStopAnswersAllRequests(t *testing.T) {
	runs := endpoint.NewExecutions()
	b, err := startTestbed(testbedConfig{
		entries: 1, endpoints: 2, targetLatency: time.Second, drainNotice: drainNotice,
		endpoint: endpoint.Config{Executions: runs, ServiceTime: 5 * time.Millisecond},
	})
	must.NoError(t, err)
	defer b.stop() //nolint:errcheck // the entry is stopped already
	addr := b.hosts[0].settings.Entry
	done := make(chan struct{})
	defer close(done)
	ready := watchReadiness(t, addr, done)
	var answered, failed atomic.Int64
	var callers sync.WaitGroup
	for n := range 16 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			c := &caller{}
			defer c.close()
			for i := 0; c.conn != nil || ready.Load(); i++ {
				r := c.send(addr, call{method: "POST", path: "/", id: fmt.Sprintf("%d-%d", n, i), timeout: time.Second})
				if r.err != nil || r.outcome != outcome.Answered {
					failed.Add(1)
					continue
				}
				answered.Add(1)
			}
		}()
	}
	for answered.Load() < 200 {
		time.Sleep(time.Millisecond)
	}
	must.NoError(t, b.hosts[0].entry.Stop(context.Background()))
	callers.Wait()
	must.Eq(t, 0, failed.Load())
}
