package dispatch

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// ownerStore keeps the ownership records that a faultyStore takes, and when it did.
type ownerStore struct {
	*faultyStore
	clock func() time.Duration

	mu      sync.Mutex
	records []store.Record
	takenAt []time.Duration
}

// Append implements store.Store.
func (s *ownerStore) Append(ctx context.Context, p store.Partition, records []store.Record, w *store.Writer) (platform.Offset, error) {
	offset, err := s.faultyStore.Append(ctx, p, records, w)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		if err == nil && r.Key == "owner" {
			s.records, s.takenAt = append(s.records, r), append(s.takenAt, s.clock())
		}
	}
	return offset, err
}

// replacedAgo returns how long before the given record was taken the first owner had been
// replaced, as the record tells.
func (s *ownerStore) replacedAgo(t *testing.T, i int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	must.Less(t, len(s.records), i)
	table := job.NewTable()
	_, err := table.Apply(store.Page{Records: []store.StoredRecord{{Record: s.records[i]}}}, s.takenAt[i])
	must.NoError(t, err)
	return s.takenAt[i] - table.Owners()[0].ReplacedAt
}

// TestRefusedOwnershipRecordIsNotOutdated: the store refused the ownership record for 5 s. What it
// tells of earlier owners must not be from before. While a worker is not heard it is written
// again, since a host may read it late.
func TestRefusedOwnershipRecordIsNotOutdated(t *testing.T) {
	s := &ownerStore{faultyStore: &faultyStore{}}
	s.unavailable.Store(true)
	change := func(c *Config) {
		c.Store, s.clock = s, c.Clock
		c.Workers = &linkedWorkers{
			lost: map[platform.WorkerID]bool{"w1": true}, renewals: map[platform.WorkerID]int{}, leased: map[platform.WorkerID]time.Time{},
		}
		c.Ownership = job.Ownership{Epoch: 3, Claim: 3, BoundsLeases: true}
		c.Predecessors = []scheduler.Predecessor{{Claim: 1, ReplacedAt: -3 * time.Second}, {Claim: 2}}
	}
	withConfiguredDispatcher(t, s.faultyStore, change, func(d *Dispatcher) {
		d.Enroll([]job.Enrollment{{Worker: "w1", Addr: "127.1.0.1:80", Claim: 1, Run: 1}})
		time.Sleep(5 * time.Second)
		s.unavailable.Store(false)
		time.Sleep(time.Second)
		must.Between(t, 7800*time.Millisecond, s.replacedAgo(t, 0), 8*time.Second+recordRetryDelay)
		time.Sleep(5 * time.Second)
		// That the owner before has no quorum was recorded at once.
		must.Between(t, 9600*time.Millisecond, s.replacedAgo(t, 2), 10500*time.Millisecond)
		time.Sleep(40 * time.Second)
		s.mu.Lock()
		must.Between(t, 3, len(s.records), 12, must.Sprint("not for longer than the wait"))
		s.mu.Unlock()
	})
}
