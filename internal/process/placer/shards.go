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
	// ownerPeriod is the time between an owner's reads of its stream; they
	// serve to notice a newer claim.
	ownerPeriod = time.Second
	// standbyPeriod is the time between reads of a stream that another host
	// runs.
	standbyPeriod = 2 * time.Second
	// balancePeriod is the least time between two handovers for balance.
	balancePeriod = 5 * time.Second
	// drainPeriod is the time between looks at a drain's progress.
	drainPeriod = 50 * time.Millisecond
	// drainBound ends a drain that gets no further.
	drainBound = 5 * time.Second
)

// slot is one shard as this host deals with it.
type slot struct {
	id    platform.ShardID
	owner *owner.Owner
	// step serializes the rounds of work on the shard.
	step sync.Mutex

	mu sync.Mutex
	// followed is when the last successful read of the stream was begun.
	followed time.Time
	// holder is the owner that the stream named then, and claimed when its
	// claim was replayed; zero when the claim is older than this host's replay.
	holder  record.WriterID
	epoch   platform.Epoch
	claimed time.Time
	// endpoints numbers the changes of the shard's endpoints.
	endpoints endpointVersions
}

// noteFollowed stores a successful read that was begun at begun.
func (s *slot) noteFollowed(begun time.Time) {
	holder, epoch := s.owner.CurrentOwner()
	s.mu.Lock()
	defer s.mu.Unlock()
	if holder != s.holder && !s.followed.IsZero() {
		s.claimed = begun
	}
	s.holder, s.epoch = holder, epoch
	s.followed = begun
}

func (s *slot) lastFollowed() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.followed
}

// slotOf returns the slot of a shard and makes it if need be.
func (p *Placer) slotOf(id platform.ShardID) (*slot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.slots[id]; s != nil {
		return s, nil
	}
	o, err := owner.New(owner.Config{
		Shard: id, Writer: p.writer, Log: p.log, Dialer: p.config.Dialer,
		Logger: p.config.Logger, Tracing: p.config.Tracing, Now: p.config.Now,
		Retention:  time.Duration(p.config.Host.LogRetentionSeconds) * time.Second,
		Permission: func() outage.Permission { return p.permission(p.config.Now(), p.log.lastRead()) },
	})
	if err != nil {
		return nil, err
	}
	s := &slot{id: id, owner: o}
	p.slots[id] = s
	return s, nil
}

