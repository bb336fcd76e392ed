package node

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// TestRecordsAfterLossAreStored: a host gave the shard up and took it over again under the
// same epoch. The store took its first records for repetitions of those that the host had
// written before, and acknowledged them without storing them.
func TestRecordsAfterLossAreStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster()
		n := c.startHost(t, "h1", 1)
		time.Sleep(2 * time.Second)
		must.NoError(t, n.Submit(t.Context(), oldJob(0), submission()))
		before := n.ownedDispatcher()
		before.Relinquish(errors.New("a worker has another owner"))
		time.Sleep(5 * time.Second)
		after := n.ownedDispatcher()
		must.NotNil(t, after)
		must.NoError(t, submit(n, 3*time.Second))
		must.SliceNotEmpty(t, c.store.Newest(n.partition, "j"+string(jobID)))
		must.Eq(t, after.Ownership.Claim, before.Ownership.Claim+1)
		must.Eq(t, after.Ownership, n.table.Owner())
		c.stop(n)
	})
}
