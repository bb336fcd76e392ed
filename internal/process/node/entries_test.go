package node

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/process/dispatch"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// backlog is a registry with a number of changes that were not read yet, each of which a
// call returns. It implements fleet.Registry and is safe for concurrent use.
type backlog struct{ left, calls atomic.Int64 }

// Next implements fleet.Registry.
func (b *backlog) Next(context.Context) (fleet.Changes, error) {
	b.calls.Add(1)
	if b.left.Load() == 0 {
		return fleet.Changes{More: true}, nil
	}
	left := b.left.Add(-1)
	return fleet.Changes{Removed: []platform.WorkerID{platform.WorkerID(fmt.Sprint(left))}, More: left > 0}, nil
}

// TestEntriesAreReadWithoutPauseWhileBehind: on a link that allows only small reads the
// entries of many workers changed faster than they were read, and were older each time.
func TestEntriesAreReadWithoutPauseWhileBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		started := time.Now()
		clock := func() time.Duration { return time.Since(started) }
		registry := &backlog{}
		registry.left.Store(20)
		n := &Node{Config: Config{Logger: logger, Clock: clock, Registry: func() fleet.Registry { return registry }}}
		n.storeHealth = newStoreHealth(logger, clock)
		d := dispatch.New(dispatch.Config{Clock: clock, Logger: logger, Metrics: metrics.NewRegistry(), Ownership: job.Ownership{Epoch: 1, Claim: 1}})
		ctx, cancel := context.WithCancel(t.Context())
		go n.followWorkers(ctx, d)
		time.Sleep(registryPollInterval / 2)
		must.Zero(t, registry.left.Load())
		must.Eq(t, 20, registry.calls.Load())
		time.Sleep(10 * registryPollInterval)
		must.Eq(t, 30, registry.calls.Load(), must.Sprint("a call that returns nothing is not repeated at once"))
		cancel()
		d.Abort()
		time.Sleep(time.Minute)
	})
}

// silentRegistry is a registry that does not answer. It implements fleet.Registry.
type silentRegistry struct{}

// Next implements fleet.Registry.
func (silentRegistry) Next(ctx context.Context) (fleet.Changes, error) {
	return fleet.Changes{}, silence(ctx)
}

// TestOwnerThatNeverReadEntriesLeavesShardToOthers: a new owner could read no workers' entries,
// kept the shard and started nothing.
func TestOwnerThatNeverReadEntriesLeavesShardToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newPartlySilentFleet(t, "u", "v", "w")
		f.nodes["v"].Registry = func() fleet.Registry { return silentRegistry{} }
		f.kill("u")
		f.awaitOwner(10*time.Second, func(owner string) bool { return owner == "v" })
		f.awaitOwner(maxUnable+6*time.Second, func(owner string) bool { return owner == "w" })
		must.Eq(t, []string{"w"}, f.watchOwners(20*time.Second))
		must.Eq(t, 3, f.claims())
		f.stopAll()
	})
}
