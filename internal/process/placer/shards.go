package placer

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/event"
	"github.com/siskinvane/siskinvane/internal/process/member"
	"github.com/siskinvane/siskinvane/internal/process/outage"
	"github.com/siskinvane/siskinvane/internal/process/owner"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/process/shard"
)

const (
	// ownerFollowPeriod is the time between an owner's reads of its stream, which
	// detect a newer claim.
	ownerFollowPeriod = time.Second
	// standbyFollowPeriod is the time between reads of the stream of a shard that
	// another host owns.
	standbyFollowPeriod = 2 * time.Second
	// minRebalanceInterval is the minimum time from a handover to the next one for
	// balance.
	minRebalanceInterval = 5 * time.Second
	// drainPollPeriod is the time between checks of a drain's progress.
	drainPollPeriod = 50 * time.Millisecond
	// drainTimeout bounds a drain that cannot complete.
	drainTimeout = 5 * time.Second
)

// localShard is this host's state of one shard that it owns or stands by for.
type localShard struct {
	id    platform.ShardID
	owner *owner.Owner
	// stepMu serializes the steps on the shard.
	stepMu sync.Mutex

	mu sync.Mutex
	// followStart is the start time of the last successful read of the stream.
	followStart time.Time
	// ownerID and epoch are the shard's owner as of followStart. claimed is when
	// its claim was replayed; zero if the claim is older than this host's replay.
	ownerID record.WriterID
	epoch   platform.Epoch
	claimed time.Time
	// endpoints numbers the changes of the shard's endpoints.
	endpoints versionedEndpoints
}

// setFollowed stores the owner after a successful read that began at start.
func (s *localShard) setFollowed(start time.Time) {
	ownerID, epoch := s.owner.CurrentOwner()
	s.mu.Lock()
	defer s.mu.Unlock()
	if ownerID != s.ownerID && !s.followStart.IsZero() {
		s.claimed = start
	}
	s.ownerID, s.epoch = ownerID, epoch
	s.followStart = start
}

func (s *localShard) lastFollowed() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.followStart
}

// ensureLocalShard returns the local state of a shard and creates it if necessary.
func (p *Placer) ensureLocalShard(id platform.ShardID) (*localShard, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.shards[id]; s != nil {
		return s, nil
	}
	o, err := owner.New(owner.Config{
		Shard: id, Writer: p.writerID, Log: p.log, Dialer: p.config.Dialer,
		Logger: p.config.Logger, Tracing: p.config.Tracing, Now: p.config.Now,
		Retention:  time.Duration(p.config.Host.LogRetentionSeconds) * time.Second,
		Permission: func() outage.Permission { return p.permission(p.config.Now(), p.log.lastRead()) },
	})
	if err != nil {
		return nil, err
	}
	s := &localShard{id: id, owner: o}
	p.shards[id] = s
	return s, nil
}

