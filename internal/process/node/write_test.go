package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
	"github.com/siskinvane/siskinvane/internal/standin/memnet"
	"github.com/siskinvane/siskinvane/internal/standin/memstore"
	"github.com/siskinvane/siskinvane/internal/version/queue"
)

// TestMain starts the metrics library's meter ticker outside of any synctest bubble,
// because its goroutine never ends.
func TestMain(m *testing.M) {
	metrics.NewMeter().Stop()
	os.Exit(m.Run())
}

// noWorkers is an empty registry. It implements fleet.Registry.
type noWorkers struct{}

func (noWorkers) Next(context.Context) (fleet.Changes, error) { return fleet.Changes{All: true}, nil }

// staticDeclarations is a source that delivers one version of the declarations.
type staticDeclarations struct{ delivered bool }

// Next implements queue.Source.
func (s *staticDeclarations) Next(ctx context.Context) (queue.Declared, error) {
	if !s.delivered {
		s.delivered = true
		return queue.Declared{Config: queue.New(1, []*queue.Queue{{Name: "q", Host: "h", Prefix: "/p/", Service: "s"}}, nil, queue.Limits{})}, nil
	}
	<-ctx.Done()
	return queue.Declared{}, ctx.Err()
}

// testCluster starts hosts that share a store and a network and have no workers.
type testCluster struct {
	store   *memstore.Store
	network *memnet.Network
	started time.Time
	// wrap, if set, wraps the store of each host that is started.
	wrap func(store.Store) store.Store
	// declarations, if set, replaces the one version of the declarations, and logger the
	// one that discards its lines.
	declarations queue.Source
	logger       *logrus.Logger
	// workers, if set, returns the workers as the named host reaches them.
	workers func(host string) *testWorkers
}

func newTestCluster() *testCluster {
	return &testCluster{store: memstore.New(), network: memnet.New(), started: time.Now()}
}

func (c *testCluster) view(name string) *memstore.View { return c.store.View(name) }

// startHost starts a host. The test has to stop it.
func (c *testCluster) startHost(t *testing.T, name string, last byte) *Node {
	t.Helper()
	return c.startLinkedHost(t, name, last, 0)
}

// startLinkedHost is like startHost for a host whose link has the given bandwidth.
func (c *testCluster) startLinkedHost(t *testing.T, name string, last byte, linkMbps float64) *Node {
	t.Helper()
	logger := c.logger
	if logger == nil {
		logger = logrus.New()
		logger.SetOutput(io.Discard)
	}
	declarations := c.declarations
	if declarations == nil {
		declarations = &staticDeclarations{}
	}
	var s store.Store = c.view(name)
	if c.wrap != nil {
		s = c.wrap(s)
	}
	registry := func() fleet.Registry { return noWorkers{} }
	var workers fleet.Workers
	if c.workers != nil {
		w := c.workers(name)
		registry, workers = func() fleet.Registry { return w }, w
	}
	ip := netip.AddrFrom4([4]byte{127, 0, 1, last})
	n, err := Start(Config{
		Host: platform.HostID(name), Peer: netip.AddrPortFrom(ip, 7720), Network: c.network.Host(ip), LinkMbps: linkMbps,
		Logger: logger, Metrics: metrics.NewRegistry(), Clock: func() time.Duration { return time.Since(c.started) },
		Retention: time.Minute, AppendBytes: memstore.MaxAppendBytes,
		Store: s, Registry: registry, Workers: workers, Declarations: declarations,
	})
	must.NoError(t, err)
	return n
}

// startPair starts two hosts; the first owns the shard.
func (c *testCluster) startPair(t *testing.T) (first, second *Node) {
	t.Helper()
	first = c.startHost(t, "h1", 1)
	time.Sleep(time.Second)
	second = c.startHost(t, "h2", 2)
	time.Sleep(2 * time.Second)
	must.True(t, first.OwnsShard())
	return first, second
}

// stop stops hosts and lets calls in flight end.
func (c *testCluster) stop(nodes ...*Node) {
	for _, n := range nodes {
		n.Stop()
	}
	time.Sleep(time.Minute)
}

func submission() *job.Submission {
	return &job.Submission{Queue: "q", Service: "s", MaxFailures: 3, Stretch: 2, TargetMS: 1000, Spec: job.Spec{Steps: []job.Step{{Tasks: 1}}}}
}

const jobID job.ID = "00000000000000aa"

func submit(n *Node, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return n.Submit(ctx, jobID, submission())
}

func TestOwnerWritesForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster()
		first, second := c.startPair(t)
		must.NoError(t, submit(second, 3*time.Second))
		must.Zero(t, c.view("h2").Appends())
		state, err := first.State(context.Background(), jobID)
		must.NoError(t, err)
		must.Eq(t, job.Queued, state)
		c.stop(first, second)
	})
}

