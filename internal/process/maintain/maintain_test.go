package maintain

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/process/dispatch"
	"github.com/siskinvane/siskinvane/internal/standin/cluster"
)

// site is a shard, its platform and its operators in one. It notes what it was told.
type site struct {
	cluster *cluster.Cluster
	begun   time.Time

	mu       sync.Mutex
	cordoned []platform.WorkerID
	loads    map[platform.WorkerID]int
	records  []store.Record
	reports  []bool
	orders   int
	lists    int
	lost     error
	// recordErr and listErr fail the calls; verdict overrides that of orders.
	recordErr, listErr error
	verdict            fleet.MachineVerdict
	silent             bool
}

func (s *site) now() time.Duration { return time.Since(s.begun) }

func (s *site) locked(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *site) MayAct() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.silent
}

func (s *site) SetCordoned(ids []platform.WorkerID) { s.locked(func() { s.cordoned = ids }) }

// LoadOf tells of one task less with each look at a cordoned worker.
func (s *site) LoadOf(id platform.WorkerID) (lasting, short int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Contains(s.cordoned, id) && s.loads[id] > 0 {
		s.loads[id]--
	}
	return s.loads[id], 0
}

func (s *site) Write(_ context.Context, r store.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recordErr == nil {
		s.records = append(s.records, r)
	}
	return s.recordErr
}

func (s *site) Lose(err error) { s.locked(func() { s.lost = err }) }

func (s *site) List(context.Context) ([]fleet.Machine, error) {
	s.cluster.Advance(s.now())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	return s.cluster.Machines(s.now()), s.listErr
}

func (s *site) Upkeep(_ context.Context, o fleet.UpkeepOrder) (fleet.MachineVerdict, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders++
	if s.verdict != 0 {
		return s.verdict, nil
	}
	return s.cluster.Upkeep(s.now(), o), nil
}

func (s *site) Next(ctx context.Context) (fleet.DeclaredWaves, error) {
	select {
	case <-ctx.Done():
		return fleet.DeclaredWaves{}, ctx.Err()
	case <-time.After(time.Second):
	}
	return fleet.DeclaredWaves{Waves: s.cluster.Waves()}, nil
}

func (s *site) Report(_ context.Context, wave int64, done bool) error {
	s.cluster.Report(s.now(), wave, done)
	s.locked(func() { s.reports = append(s.reports, done) })
	return nil
}

// maintained runs a maintainer beside four workers, of which each runs a task that it
// loses once it is cordoned, and calls f.
func maintained(t *testing.T, change func(*site, *Config), f func(*site)) {
	synctest.Test(t, func(t *testing.T) {
		s := &site{cluster: cluster.New(), begun: time.Now(), loads: map[platform.WorkerID]int{}}
		for _, id := range []platform.WorkerID{"w1", "w2", "w3", "w4"} {
			s.cluster.Add(0, fleet.Worker{ID: id})
			s.loads[id] = 2
		}
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		c := Config{Shard: s, Machines: s, Waves: s, Holder: "h1", Token: 3, Clock: s.now, Logger: logger, Metrics: metrics.NewRegistry()}
		change(s, &c)
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			New(c).Run(ctx)
			close(ended)
		}()
		f(s)
		must.SliceEmpty(t, s.cluster.Violations())
		stop()
		<-ended
		time.Sleep(time.Minute)
	})
}

func unchanged(*site, *Config) {}

// TestWaveIsCarriedOut: workers are left before their machines' orders, operators are
// told of both states, and nothing is read once no wave is open.
func TestWaveIsCarriedOut(t *testing.T) {
	maintained(t, unchanged, func(s *site) {
		time.Sleep(5 * time.Second)
		s.locked(func() { must.Zero(t, s.lists) })
		s.cluster.Declare(1, 2, "w1", "w2", "w3")
		time.Sleep(20 * time.Second)
		must.Zero(t, s.cluster.OpenWaves())
		s.locked(func() { must.Eq(t, []bool{false, true}, s.reports) })
		s.locked(func() { must.Eq(t, 3, s.orders) })
		s.locked(func() { must.SliceEmpty(t, s.cordoned) })
		lists := 0
		s.locked(func() { lists = s.lists })
		time.Sleep(20 * time.Second)
		s.locked(func() { must.Eq(t, lists, s.lists) })
	})
}

