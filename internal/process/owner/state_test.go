package owner

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/process/snapshot"
	"github.com/siskinvane/siskinvane/internal/standin/logservice"
)

const retention = time.Hour

// newRetentionHarness returns a harness whose log retains entries for retention.
func newRetentionHarness(t *testing.T) *harness {
	h := newHarness(t, 2, 4)
	h.store = logservice.NewStoreWith(logservice.Options{
		Retention: logservice.Retention{Age: retention}, Now: h.clock.now,
	})
	return h
}

// runByMinute steps an owner once a minute for d and waits for its snapshots.
func (h *harness) runByMinute(o *Owner, d time.Duration) {
	for end := h.clock.elapsed() + d; h.clock.elapsed() < end; {
		h.clock.advance(time.Minute)
		_ = h.step(o)
		awaitSnapshot(o)
	}
}

// mustMatchState checks that another host replays the same state as the owner.
func (h *harness) mustMatchState(o, other *Owner) {
	must.NoError(h.t, other.Follow(context.Background()))
	next, digest := o.Digest()
	otherNext, otherDigest := other.Digest()
	must.Eq(h.t, next, otherNext)
	must.Eq(h.t, digest, otherDigest)
}

// TestStateOutlivesRetention starts one host, and resumes another that was paused,
// long after all records of a job have expired. Both must get the owner's state
// from the snapshot.
func TestStateOutlivesRetention(t *testing.T) {
	h := newRetentionHarness(t)
	a, paused := h.newClaimedOwner("a"), h.newOwner("b")
	must.NoError(t, paused.Follow(t.Context()))
	h.submitJob(a, "j", 3, 4*time.Second)
	h.runFor(a, 14*time.Second)
	h.runByMinute(a, 3*retention)
	span, err := h.store.Span(t.Context(), record.ShardStream(testShard))
	must.NoError(t, err)
	must.Eq(t, span.Next, span.Oldest, must.Sprint("every record has expired"))

	h.mustMatchState(a, h.newOwner("c"))
	h.mustMatchState(a, paused)
	state, _, _ := h.taskState(paused, "j/0")
	must.Eq(t, record.Finished, state)
}

// TestOutageLongerThanRetention keeps the log down until all entries of the shard
// have expired. Only the owner still has the state; it must write a snapshot
// before it makes new decisions.
func TestOutageLongerThanRetention(t *testing.T) {
	h := newRetentionHarness(t)
	a := h.newClaimedOwner("a")
	h.submitJob(a, "j", 12, retention) // more tasks than slots
	h.runFor(a, 14*time.Second)
	awaitSnapshot(a)
	h.store.Faults().Set(logservice.FaultSet{Down: true})
	for range 2 * int(retention.Minutes()) {
		h.clock.advance(time.Minute)
		must.Error(t, a.Follow(t.Context()))
		_ = a.Step(t.Context(), Desired{})
		awaitSnapshot(a)
	}
	h.store.Faults().Set(logservice.FaultSet{})
	must.ErrorIs(t, h.newOwner("b").Follow(t.Context()), snapshot.ErrNoSnapshot)

	awaitWriterSettled(a)
	before, _ := a.Digest()
	must.NoError(t, h.step(a))
	next, _ := a.Digest()
	must.Eq(t, before, next, must.Sprint("no record may be written before the snapshot"))
	awaitSnapshot(a)
	must.Eq(t, before, a.replica.Latest().Through)
	h.mustMatchState(a, h.newOwner("c"))
	h.runByMinute(a, 2*time.Minute)
	next, _ = a.Digest()
	must.Greater(t, before, next, must.Sprint("new records must be written after the snapshot"))
	h.mustMatchState(a, h.newOwner("d"))
}