// TestUnknownOutcomeIsNotRefusal guards against a caller that is told that its job will
// never run although it runs: an append with an unknown outcome was followed by one
// that certainly failed.
func TestUnknownOutcomeIsNotRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster()
		n := c.startHost(t, "h1", 1)
		time.Sleep(2 * time.Second)
		c.view("h1").Set(memstore.LateAppends, 0)
		go func() {
			time.Sleep(1800 * time.Millisecond)
			c.view("h1").Set(memstore.Busy, 0)
		}()
		err := submit(n, 3*time.Second)
		must.ErrorIs(t, err, platform.ErrOutcomeUnknown)
		must.False(t, errors.Is(err, store.ErrUnavailable), must.Sprint(err))
		c.stop(n)
	})
}

// TestRepeatedRequestIsNotRefused guards against a caller that is told that its job will
// never run although it does: the answer to its first request was lost while the append
// was under way, and its second one met a store that was known to be away. Neither may it
// be held until its deadline, as nothing can be recorded.
func TestRepeatedRequestIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster()
		n := c.startHost(t, "h1", 1)
		time.Sleep(2 * time.Second)
		c.view("h1").Set(memstore.LateAppends, 0)
		must.ErrorIs(t, submit(n, 200*time.Millisecond), platform.ErrOutcomeUnknown)
		c.view("h1").Set(memstore.Unresponsive, 0)
		time.Sleep(1500 * time.Millisecond)
		started := time.Now()
		err := submit(n, 3*time.Second)
		must.ErrorIs(t, err, platform.ErrOutcomeUnknown)
		must.True(t, OutcomeUnknown(err))
		must.Less(t, 50*time.Millisecond, time.Since(started))
		c.stop(n)
	})
}

// TestOpenRequestEndsWithKnownOutage: a request whose append got no answer is told so once
// the store is known to be away, long before its deadline.
func TestOpenRequestEndsWithKnownOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster()
		n := c.startHost(t, "h1", 1)
		time.Sleep(2 * time.Second)
		c.view("h1").Set(memstore.Unresponsive, 0)
		started := time.Now()
		must.ErrorIs(t, submit(n, 10*time.Second), platform.ErrOutcomeUnknown)
		must.Less(t, 2500*time.Millisecond, time.Since(started))
		c.stop(n)
	})
}

// TestBacklogNeedsSeveralAppends: a burst of jobs at a slow store piles up more bytes
// than one append may hold.
func TestBacklogNeedsSeveralAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs = 800
		c := newTestCluster()
		n := c.startHost(t, "h1", 1)
		time.Sleep(2 * time.Second)
		c.view("h1").Set(memstore.Healthy, 300*time.Millisecond)
		results := make(chan error, jobs)
		for i := range jobs {
			s := submission()
			s.Spec.Payload = strings.Repeat("x", 4000)
			id := fmt.Sprintf("%016x", i)
			go func() {
				err := n.Submit(context.Background(), job.ID(id), s)
				if c.store.Newest(n.partition, "j"+id) == nil {
					err = fmt.Errorf("job %s was accepted but is not stored: %w", id, err)
				}
				results <- err
			}()
		}
		for range jobs {
			must.NoError(t, <-results)
		}
		must.True(t, n.OwnsShard())
		c.stop(n)
	})
}

// TestEndedJobsAreDropped: the records of ended jobs are deleted after the retention
// time, and the store keeps none of their keys.
func TestEndedJobsAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster()
		n := c.startHost(t, "h1", 1)
		time.Sleep(2 * time.Second)
		must.NoError(t, submit(n, 3*time.Second))
		must.NoError(t, n.Cancel(context.Background(), jobID))
		time.Sleep(time.Minute)
		state, err := n.State(context.Background(), jobID)
		must.NoError(t, err)
		must.Eq(t, job.Cancelled, state)
		time.Sleep(time.Minute)
		_, err = n.State(context.Background(), jobID)
		must.ErrorIs(t, err, ErrUnknownJob)
		for _, key := range []string{"j", "c", "p"} {
			must.Nil(t, c.store.Newest(n.partition, key+string(jobID)))
		}
		c.stop(n)
	})
}

// TestOutageRefusesAtOnce: callers do not wait for a store that is known to be
// unavailable.
func TestOutageRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster()
		n := c.startHost(t, "h1", 1)
		time.Sleep(2 * time.Second)
		c.view("h1").Set(memstore.Unresponsive, 0)
		time.Sleep(2 * time.Second)
		started := time.Now()
		err := submit(n, 3*time.Second)
		must.ErrorIs(t, err, store.ErrUnavailable)
		must.Less(t, 50*time.Millisecond, time.Since(started))
		c.stop(n)
	})
}
