package node

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
	"github.com/siskinvane/siskinvane/internal/standin/memstore"
)

// turnAway makes the store turn hosts away, the owner among them, and waits until another host has
// taken over.
func turnAway(f *fleetOf, views map[string]*memstore.View, hosts ...string) {
	for _, name := range hosts {
		views[name].Set(memstore.Unresponsive, 0)
	}
	f.awaitClaim(8*time.Second, func(owner string) bool { return owner != hosts[0] })
	time.Sleep(successorInterval)
}

// TestTurnedAwayHostsFindNewOwner guards against jobs refused by hosts that the store turns away
// together with the owner: they asked the earlier owner until they could read the log again, while the
// next one could store them. Load: half of the hosts for 9 s, 20 jobs a second.
func TestTurnedAwayHostsFindNewOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, views := newFleetWithViews(t, "u", "v", "w", "x")
		turnAway(f, views, "u", "v")
		for _, a := range submitSteadily(3*time.Second, 20, f.nodes["v"], f.nodes["u"]) {
			// The new owner may refuse a job, as there are no workers.
			var refused *RefusedError
			must.True(t, a.err == nil || errors.As(a.err, &refused), must.Sprint(a))
			must.Less(t, time.Second, a.took)
		}
		f.stopAll()
	})
}

// TestFalseSuccessorStoresNothing guards against a record that is taken for stored because a host
// that does not own the shard was named as its owner.
func TestFalseSuccessorStoresNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, views := newFleetWithViews(t, "u", "v", "w")
		w := f.nodes["w"]
		must.NoError(t, (&Service{node: f.nodes["v"]}).Succeeded(job.Ownership{Host: "w", Addr: w.Peer.String(), Epoch: 1000}, &Empty{}))
		views["v"].Set(memstore.Unresponsive, 0)
		time.Sleep(2 * outageThreshold)
		must.ErrorIs(t, submit(f.nodes["v"], 3*time.Second), store.ErrUnavailable)
		must.Nil(t, f.store.Newest(w.partition, "j"+string(jobID)))
		f.stopAll()
	})
}