// localShards returns the local state of all shards, ordered by identifier.
func (p *Placer) localShards() []*localShard {
	p.mu.Lock()
	defer p.mu.Unlock()
	shards := make([]*localShard, 0, len(p.shards))
	for _, s := range p.shards {
		shards = append(shards, s)
	}
	slices.SortFunc(shards, func(a, b *localShard) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	return shards
}

// ownedShard returns the Owner of a shard, or an error if this host does not own
// the shard.
func (p *Placer) ownedShard(id platform.ShardID) (*owner.Owner, error) {
	p.mu.Lock()
	s := p.shards[id]
	p.mu.Unlock()
	if s == nil || !s.owner.Owns() {
		return nil, fmt.Errorf("host %s does not own shard %s", p.config.Host.ID, id)
	}
	return s.owner, nil
}

// ownedShards returns the shards that this host owned when it last read their
// streams, ordered by identifier. It must not take an owner's lock, since owners
// may hold theirs while they ask for a permission.
func (p *Placer) ownedShards() []member.OwnedShard {
	var owned []member.OwnedShard
	for _, s := range p.localShards() {
		s.mu.Lock()
		if s.ownerID == p.writerID {
			owned = append(owned, member.OwnedShard{Shard: s.id, Epoch: s.epoch, Directory: s.endpoints.version})
		}
		s.mu.Unlock()
	}
	return owned
}

// ownerAddr returns the address of the peer service of a shard's live owner.
func (p *Placer) ownerAddr(id platform.ShardID) (netip.AddrPort, error) {
	m, _, found := p.liveOwner(id)
	if !found {
		return netip.AddrPort{}, fmt.Errorf("shard %s has no live owner", id)
	}
	return m.Peer, nil
}

// liveOwner returns the member that reports the latest claim on a shard. The last
// result is false if there is none or it is not live.
func (p *Placer) liveOwner(id platform.ShardID) (member.Member, member.OwnedShard, bool) {
	return latestOwner(id, p.members.All(), p.config.Now())
}

// latestOwner returns the member that reports the latest claim on a shard. The
// last result is false if that member is not live: a live member that reports an
// older claim has merely not read yet that its claim was superseded.
func latestOwner(id platform.ShardID, all []member.Member, now time.Time) (member.Member, member.OwnedShard, bool) {
	var owner member.Member
	var latest member.OwnedShard
	for _, m := range all {
		for _, s := range m.Owned {
			if s.Shard == id && s.Epoch > latest.Epoch {
				owner, latest = m, s
			}
		}
	}
	return owner, latest, latest.Epoch > 0 && now.Sub(owner.HeardAt) <= member.DeadAfter
}

// stepShards starts a step on each shard that this host is responsible for, except
// those whose previous step is still running.
func (p *Placer) stepShards(ctx context.Context) {
	p.mu.Lock()
	shards := p.layout.Shards()
	p.mu.Unlock()
	now := p.config.Now()
	members := p.ownerCandidates(now)
	for _, id := range shards {
		if !p.isResponsible(id, members) {
			continue
		}
		s, err := p.ensureLocalShard(id)
		if err != nil {
			event.StepFailed.Log(p.config.Logger, logrus.Fields{"shard": id, "error": err})
			continue
		}
		if !s.stepMu.TryLock() {
			continue
		}
		p.background.Go(func() {
			defer s.stepMu.Unlock()
			if err := p.stepShard(ctx, s, members); err != nil {
				event.StepFailed.Log(p.config.Logger, logrus.Fields{"shard": id, "error": err})
			}
		})
	}
}

// isResponsible reports whether this host owns a shard or is among the first two
// in its ranking.
func (p *Placer) isResponsible(id platform.ShardID, members []shard.Candidate) bool {
	if _, err := p.ownedShard(id); err == nil {
		return true
	}
	ranked := shard.Rank(id, members)
	return slices.Contains(ranked[:min(2, len(ranked))], p.config.Host.ID)
}

// stepShard follows a shard's stream and then claims, releases or runs the shard
// as the ownership decision requires.
func (p *Placer) stepShard(ctx context.Context, s *localShard, members []shard.Candidate) error {
	if err := p.followShard(ctx, s); err != nil {
		return err
	}
	switch p.ownership(s, members).Decide() {
	case shard.TakeOver:
		won, err := s.owner.Claim(ctx)
		if err != nil || !won {
			return err
		}
		s.setFollowed(p.config.Now())
		p.exchange.RequestRound()
		return p.runShard(ctx, s)
	case shard.HandOver:
		if err := s.owner.Release(ctx); err != nil {
			return err
		}
		s.setFollowed(p.config.Now())
		p.mu.Lock()
		p.lastHandover = p.config.Now()
		p.mu.Unlock()
		p.exchange.RequestRound()
		return nil
	case shard.Run:
		return p.runShard(ctx, s)
	}
	return nil
}

// followShard reads the shard's stream if that is due.
func (p *Placer) followShard(ctx context.Context, s *localShard) error {
	start := p.config.Now()
	period := standbyFollowPeriod
	if s.owner.Owns() {
		period = ownerFollowPeriod
	} else if _, _, found := p.liveOwner(s.id); !found {
		period = 0
	}
	if last := s.lastFollowed(); !last.IsZero() && start.Sub(last) < period {
		return nil
	}
	owned := s.owner.Owns()
	err := s.owner.Follow(ctx)
	if err == nil {
		s.setFollowed(start)
	}
	if owned && !s.owner.Owns() {
		event.ShardLost.Log(p.config.Logger, logrus.Fields{"shard": s.id})
		p.exchange.RequestRound()
	}
	if owned {
		// An owner keeps running the shard while the log is unreachable.
		return nil
	}
	return err
}

// ownership returns the input for the ownership decision on a shard.
func (p *Placer) ownership(s *localShard, members []shard.Candidate) shard.Ownership {
	now := p.config.Now()
	s.mu.Lock()
	ownerID, epoch, claimed, followed := s.ownerID, s.epoch, s.claimed, s.followStart
	s.mu.Unlock()
	o := shard.Ownership{
		Shard: s.id, Self: p.writerID, Owner: ownerID, Members: members,
		MayClaim: p.mayClaim(now), LogContact: p.log.reachableFor(now), HalfReachable: p.hearsHalfOfListed(members),
	}
	latest := claimed
	o.OwnerHeartbeatSeen = claimed.IsZero()
	for _, m := range p.members.All() {
		if m.Host != ownerID.Host || m.Incarnation != ownerID.Incarnation {
			continue
		}
		reported := slices.ContainsFunc(m.Owned, func(owned member.OwnedShard) bool { return owned.Shard == s.id && owned.Epoch == epoch })
		o.OwnerHeartbeatSeen = o.OwnerHeartbeatSeen || reported || m.HeardAt.After(claimed)
		if m.HeardAt.After(latest) {
			latest = m.HeardAt
		}
	}
	if latest.IsZero() {
		latest = followed
	}
	o.OwnerSilence = now.Sub(latest)
	p.mu.Lock()
	defer p.mu.Unlock()
	o.MayRebalance = o.MayClaim && now.Sub(p.lastHandover) >= minRebalanceInterval
	return o
}

// runShard runs a step of an owned shard and updates its endpoints.
func (p *Placer) runShard(ctx context.Context, s *localShard) error {
	p.mu.Lock()
	hosts := p.hosts
	p.mu.Unlock()
	s.owner.SetWorkers(shardWorkers(s.id, hosts))
	err := s.owner.Step(ctx, p.desiredState(s.id))
	endpoints := s.owner.Endpoints()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endpoints.update(endpoints) {
		p.exchange.RequestRound()
	}
	return err
}

func shardWorkers(id platform.ShardID, hosts []platform.Host) []platform.Host {
	var out []platform.Host
	for _, h := range hosts {
		if h.Role == platform.RoleWorker && shard.ForRack(h.Domain, h.Rack) == id {
			out = append(out, h)
		}
	}
	return out
}

// desiredState returns the desired state of a shard according to the declarations.
func (p *Placer) desiredState(id platform.ShardID) owner.Desired {
	var desired owner.Desired
	p.configFollower.View(func() {
		desired.ConfigVersion = p.configReplay.Version()
		desired.Document = p.configReplay.Document()
	})
	a := p.allotment()
	desired.Replicas, desired.Shares = a.Replicas(id), a.QuotaShares(id)
	return desired
}

// drain hands over all shards that other hosts can take, for at most drainTimeout.
func (p *Placer) drain(ctx context.Context) {
	p.mu.Lock()
	p.draining = true
	p.mu.Unlock()
	p.exchange.SendRound()
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	for p.canHandOver() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(drainPollPeriod):
		}
	}
	p.exchange.SendRound()
}

// canHandOver reports whether this host owns a shard that another host may take.
func (p *Placer) canHandOver() bool {
	now := p.config.Now()
	return p.log.reachableFor(now) >= 0 && len(p.ownedShards()) > 0 && len(shard.Rank(topologyKey, p.ownerCandidates(now))) > 0
}