// TestNoOrderWithoutItsRecord: a machine that nobody knows to be down could bring a
// later owner's wave over its bound.
func TestNoOrderWithoutItsRecord(t *testing.T) {
	maintained(t, func(s *site, _ *Config) { s.recordErr = store.ErrUnavailable }, func(s *site) {
		s.cluster.Declare(1, 2, "w1")
		time.Sleep(20 * time.Second)
		s.locked(func() { must.Zero(t, s.orders) })
		s.locked(func() { must.False(t, slices.Contains(s.reports, true)) })
		s.locked(func() { s.recordErr = nil })
		time.Sleep(20 * time.Second)
		must.Zero(t, s.cluster.OpenWaves())
	})
}

// TestNewOwnerWaitsForEarlierOrders: none is given before the platform's lease is over,
// nor by a host that may not act.
func TestNewOwnerWaitsForEarlierOrders(t *testing.T) {
	maintained(t, func(_ *site, c *Config) { c.OrdersFrom = 9 * time.Second }, func(s *site) {
		s.cluster.Declare(1, 4, "w1", "w2")
		time.Sleep(8900 * time.Millisecond)
		s.locked(func() { must.Zero(t, s.orders) })
		s.locked(func() { s.silent = true })
		time.Sleep(9 * time.Second)
		s.locked(func() { must.Zero(t, s.orders) })
		s.locked(func() { s.silent = false })
		time.Sleep(9 * time.Second)
		must.Zero(t, s.cluster.OpenWaves())
	})
}

// TestNextOwnerGoesOn: what was recorded of a wave is not done again.
func TestNextOwnerGoesOn(t *testing.T) {
	var recorded []byte
	maintained(t, unchanged, func(s *site) {
		s.cluster.Declare(1, 1, "w1")
		time.Sleep(20 * time.Second)
		s.locked(func() { recorded = s.records[len(s.records)-1].Value })
	})
	maintained(t, func(_ *site, c *Config) { c.Recorded = map[int64][]byte{1: recorded, 2: []byte("?")} }, func(s *site) {
		s.cluster.Declare(1, 1, "w1")
		s.cluster.Upkeep(s.now(), fleet.UpkeepOrder{Machine: "machine-w1", Wave: 1})
		time.Sleep(20 * time.Second)
		s.locked(func() { must.Zero(t, s.orders) })
		s.locked(func() { must.Eq(t, []bool{true}, s.reports) })
	})
}

// TestFencedOwnerGivesUp: a higher token for a machine means that another host owns the
// shard.
func TestFencedOwnerGivesUp(t *testing.T) {
	maintained(t, func(s *site, _ *Config) { s.verdict = fleet.MachineFenced }, func(s *site) {
		s.cluster.Declare(1, 1, "w1")
		time.Sleep(10 * time.Second)
		s.locked(func() { must.ErrorIs(t, s.lost, dispatch.ErrFenced) })
	})
}

// TestMachinesCannotBeRead: waves wait, and go on once the list is back.
func TestMachinesCannotBeRead(t *testing.T) {
	maintained(t, func(s *site, _ *Config) { s.listErr = errors.New("no answer") }, func(s *site) {
		s.cluster.Declare(1, 1, "w1")
		time.Sleep(10 * time.Second)
		s.locked(func() { must.Zero(t, s.orders) })
		s.locked(func() { s.listErr = nil })
		time.Sleep(20 * time.Second)
		must.Zero(t, s.cluster.OpenWaves())
	})
}
