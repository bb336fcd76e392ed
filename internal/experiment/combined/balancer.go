package combined

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/siskinvane/siskinvane/internal/process/settings"
)

// probePeriod is the pause between two rounds of readiness probes.
const probePeriod = 500 * time.Millisecond

// balancer chooses among the hosts whose last readiness probe succeeded, as the
// platform's load balancer does. It is safe for concurrent use.
type balancer struct {
	mu    sync.Mutex
	ready []settings.Host
}

// pick returns a random ready host, or false if there is none.
func (b *balancer) pick(random *rand.Rand) (settings.Host, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return settings.Host{}, false
	}
	return b.ready[random.IntN(len(b.ready))], true
}

// probe probes all hosts once and replaces the list of ready hosts.
func (b *balancer) probe(hosts []settings.Host) {
	var ready []settings.Host
	for _, h := range hosts {
		if isReady(h) {
			ready = append(ready, h)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

func isReady(h settings.Host) bool {
	resp, err := client.Get(fmt.Sprintf("http://%s/ready", h.EntryAdmin))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// probeLoop probes the hosts until the load ends.
func (r *run) probeLoop() {
	for !r.loadStopped() {
		r.balancer.probe(r.hosts)
		time.Sleep(probePeriod)
	}
}
