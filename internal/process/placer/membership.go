package placer

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/event"
	"github.com/siskinvane/siskinvane/internal/process/member"
	"github.com/siskinvane/siskinvane/internal/process/outage"
	"github.com/siskinvane/siskinvane/internal/process/shard"
)

// facts returns the content of this host's next heartbeat.
func (p *Placer) facts() member.Facts {
	f := member.Facts{
		Domain: p.config.Host.Domain, Peer: p.config.Host.Peer, EntryPeer: p.config.Host.EntryPeer,
		LogDown: p.log.reachableFor(p.config.Now()) < 0, Owned: p.ownedShards(),
	}
	p.configFollower.View(func() {
		f.ConfigVersion, f.ConfigDigest, f.ConfigNext = p.configReplay.Version(), p.configReplay.Digest(), p.configReplay.Next()
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	f.Draining = p.draining
	return f
}

// heartbeatTargets returns the addresses of all listed or live peers.
func (p *Placer) heartbeatTargets() []netip.AddrPort {
	var addrs []netip.AddrPort
	add := func(addr netip.AddrPort) {
		if addr != p.config.Host.Peer && !slices.Contains(addrs, addr) {
			addrs = append(addrs, addr)
		}
	}
	p.mu.Lock()
	hosts := p.hosts
	p.mu.Unlock()
	for _, h := range hosts {
		if h.Role == platform.RoleEntry {
			add(h.Addr)
		}
	}
	for _, m := range p.members.Live(p.config.Now()) {
		add(m.Peer)
	}
	return addrs
}

// handleHeartbeat compares a peer's replay of the configuration with this host's.
// It requests a poll of the stream if the peer has replayed more, and logs if the
// same offset has different digests.
func (p *Placer) handleHeartbeat(h member.Heartbeat) {
	var newer, differs bool
	p.configFollower.View(func() {
		newer = h.ConfigNext > p.configReplay.Next()
		differs = h.ConfigNext == p.configReplay.Next() && h.ConfigDigest != p.configReplay.Digest()
	})
	if differs {
		event.ConfigDiffers.Log(p.config.Logger, logrus.Fields{"peer": h.Host, "offset": h.ConfigNext})
	}
	if newer {
		select {
		case p.pollConfig <- struct{}{}:
		default:
		}
	}
}

// refreshHosts reads the host list and records new racks.
func (p *Placer) refreshHosts(ctx context.Context) {
	hosts, err := p.config.HostList.Hosts(ctx)
	if err != nil {
		return
	}
	now := p.config.Now()
	p.mu.Lock()
	hosts = p.leaving.Correct(hosts, p.members.Incarnation, now)
	p.hosts = hosts
	p.mu.Unlock()
	p.members.SetListed(hosts, now)
	p.recordRacks(ctx, hosts)
}

// ownerCandidates returns the live members as input for ranking shard owners.
func (p *Placer) ownerCandidates(now time.Time) []shard.Candidate {
	var out []shard.Candidate
	for _, m := range p.members.Live(now) {
		s := shard.Candidate{Host: m.Host, Incarnation: m.Incarnation, Leaving: m.Leaving, LogDown: m.LogDown}
		if !m.EligibleSince.IsZero() {
			s.EligibleFor = now.Sub(m.EligibleSince)
		}
		out = append(out, s)
	}
	return out
}

// permission returns what this host may do at now, given the start time of the
// last successful read of the log.
func (p *Placer) permission(now, lastRead time.Time) outage.Permission {
	input := outage.Input{
		Host: p.config.Host.ID, LogReadAt: lastRead, Owned: p.ownedShards(),
		Peers: p.members.All(), Listed: p.members.Listed(), Now: now,
	}
	p.configFollower.View(func() { input.ConfigVersion = p.configReplay.Version() })
	return outage.Decide(input)
}

// mayClaim reports whether this host may claim shards at all: it is listed, every
// listed peer was heard or had time to be, and the host may write to the log.
func (p *Placer) mayClaim(now time.Time) bool {
	return slices.Contains(p.members.Listed(), p.config.Host.ID) &&
		p.members.RoundComplete(now) && p.permission(now, p.log.lastRead()).MayClaim
}

// hearsHalfOfListed reports whether at least half of the listed hosts are among
// the live members.
func (p *Placer) hearsHalfOfListed(members []shard.Candidate) bool {
	listed := p.members.Listed()
	heard := 0
	for _, m := range members {
		if slices.Contains(listed, m.Host) {
			heard++
		}
	}
	return 2*heard >= len(listed)
}
