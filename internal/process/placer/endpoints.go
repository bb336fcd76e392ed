package placer

import (
	"reflect"
	"slices"
	"sync"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/directory"
)

// serviceEndpoints holds the endpoints of each service.
type serviceEndpoints = map[platform.ServiceName][]directory.Endpoint

// versionedEndpoints holds one shard's endpoints with a version that is
// incremented on each change. It is not safe for concurrent use.
type versionedEndpoints struct {
	version uint64
	current serviceEndpoints
	// changed holds the version at which each service last changed, including
	// services that no longer have endpoints.
	changed map[platform.ServiceName]uint64
}

// update replaces the endpoints and reports whether any changed. The first call
// always counts as a change.
func (v *versionedEndpoints) update(latest serviceEndpoints) bool {
	if v.changed == nil {
		v.changed = map[platform.ServiceName]uint64{}
	}
	next := v.version + 1
	changed := v.current == nil
	for name, endpoints := range latest {
		if !reflect.DeepEqual(endpoints, v.current[name]) {
			v.changed[name] = next
			changed = true
		}
	}
	for name := range v.current {
		if _, kept := latest[name]; !kept {
			v.changed[name] = next
			changed = true
		}
	}
	if changed {
		v.version = next
		v.current = latest
	}
	return changed
}

// changedSince returns the endpoints of the services that changed after a version.
// The second result is true if they are the complete set, because the version is 0
// or not one of this history.
func (v *versionedEndpoints) changedSince(version uint64) (serviceEndpoints, bool) {
	complete := version == 0 || version > v.version
	out := serviceEndpoints{}
	for name, at := range v.changed {
		if complete || at > version {
			out[name] = v.current[name]
		}
	}
	return out, complete
}

// endpointState is a shard's endpoints as last known by a host.
type endpointState struct {
	Epoch     platform.Epoch
	Directory uint64
	Endpoints serviceEndpoints
}

// endpointCache holds the last known endpoints of all shards. They stay cached
// while a shard's owner is being replaced. It is safe for concurrent use.
type endpointCache struct {
	mu     sync.Mutex
	shards map[platform.ShardID]endpointState
}

func newEndpointCache() *endpointCache {
	return &endpointCache{shards: map[platform.ShardID]endpointState{}}
}

// get returns the cached state of a shard.
func (c *endpointCache) get(id platform.ShardID) (endpointState, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.shards[id]
	return s, ok
}

// merge applies an update of a shard. Its services replace the cached ones, and
// all of them if complete is set. An update of an older epoch, or of the same or an
// older version in the same epoch, is dropped. It reports whether the update was
// applied.
func (c *endpointCache) merge(id platform.ShardID, update endpointState, complete bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	old, known := c.shards[id]
	older := update.Epoch < old.Epoch || update.Epoch == old.Epoch && update.Directory <= old.Directory
	if known && older {
		return false
	}
	merged := serviceEndpoints{}
	if !complete && old.Epoch == update.Epoch {
		for name, endpoints := range old.Endpoints {
			merged[name] = endpoints
		}
	}
	for name, endpoints := range update.Endpoints {
		if len(endpoints) == 0 {
			delete(merged, name)
		} else {
			merged[name] = endpoints
		}
	}
	c.shards[id] = endpointState{Epoch: update.Epoch, Directory: update.Directory, Endpoints: merged}
	return true
}

// byService returns the endpoints of all shards, grouped by service.
func (c *endpointCache) byService() serviceEndpoints {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := make([]platform.ShardID, 0, len(c.shards))
	for id := range c.shards {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	found := serviceEndpoints{}
	for _, id := range ids {
		for name, endpoints := range c.shards[id].Endpoints {
			found[name] = append(found[name], endpoints...)
		}
	}
	return found
}
