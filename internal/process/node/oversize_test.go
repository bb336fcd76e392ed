package node

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/standin/memstore"
)

// TestRejectedSubmissionBlocksNoOthers: the store rejected a record that was too large. The
// owner took that for an unknown outcome and repeated the append without end, so that
// nothing was recorded any more.
func TestRejectedSubmissionBlocksNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster()
		first, second := c.startPair(t)
		for i, n := range []*Node{first, second} {
			tooLarge := submission()
			tooLarge.Spec.Payload = strings.Repeat("x", memstore.MaxAppendBytes)
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			must.ErrorIs(t, n.Submit(ctx, newJob(i), tooLarge), store.ErrUnavailable)
			cancel()
			must.NoError(t, n.Submit(context.Background(), oldJob(i), submission()))
			must.SliceNotEmpty(t, c.store.Newest(n.partition, "j"+string(oldJob(i))))
		}
		must.True(t, first.OwnsShard())
		c.stop(first, second)
	})
}