// allSlots returns the slots by shard.
func (p *Placer) allSlots() []*slot {
	p.mu.Lock()
	defer p.mu.Unlock()
	slots := make([]*slot, 0, len(p.slots))
	for _, s := range p.slots {
		slots = append(slots, s)
	}
	slices.SortFunc(slots, func(a, b *slot) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	return slots
}

// owned returns the owner object of a shard that this host owns.
func (p *Placer) owned(id platform.ShardID) (*owner.Owner, error) {
	p.mu.Lock()
	s := p.slots[id]
	p.mu.Unlock()
	if s == nil || !s.owner.Owns() {
		return nil, fmt.Errorf("host %s does not own shard %s", p.config.Host.ID, id)
	}
	return s.owner, nil
}

// ownedShards tells what this host owned when it last read the streams, by
// shard. It takes no lock of an owner: owners ask for permissions while they
// hold their own.
func (p *Placer) ownedShards() []member.ShardSeen {
	var owned []member.ShardSeen
	for _, s := range p.allSlots() {
		s.mu.Lock()
		if s.holder == p.writer {
			owned = append(owned, member.ShardSeen{Shard: s.id, Epoch: s.epoch, Directory: s.endpoints.version})
		}
		s.mu.Unlock()
	}
	return owned
}

// holder returns the address of the peer service of a shard's owner.
func (p *Placer) holder(id platform.ShardID) (netip.AddrPort, error) {
	m, _, found := p.holderOf(id)
	if !found {
		return netip.AddrPort{}, fmt.Errorf("shard %s has no live owner", id)
	}
	return m.Peer, nil
}

// holderOf returns the member that reports the latest claim on a shard, if it is
// live.
func (p *Placer) holderOf(id platform.ShardID) (member.Member, member.ShardSeen, bool) {
	return latestHolder(id, p.members.All(), p.config.Now())
}

// latestHolder returns the member that reports the latest claim on a shard. The
// last result is false when that member is silent: another one that reports an
// older claim has only not read yet that it was overtaken.
func latestHolder(id platform.ShardID, all []member.Member, now time.Time) (member.Member, member.ShardSeen, bool) {
	var holder member.Member
	var latest member.ShardSeen
	for _, m := range all {
		for _, s := range m.Owned {
			if s.Shard == id && s.Epoch > latest.Epoch {
				holder, latest = m, s
			}
		}
	}
	return holder, latest, latest.Epoch > 0 && now.Sub(holder.Heard) <= member.DeadAfter
}

// stepShards begins one round of work on each shard whose last one has ended.
func (p *Placer) stepShards(ctx context.Context) {
	p.mu.Lock()
	shards := p.layout.Shards()
	p.mu.Unlock()
	now := p.config.Now()
	members := p.standings(now)
	for _, id := range shards {
		if !p.concerns(id, members) {
			continue
		}
		s, err := p.slotOf(id)
		if err != nil {
			event.StepFailed.Log(p.config.Logger, logrus.Fields{"shard": id, "error": err})
			continue
		}
		if !s.step.TryLock() {
			continue
		}
		p.done.Go(func() {
			defer s.step.Unlock()
			if err := p.stepShard(ctx, s, members); err != nil {
				event.StepFailed.Log(p.config.Logger, logrus.Fields{"shard": id, "error": err})
			}
		})
	}
}

// concerns reports whether this host owns a shard or is among the first two
// that ought to.
func (p *Placer) concerns(id platform.ShardID, members []shard.Standing) bool {
	if _, err := p.owned(id); err == nil {
		return true
	}
	ranked := shard.Rank(id, members)
	return slices.Contains(ranked[:min(2, len(ranked))], p.config.Host.ID)
}

// stepShard does one round of work on a shard.
func (p *Placer) stepShard(ctx context.Context, s *slot, members []shard.Standing) error {
	if err := p.follow(ctx, s); err != nil {
		return err
	}
	switch p.ownership(s, members).Decide() {
	case shard.TakeOver:
		won, err := s.owner.Claim(ctx)
		if err != nil || !won {
			return err
		}
		s.noteFollowed(p.config.Now())
		p.exchange.Kick()
		return p.run(ctx, s)
	case shard.HandOver:
		if err := s.owner.Release(ctx); err != nil {
			return err
		}
		s.noteFollowed(p.config.Now())
		p.mu.Lock()
		p.handedOver = p.config.Now()
		p.mu.Unlock()
		p.exchange.Kick()
		return nil
	case shard.Run:
		return p.run(ctx, s)
	}
	return nil
}

// follow reads the shard's stream when that is due.
func (p *Placer) follow(ctx context.Context, s *slot) error {
	begun := p.config.Now()
	period := standbyPeriod
	if s.owner.Owns() {
		period = ownerPeriod
	} else if _, _, found := p.holderOf(s.id); !found {
		period = 0
	}
	if last := s.lastFollowed(); !last.IsZero() && begun.Sub(last) < period {
		return nil
	}
	owned := s.owner.Owns()
	err := s.owner.Follow(ctx)
	if err == nil {
		s.noteFollowed(begun)
	}
	if owned && !s.owner.Owns() {
		event.ShardLost.Log(p.config.Logger, logrus.Fields{"shard": s.id})
		p.exchange.Kick()
	}
	if owned {
		// An owner goes on while the log is out of reach.
		return nil
	}
	return err
}

// ownership gathers what the choice of an action on a shard depends on.
func (p *Placer) ownership(s *slot, members []shard.Standing) shard.Ownership {
	now := p.config.Now()
	s.mu.Lock()
	holder, epoch, claimed, followed := s.holder, s.epoch, s.claimed, s.followed
	s.mu.Unlock()
	o := shard.Ownership{
		Shard: s.id, Self: p.writer, Owner: holder, Members: members,
		MayClaim: p.mayClaim(now), LogContact: p.log.contact(now), HearsHalf: p.hearsHalf(members),
	}
	latest := claimed
	o.OwnerHeard = claimed.IsZero()
	for _, m := range p.members.All() {
		if m.Host != holder.Host || m.Incarnation != holder.Incarnation {
			continue
		}
		told := slices.ContainsFunc(m.Owned, func(seen member.ShardSeen) bool { return seen.Shard == s.id && seen.Epoch == epoch })
		o.OwnerHeard = o.OwnerHeard || told || m.Heard.After(claimed)
		if m.Heard.After(latest) {
			latest = m.Heard
		}
	}
	if latest.IsZero() {
		latest = followed
	}
	o.OwnerSilence = now.Sub(latest)
	p.mu.Lock()
	defer p.mu.Unlock()
	o.MayBalance = o.MayClaim && now.Sub(p.handedOver) >= balancePeriod
	return o
}

// run does an owner's round of work.
func (p *Placer) run(ctx context.Context, s *slot) error {
	p.mu.Lock()
	hosts := p.hosts
	p.mu.Unlock()
	s.owner.SetWorkers(workersOf(s.id, hosts))
	err := s.owner.Step(ctx, p.wanted(s.id))
	endpoints := s.owner.Endpoints()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endpoints.update(endpoints) {
		p.exchange.Kick()
	}
	return err
}

func workersOf(id platform.ShardID, hosts []platform.Host) []platform.Host {
	var out []platform.Host
	for _, h := range hosts {
		if h.Role == platform.RoleWorker && shard.Of(h.Domain, h.Rack) == id {
			out = append(out, h)
		}
	}
	return out
}

// wanted returns what the declarations ask of a shard.
func (p *Placer) wanted(id platform.ShardID) owner.Wanted {
	var w owner.Wanted
	p.follower.View(func() {
		w.ConfigVersion = p.versions.Version()
		w.Document = p.versions.Document()
	})
	a := p.allotment()
	w.Replicas, w.Shares = a.Replicas(id), a.Shares(id)
	return w
}

// drain hands all shards over, as far as other hosts can take them.
func (p *Placer) drain(ctx context.Context) {
	p.mu.Lock()
	p.draining = true
	p.mu.Unlock()
	p.exchange.Round()
	ctx, cancel := context.WithTimeout(ctx, drainBound)
	defer cancel()
	for p.canHandOver() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(drainPeriod):
		}
	}
	p.exchange.Round()
}

// canHandOver reports whether this host owns a shard that another may take.
func (p *Placer) canHandOver() bool {
	now := p.config.Now()
	return p.log.contact(now) >= 0 && len(p.ownedShards()) > 0 && len(shard.Rank(topologyKey, p.standings(now))) > 0
}
