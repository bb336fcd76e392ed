package placer

import (
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/directory"
	"github.com/siskinvane/siskinvane/internal/standin/property"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { property.Main(m, 100, 0) }

func endpointsAt(ports ...uint16) []directory.Endpoint {
	var out []directory.Endpoint
	for _, p := range ports {
		out = append(out, directory.Endpoint{Addr: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), p)})
	}
	return out
}

func TestVersionedEndpoints(t *testing.T) {
	var v versionedEndpoints
	must.True(t, v.update(serviceEndpoints{}), must.Sprint("the first update counts as a change even if empty"))
	must.False(t, v.update(serviceEndpoints{}))
	must.True(t, v.update(serviceEndpoints{"a": endpointsAt(1), "b": endpointsAt(2)}))
	must.True(t, v.update(serviceEndpoints{"a": endpointsAt(1, 3), "b": endpointsAt(2)}))
	changed, complete := v.changedSince(2)
	must.False(t, complete)
	must.Eq(t, serviceEndpoints{"a": endpointsAt(1, 3)}, changed)
	must.True(t, v.update(serviceEndpoints{"a": endpointsAt(1, 3)}))
	changed, _ = v.changedSince(3)
	must.Eq(t, serviceEndpoints{"b": nil}, changed, must.Sprint("b has no endpoints any more"))
	_, complete = v.changedSince(99)
	must.True(t, complete, must.Sprint("a version of another epoch"))
}

// TestEndpointCacheConverges fetches changes into a cache at random moments, also
// from a cache that is out of date. The cache must never revert to an older
// version and must converge to the endpoints of the last owner.
func TestEndpointCacheConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const id platform.ShardID = "d-0"
		epoch := platform.Epoch(1)
		owner := &versionedEndpoints{}
		owner.update(serviceEndpoints{})
		cache, stale := newEndpointCache(), newEndpointCache()
		fetch := func(c *endpointCache) {
			have, _ := c.get(id)
			since := uint64(0)
			if have.Epoch == epoch {
				since = have.Directory
			}
			update := endpointState{Epoch: epoch, Directory: owner.version}
			var complete bool
			update.Endpoints, complete = owner.changedSince(since)
			c.merge(id, update, complete)
			got, _ := c.get(id)
			must.Eq(t, owner.current, got.Endpoints)
		}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				next := serviceEndpoints{}
				for _, name := range []platform.ServiceName{"a", "b", "c"} {
					if port := rapid.Uint16Range(0, 2).Draw(t, "port"); port > 0 {
						next[name] = endpointsAt(port)
					}
				}
				owner.update(next)
			},
			"new owner": func(*rapid.T) {
				current := owner.current
				epoch++
				owner = &versionedEndpoints{}
				owner.update(current)
			},
			"fetch":       func(*rapid.T) { fetch(cache) },
			"fetch stale": func(*rapid.T) { fetch(stale) },
			"adopt": func(*rapid.T) {
				old, known := cache.get(id)
				state, ok := stale.get(id)
				if !ok {
					return
				}
				cache.merge(id, state, true)
				got, _ := cache.get(id)
				older := got.Epoch < old.Epoch || got.Epoch == old.Epoch && got.Directory < old.Directory
				must.False(t, known && older, must.Sprint("the cache reverted to an older version"))
			},
		})
		fetch(cache)
	})
}
