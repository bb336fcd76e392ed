package shard

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/standin/logservice"
	"pgregory.net/rapid"
)

const (
	modelShards = 4
	// stepDuration is the virtual time in which each host runs once.
	stepDuration = time.Second
	// deadAfterSteps is the number of steps without a heartbeat after which a host
	// is considered dead.
	deadAfterSteps = 3
	// recoverySteps bounds the steps until every shard has a live owner after the
	// faults end: SilentOwnerTimeout, detection of the dead owner, and the claims.
	recoverySteps = int(SilentOwnerTimeout/stepDuration) + 3*deadAfterSteps
)

// emptyTasks is a TaskState without tasks.
type emptyTasks struct{}

func (emptyTasks) Apply(platform.Offset, record.Record) error { return nil }
func (emptyTasks) Digest() uint64                             { return 0 }
func (emptyTasks) MarshalBinary() ([]byte, error)             { return nil, nil }
func (emptyTasks) UnmarshalBinary([]byte) error               { return nil }

// modelHost is one host of the model.
type modelHost struct {
	id       record.WriterID
	replays  []*Replayer
	sequence []uint64
	// claimSeenAt is the step at which a change of owner was last replayed, by
	// shard; -1 before the first read.
	claimSeenAt      []int
	lastHeartbeat    map[platform.HostID]int
	heardIncarnation map[platform.HostID]uint64
	startedAt        int
	dead             bool
	paused           bool
	logDown          bool
	isolated         bool
	losesAnswers     bool
	// slow hosts append their claims one step late; delayed holds these.
	slow    bool
	delayed []delayedWrite
}

// delayedWrite is a batch that has not reached the log yet.
type delayedWrite struct {
	shard int
	data  []byte
}

// model is a group of hosts that share one log.
type model struct {
	t     *rapid.T
	log   *logservice.Store
	hosts []*modelHost
	step  int
	// claimants is the writer of each effective claim that any host replayed, by
	// shard and epoch.
	claimants map[string]record.WriterID
}

func (m *model) startHost(h *modelHost) {
	id := record.WriterID{Host: h.id.Host, Incarnation: uint64(m.step + 1)}
	*h = modelHost{id: id, lastHeartbeat: map[platform.HostID]int{}, heardIncarnation: map[platform.HostID]uint64{}, startedAt: m.step}
	for s := range modelShards {
		h.replays = append(h.replays, NewReplayer(modelShard(s), emptyTasks{}))
		h.sequence = append(h.sequence, 0)
		h.claimSeenAt = append(h.claimSeenAt, -1)
	}
}

func modelShard(s int) platform.ShardID { return platform.ShardID(fmt.Sprintf("d-%d", s)) }

// replayShard reads and replays the new entries of a shard's stream and checks
// that each epoch has one owner.
func (m *model) replayShard(h *modelHost, s int) {
	r := h.replays[s]
	previous := r.Owner()
	entries, err := m.log.Read(context.Background(), string(modelShard(s)), r.Next(), 1<<20)
	must.NoError(m.t, err)
	for _, e := range entries {
		_, err := r.Apply(e)
		must.NoError(m.t, err)
		key := fmt.Sprintf("%d/%d", s, r.Epoch())
		if owner, known := m.claimants[key]; known {
			must.Eq(m.t, owner, r.Owner(), must.Sprintf("two owners at %s", key))
		}
		m.claimants[key] = r.Owner()
	}
	if h.claimSeenAt[s] >= 0 && r.Owner() != previous {
		h.claimSeenAt[s] = m.step
	} else if h.claimSeenAt[s] < 0 {
		h.claimSeenAt[s] = 0
	}
}

func (m *model) writeClaim(h *modelHost, s int, release bool) {
	h.sequence[s]++
	data, err := record.Encode(record.Batch{
		Writer: h.id, Epoch: h.replays[s].Epoch() + 1, Sequence: h.sequence[s],
		Records: []record.Record{{Claim: &record.Claim{Release: release}}},
	})
	must.NoError(m.t, err)
	if h.slow {
		h.delayed = append(h.delayed, delayedWrite{s, data})
		return
	}
	m.appendEntry(s, data)
}

func (m *model) appendEntry(s int, data []byte) {
	_, err := m.log.Append(context.Background(), string(modelShard(s)), data)
	must.NoError(m.t, err)
}

func (m *model) candidates(h *modelHost) []Candidate {
	var members []Candidate
	for _, o := range m.hosts {
		at, known := h.lastHeartbeat[o.id.Host]
		if known && m.step-at <= deadAfterSteps {
			members = append(members, Candidate{
				Host: o.id.Host, Incarnation: h.heardIncarnation[o.id.Host], LogDown: o.logDown && !h.logDown, EligibleFor: MinEligibleTime,
			})
		}
	}
	return members
}

