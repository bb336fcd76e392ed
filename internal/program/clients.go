package program

import (
	"math"
	"strings"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/process/quota"
	"github.com/siskinvane/siskinvane/internal/process/settings"
	"github.com/siskinvane/siskinvane/internal/process/web"
	"github.com/siskinvane/siskinvane/internal/request/framing"
	"github.com/siskinvane/siskinvane/internal/version/queue"
)

const (
	// clientMemoryShare and clientDescriptorShare are what clients' connections and
	// requests may take of the process's memory and descriptors.
	clientMemoryShare     = 1.0 / 6
	clientDescriptorShare = 0.5
	// connectionMemoryShare is the part of that memory that connections may take. The
	// rest is for requests.
	connectionMemoryShare = 0.5
	// adminShare is the part of all that is kept for each of readiness and metrics.
	adminShare = 1.0 / 16

	// defaultHeadBytes and defaultBodyBytes bound a request unless the declarations
	// allow more.
	defaultHeadBytes = 32 << 10
	defaultBodyBytes = 512 << 10
)

// requestLimits returns the limits of a request under the declarations c, which may be nil.
func requestLimits(c *queue.Config) framing.Limits {
	limits := framing.Limits{Head: defaultHeadBytes, Body: defaultBodyBytes}
	if c != nil {
		limits.Head = max(limits.Head, c.Limits.HeaderBytes)
		limits.Body = max(limits.Body, c.Limits.BodyBytes)
	}
	return limits
}

// quotaLimits returns the limits of a server that may use the given share of what clients
// get.
func quotaLimits(s settings.Scheduler, descriptors int, share float64) quota.Limits {
	bytes := share * clientMemoryShare * float64(s.MemoryMB*bytesPerMB)
	connections := min(connectionMemoryShare*bytes/quota.ConnectionBytes, share*clientDescriptorShare*float64(descriptors))
	return quota.Limits{Connections: int(connections), Bytes: int(bytes)}
}

// descriptors returns how many descriptors the process may open.
func descriptors(s settings.Scheduler) int {
	n := math.MaxInt32
	if s.MaxDescriptors > 0 {
		n = s.MaxDescriptors
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < uint64(n) {
		n = int(limit.Cur)
	}
	return n
}

// clientGuards bound what the clients of the process's servers take.
type clientGuards struct {
	logger                      *logrus.Logger
	registry                    metrics.Registry
	callers, readiness, metrics *quota.Quota
}

// newClientGuards returns guards with the limits that s allows.
func newClientGuards(s settings.Scheduler, logger *logrus.Logger, registry metrics.Registry) *clientGuards {
	g := &clientGuards{
		logger: logger, registry: registry,
		callers: quota.New(quota.Limits{}), readiness: quota.New(quota.Limits{}), metrics: quota.New(quota.Limits{}),
	}
	metrics.NewRegisteredFunctionalGauge("clients.connections", registry, func() int64 {
		connections, _ := g.callers.Usage()
		return int64(connections)
	})
	metrics.NewRegisteredFunctionalGauge("clients.bytes", registry, func() int64 {
		_, bytes := g.callers.Usage()
		return int64(bytes)
	})
	g.setLimits(s)
	return g
}

// setLimits applies changed settings.
func (g *clientGuards) setLimits(s settings.Scheduler) {
	n := descriptors(s)
	g.callers.SetLimits(quotaLimits(s, n, 1-2*adminShare))
	g.readiness.SetLimits(quotaLimits(s, n, adminShare))
	g.metrics.SetLimits(quotaLimits(s, n, adminShare))
}

// guard returns the guard of a server with the given name. declarations returns those in
// force, or nil.
func (g *clientGuards) guard(server string, q *quota.Quota, declarations func() *queue.Config) web.Guard {
	lines := web.NewRefusalLog(g.logger, server)
	return web.Guard{
		Quota:  q,
		Limits: func() framing.Limits { return requestLimits(declarations()) },
		OnTurnedAway: func(r web.Refusal) {
			name := "clients.turned_away_" + strings.ReplaceAll(string(r), " ", "_")
			metrics.GetOrRegisterCounter(name, g.registry).Inc(1)
			connections, bytes := q.Usage()
			lines.Add(r, connections, bytes, time.Now())
		},
	}
}
