package placer

import (
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/directory"
	"github.com/siskinvane/siskinvane/internal/process/member"
)

// errEndpointsUnknown is returned by an owner that has not determined its shard's
// endpoints yet.
var errEndpointsUnknown = errors.New("endpoints of the shard are not known here")

// refreshDirectory fetches the changed endpoints of all shards and publishes a new
// table if it differs from the last. It publishes the first table only once the
// endpoints of all shards are known and the host is ready.
func (p *Placer) refreshDirectory(context.Context) {
	p.mu.Lock()
	shards := p.layout.Shards()
	p.mu.Unlock()
	var wg sync.WaitGroup
	var mu sync.Mutex
	complete, changed := true, false
	for _, id := range shards {
		wg.Go(func() {
			shardComplete, fetched := p.refreshEndpoints(id)
			mu.Lock()
			defer mu.Unlock()
			complete = complete && shardComplete
			changed = changed || fetched
		})
	}
	wg.Wait()
	first := p.directory.Table().Version == 0
	if first && !(complete && p.checkReady() == nil) {
		return
	}
	t := p.buildTable()
	if first || changed || !sameExceptEndpoints(t, p.directory.Table()) {
		p.directory.Publish(t)
	}
}

// refreshEndpoints fetches a shard's endpoints if its owner reports a change.
// known is false while a live host may know endpoints that this one does not.
func (p *Placer) refreshEndpoints(id platform.ShardID) (known, changed bool) {
	have, cached := p.cache.get(id)
	m, reported, found := p.liveOwner(id)
	if !found {
		if cached {
			return true, false
		}
		return p.fetchCachedEndpoints(id)
	}
	if cached && (reported.Epoch < have.Epoch || reported.Epoch == have.Epoch && reported.Directory <= have.Directory) {
		return true, false
	}
	args := EndpointsArgs{Shard: id}
	if have.Epoch == reported.Epoch {
		args.Since = have.Directory
	}
	changed, err := p.fetchEndpoints(m, args)
	return cached || err == nil, changed
}

// fetchCachedEndpoints asks all live hosts for the last known endpoints of a shard
// without a live owner.
func (p *Placer) fetchCachedEndpoints(id platform.ShardID) (known, changed bool) {
	known = true
	for _, m := range p.members.Live(p.config.Now()) {
		if m.Host == p.config.Host.ID {
			continue
		}
		got, err := p.fetchEndpoints(m, EndpointsArgs{Shard: id, Cached: true})
		known = known && err == nil
		changed = changed || got
	}
	return known, changed
}

func (p *Placer) fetchEndpoints(m member.Member, args EndpointsArgs) (bool, error) {
	var reply EndpointsReply
	if m.Host == p.config.Host.ID {
		if err := p.endpoints(args, &reply); err != nil {
			return false, err
		}
	} else if err := p.peers.Call(m.Peer, PeerService, "Endpoints", args, &reply); err != nil {
		return false, err
	}
	if !reply.Known {
		return false, nil
	}
	return p.cache.merge(args.Shard, reply.State, reply.Whole), nil
}

// endpoints serves a request for a shard's endpoints.
func (p *Placer) endpoints(a EndpointsArgs, reply *EndpointsReply) error {
	if a.Cached {
		reply.State, reply.Known = p.cache.get(a.Shard)
		reply.Whole = true
		return nil
	}
	o, err := p.ownedShard(a.Shard)
	if err != nil {
		return err
	}
	_, epoch := o.CurrentOwner()
	p.mu.Lock()
	s := p.shards[a.Shard]
	p.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endpoints.current == nil {
		return errEndpointsUnknown
	}
	reply.Known = true
	reply.State = endpointState{Epoch: epoch, Directory: s.endpoints.version}
	reply.State.Endpoints, reply.Whole = s.endpoints.changedSince(a.Since)
	return nil
}

// buildTable returns a table whose version is above every version that this host
// or its entry has seen.
func (p *Placer) buildTable() *directory.Table {
	now := p.config.Now()
	p.mu.Lock()
	minVersion := p.minTableVersion
	p.mu.Unlock()
	t := &directory.Table{Version: max(uint64(now.UnixNano()), p.directory.Table().Version+1, minVersion+1)}
	for _, m := range p.members.Live(now) {
		t.Members = append(t.Members, directory.Member{Host: m.Host, Domain: m.Domain, Entry: m.EntryPeer})
	}
	found := p.cache.byService()
	p.configFollower.View(func() {
		t.ConfigVersion = p.configReplay.Version()
		doc := p.configReplay.Document()
		for _, s := range doc.Services {
			class, _ := doc.Class(s.Class)
			service := directory.Service{Name: s.Name, Class: s.Class, MayWait: class.Target.MayWait, Endpoints: found[s.Name]}
			if class.Target.Promptness != nil {
				service.Percentile = class.Target.Promptness.Percentile
				service.Bound = class.Target.Promptness.Bound()
			}
			t.Services = append(t.Services, service)
		}
	})
	return t
}

// sameExceptEndpoints reports whether two tables have the same configuration
// and members.
func sameExceptEndpoints(a, b *directory.Table) bool {
	return a.ConfigVersion == b.ConfigVersion && slices.Equal(a.Members, b.Members)
}

// raiseTableVersion makes sure that the next table is newer than the entry's
// version, and republishes the current table if it is not.
func (p *Placer) raiseTableVersion(version uint64) {
	p.mu.Lock()
	p.minTableVersion = max(p.minTableVersion, version)
	p.mu.Unlock()
	t := p.directory.Table()
	if t.Version == 0 || t.Version >= version {
		return
	}
	next := *t
	next.Version = version + 1
	p.directory.Publish(&next)
}
