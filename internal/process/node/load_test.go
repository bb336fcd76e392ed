package node

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/process/keyed"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
	"github.com/siskinvane/siskinvane/internal/standin/memstore"
)

// cutLoads is a store that fails each other page of newest records.
type cutLoads struct {
	store.Store
	calls atomic.Int32
}

// Newest implements store.Store.
func (s *cutLoads) Newest(ctx context.Context, p store.Partition, after *string) (store.NewestPage, error) {
	if s.calls.Add(1)%2 == 0 {
		return store.NewestPage{}, errors.New("no answer in time")
	}
	return s.Store.Newest(ctx, p, after)
}

// TestResumedLoadReadsToTheEnd guards against a takeover that completes a load begun
// earlier and takes the end of its first page for that of the log: the new owner would
// not know of records that were written meanwhile.
func TestResumedLoadReadsToTheEnd(t *testing.T) {
	stored := memstore.New()
	f := newTakeoverFixture(t)
	n := f.node
	n.table = job.NewTable()
	n.reader = keyed.NewReader(&cutLoads{Store: stored.View("h1")}, n.partition)
	for i := range 600 {
		stored.Put(n.partition, submissionRecord(t, job.ID(fmt.Sprintf("%016x", 0x3000+i))))
	}
	must.Error(t, n.Refresh(t.Context()))
	// The key precedes those of the first page.
	early := job.ID(fmt.Sprintf("%016x", 1))
	stored.Put(n.partition, submissionRecord(t, early))
	must.NoError(t, n.Refresh(t.Context()))
	_, known := n.table.Get(early)
	must.True(t, known)
}
