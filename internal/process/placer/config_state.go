package placer

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/process/event"
	"github.com/siskinvane/siskinvane/internal/process/member"
	"github.com/siskinvane/siskinvane/internal/process/shard"
	"github.com/siskinvane/siskinvane/internal/process/snapshot"
)

// newConfigReplica returns the replica that keeps the configuration in snapshots
// beyond the log's retention. The placer's configFollower must exist. Only
// refreshConfig uses the replica.
func newConfigReplica(p *Placer) *snapshot.Replica {
	background := func(work func()) error {
		p.background.Go(work)
		return nil
	}
	return snapshot.NewReplica(snapshot.Config{
		Log: p.log, Streams: snapshot.ConfigStreams(), Writer: p.writerID,
		State: p.configReplay, Follower: p.configFollower, Now: p.config.Now,
		Policy: snapshot.Policy{Retention: time.Duration(p.config.Host.LogRetentionSeconds) * time.Second},
	}, p.config.Logger, background)
}

// refreshConfig replays the configuration stream up to its end. While the log is
// unavailable it imports the state of a peer that has replayed more.
func (p *Placer) refreshConfig(ctx context.Context) {
	previous := p.configVersion()
	err := p.configReplica.Follow(ctx)
	if err != nil {
		event.StepFailed.Log(p.config.Logger, logrus.Fields{"error": err})
		p.importConfig()
	}
	p.applyConfig(previous)
	if err == nil {
		p.snapshotConfig(ctx)
	}
}

// snapshotConfig writes a snapshot if one is due. Only the first-ranked host does
// so; a second snapshot of the same state is harmless.
func (p *Placer) snapshotConfig(ctx context.Context) {
	now := p.config.Now()
	ranked := shard.Rank(topologyKey, p.ownerCandidates(now))
	if len(ranked) == 0 || ranked[0] != p.config.Host.ID || !p.mayClaim(now) {
		return
	}
	p.configReplica.Keep(ctx)
}

// importConfig imports the configuration of the live peer that has replayed the
// most of the stream, if that is more than this host has.
func (p *Placer) importConfig() {
	peers := p.members.Live(p.config.Now())
	slices.SortStableFunc(peers, func(a, b member.Member) int { return cmp.Compare(b.ConfigNext, a.ConfigNext) })
	for _, m := range peers {
		if m.Host == p.config.Host.ID {
			continue
		}
		var image snapshot.Image
		err := p.peers.Call(m.Peer, PeerService, "Config", None{}, &image)
		if err == nil {
			err = snapshot.Import(p.configFollower, p.configReplay, image)
		}
		if err == nil {
			p.mu.Lock()
			p.configImported = true
			p.mu.Unlock()
			return
		}
		event.StepFailed.Log(p.config.Logger, logrus.Fields{"error": err})
	}
}

// hasConfig reports whether the configuration was read from the log or a peer.
func (p *Placer) hasConfig() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.configImported || !p.log.lastRead().IsZero()
}
