package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
)

// TestShortDeadlineKeepsPeerConnection guards against a caller with 26 ms left whose
// timeout closed the connection to the owner, which all other jobs of the host share.
func TestShortDeadlineKeepsPeerConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster()
		first, second := c.startPair(t)
		c.store.SetAppendTime(200 * time.Millisecond)
		before := c.view("h2").Appends()
		results := make(chan []error, 1)
		go func() { results <- submitMany(second, 5, 3*time.Second) }()
		time.Sleep(10 * time.Millisecond)
		started := time.Now()
		must.ErrorIs(t, submit(second, 26*time.Millisecond), platform.ErrOutcomeUnknown)
		must.Less(t, 50*time.Millisecond, time.Since(started))
		for _, err := range <-results {
			must.NoError(t, err)
		}
		must.Eq(t, before, c.view("h2").Appends(), must.Sprint("all records are written by the owner"))
		c.stop(first, second)
	})
}