// stepHost runs one step of a host: heartbeats first, then each shard.
func (m *model) stepHost(h *modelHost) {
	h.lastHeartbeat[h.id.Host], h.heardIncarnation[h.id.Host] = m.step, h.id.Incarnation
	for _, o := range m.hosts {
		if o != h && !o.dead && !o.paused && !o.isolated && !h.isolated {
			h.lastHeartbeat[o.id.Host], h.heardIncarnation[o.id.Host] = m.step, o.id.Incarnation
		}
	}
	if h.logDown {
		return
	}
	for _, w := range h.delayed {
		m.appendEntry(w.shard, w.data)
	}
	h.delayed = nil
	members := m.candidates(h)
	for s := range modelShards {
		m.replayShard(h, s)
		owner := h.replays[s].Owner()
		at, known := h.lastHeartbeat[owner.Host]
		known = known && h.heardIncarnation[owner.Host] == owner.Incarnation
		o := Ownership{
			Shard: modelShard(s), Self: h.id, Owner: owner, Members: members,
			MayClaim: m.step-h.startedAt > deadAfterSteps, MayRebalance: true, LogContact: MinLogContact,
			HalfReachable: 2*len(members) >= len(m.hosts), OwnerHeartbeatSeen: h.claimSeenAt[s] == 0 || known && at > h.claimSeenAt[s],
			OwnerSilence: time.Duration(m.step-max(at, h.claimSeenAt[s])) * stepDuration,
		}
		switch o.Decide() {
		case TakeOver:
			m.writeClaim(h, s, false)
		case HandOver:
			m.writeClaim(h, s, true)
		default:
			continue
		}
		if !h.losesAnswers {
			m.replayShard(h, s)
		}
	}
}

func (m *model) advance() {
	m.step++
	for _, h := range m.hosts {
		if !h.dead && !h.paused {
			m.stepHost(h)
		}
	}
}

// checkLiveOwners returns an error unless every shard's owner is a live
// incarnation.
func (m *model) checkLiveOwners() error {
	for s := range modelShards {
		r := NewReplayer(modelShard(s), emptyTasks{})
		entries, err := m.log.Read(context.Background(), string(modelShard(s)), 0, 1<<20)
		must.NoError(m.t, err)
		for _, e := range entries {
			_, err := r.Apply(e)
			must.NoError(m.t, err)
		}
		alive := false
		for _, h := range m.hosts {
			alive = alive || !h.dead && h.id == r.Owner()
		}
		if !alive {
			return fmt.Errorf("shard %d is owned by %v", s, r.Owner())
		}
	}
	return nil
}

// TestHostsAgreeOnOwners subjects five hosts to random crashes, restarts, pauses,
// loss of contact with the log or with each other, and claims that are delayed or
// whose answers are lost. No epoch may have two owners, and every shard must get a
// live owner within recoverySteps after the faults end.
func TestHostsAgreeOnOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, log: logservice.NewStore(), claimants: map[string]record.WriterID{}}
		for i := range 5 {
			h := &modelHost{id: record.WriterID{Host: platform.HostID(fmt.Sprintf("h%d", i))}}
			m.startHost(h)
			m.hosts = append(m.hosts, h)
		}
		pick := func(t *rapid.T) *modelHost { return m.hosts[rapid.IntRange(0, 4).Draw(t, "host")] }
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(*rapid.T) { m.advance() },
			"wait": func(*rapid.T) {
				for range 2 * deadAfterSteps {
					m.advance()
				}
			},
			"die":          func(t *rapid.T) { pick(t).dead = true },
			"restart":      func(t *rapid.T) { m.startHost(pick(t)) },
			"pause":        func(t *rapid.T) { h := pick(t); h.paused = !h.paused },
			"cut off":      func(t *rapid.T) { h := pick(t); h.logDown = !h.logDown },
			"deafen":       func(t *rapid.T) { h := pick(t); h.isolated = !h.isolated },
			"lose answers": func(t *rapid.T) { h := pick(t); h.losesAnswers = !h.losesAnswers },
			"slow down":    func(t *rapid.T) { h := pick(t); h.slow = !h.slow },
		})
		for _, h := range m.hosts {
			h.paused, h.logDown, h.isolated, h.losesAnswers, h.slow = false, false, false, false, false
		}
		if m.hosts[0].dead {
			m.startHost(m.hosts[0])
		}
		err := errors.New("not run")
		for i := 0; err != nil && i < recoverySteps; i++ {
			m.advance()
			err = m.checkLiveOwners()
		}
		must.NoError(t, err)
	})
}
