package snapshot

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/process/shard"
	"github.com/siskinvane/siskinvane/internal/process/stream"
	"github.com/siskinvane/siskinvane/internal/standin/logservice"
	"github.com/siskinvane/siskinvane/internal/standin/property"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { property.Main(m, 200, 60) }

// host is one host that may claim the shard and write to it.
type host struct {
	*replica
	name   platform.HostID
	log    *faultyLog
	writer *stream.Writer
	id     record.WriterID
}

// machine is the log with two hosts, and what is known to be true.
type machine struct {
	store   *logservice.Store
	hosts   []*host
	runs    uint64
	jobs    int
	expired int
	fates   map[platform.JobID]fate
	claims  map[platform.Epoch]record.WriterID
	digests map[platform.Offset]uint64
	oracle  *oracle
}

// fate is what a commit of a job was told.
type fate int

const (
	effective fate = iota
	void
	unknown
)

func newMachine(t *rapid.T) *machine {
	m := &machine{
		store: logservice.NewStore(), fates: map[platform.JobID]fate{},
		claims: map[platform.Epoch]record.WriterID{}, digests: map[platform.Offset]uint64{},
		oracle: &oracle{last: map[record.WriterID]uint64{}, jobs: map[platform.JobID]bool{}},
	}
	for _, name := range []platform.HostID{"a", "b"} {
		h := &host{name: name, log: &faultyLog{Store: m.store}}
		m.hosts = append(m.hosts, h)
		m.boot(t, h)
	}
	return m
}

// boot starts a new process of a host from what the log holds.
func (m *machine) boot(t *rapid.T, h *host) {
	if h.writer != nil {
		h.writer.Close()
	}
	m.runs++
	h.id = record.WriterID{Host: h.name, Incarnation: m.runs}
	h.replica = m.newReplica(h.log, h.id)
	now := time.Unix(1000, 0)
	h.writer = stream.NewWriterWith(h.follower, h.id, stream.Options{
		RetryTimeout: time.Hour,
		Now:          func() time.Time { return now },
		Sleep:        func(ctx context.Context, _ time.Duration) error { return ctx.Err() },
	})
	h.log.appends, h.log.readsDown = nil, 0
	if err := h.keeper.Load(context.Background()); err != nil {
		t.Fatalf("host %s starts: %v", h.name, err)
	}
}

func (m *machine) newReplica(log platform.Log, id record.WriterID) *replica {
	l := &ledger{Count: map[platform.JobID]int{}}
	r := &replica{replay: shard.NewReplay("s", l), ledger: l}
	r.follower = stream.NewFollower(log, record.ShardStream("s"), r.replay)
	r.keeper = NewKeeper(Config{
		Log: log, Streams: ShardStreams("s"), Writer: id, State: r.replay, Follower: r.follower,
		Now: func() time.Time { return time.Unix(1000, 0) },
	})
	r.follower.OnExpired(r.keeper.Load)
	return r
}

func (m *machine) host(t *rapid.T) *host { return rapid.SampledFrom(m.hosts).Draw(t, "host") }

func (m *machine) fault(t *rapid.T) {
	h := m.host(t)
	h.log.appends = append(h.log.appends, fault(rapid.IntRange(0, int(faults)-1).Draw(t, "fault")))
	h.log.readsDown = rapid.IntRange(0, 2).Draw(t, "refused reads")
	set := logservice.FaultSet{DuplicateReads: rapid.IntRange(0, 3).Draw(t, "repeated reads")}
	m.store.Faults().Set(set)
}

// claim asks for the shard under the epoch after the one that the host knows,
// which may long be overtaken.
func (m *machine) claim(t *rapid.T) {
	h := m.host(t)
	epoch := h.epoch() + 1
	release := rapid.IntRange(0, 4).Draw(t, "release") == 0
	res, err := h.writer.Commit(context.Background(), epoch, record.Record{Claim: &record.Claim{Release: release}})
	if err != nil || res.Verdict != record.Effective {
		return
	}
	if other, taken := m.claims[epoch]; taken {
		t.Fatalf("epoch %d was won by %v and by %v", epoch, other, h.id)
	}
	m.claims[epoch] = h.id
}

func (h *host) epoch() platform.Epoch {
	var e platform.Epoch
	h.follower.View(func() { e = h.replay.Epoch() })
	return e
}

// write commits up to three new jobs under the epoch that the host believes in,
// or an older one.
func (m *machine) write(t *rapid.T) {
	h := m.host(t)
	epoch := h.epoch()
	old := epoch > 0 && rapid.IntRange(0, 4).Draw(t, "old epoch") == 0
	if old {
		epoch--
	}
	var records []record.Record
	for range rapid.IntRange(1, 3).Draw(t, "records") {
		m.jobs++
		id := platform.JobID(fmt.Sprintf("j%d", m.jobs))
		records = append(records, record.Record{Job: &record.Job{ID: id, Count: 1}})
	}
	res, err := h.writer.Commit(context.Background(), epoch, records...)
	if old && err == nil && res.Verdict == record.Effective {
		t.Fatalf("record of epoch %d is effective", epoch)
	}
	for _, r := range records {
		m.fates[r.Job.ID] = fateOf(res, err)
	}
}

func fateOf(res stream.Result, err error) fate {
	switch {
	case err == nil && res.Verdict == record.Effective:
		return effective
	case err == nil, errors.Is(err, stream.ErrNotWritten):
		return void
	}
	return unknown
}

func (m *machine) poll(t *rapid.T) { _ = m.host(t).follower.Poll(context.Background()) }

// deliver lets an append take effect whose caller gave up on it long ago.
func (m *machine) deliver(t *rapid.T) {
	h := m.host(t)
	if len(h.log.late) == 0 {
		t.Skip("nothing is late")
	}
	late := h.log.late[0]
	h.log.late = h.log.late[1:]
	if _, err := m.store.Append(context.Background(), late.stream, late.data); err != nil {
		t.Fatal(err)
	}
}

func (m *machine) restart(t *rapid.T) { m.boot(t, m.host(t)) }

func (m *machine) save(t *rapid.T) { _ = m.host(t).keeper.Save(context.Background()) }

// expire forgets what the furthest snapshot that a host relies on makes
// needless.
func (m *machine) expire(t *rapid.T) {
	var relied Anchored
	for _, h := range m.hosts {
		if a := h.keeper.Anchored(); a.Through >= relied.Through {
			relied = a
		}
	}
	if !relied.Exists {
		t.Skip("no snapshot")
	}
	m.oracle.read(t, m.store)
	firstChunk, anchorAt, found := m.place(t, relied.Through)
	if !found {
		t.Skip("the anchor has expired")
	}
	m.trim(t, record.ShardStream("s"), relied.Through)
	m.expired++
	m.trim(t, record.SnapshotStream("s"), firstChunk)
	m.trim(t, record.AnchorStream("s"), anchorAt)
}

// place returns where the whole snapshot through an offset lies.
func (m *machine) place(t *rapid.T, through platform.Offset) (firstChunk, anchorAt platform.Offset, found bool) {
	span, err := m.store.Span(context.Background(), record.AnchorStream("s"))
	if err != nil {
		t.Fatal(err)
	}
	for e, err := range scan(context.Background(), m.store, record.AnchorStream("s"), span.Oldest) {
		if err != nil {
			t.Fatal(err)
		}
		b, err := record.Decode(e.Data)
		if err != nil {
			t.Fatal(err)
		}
		a := b.Records[0].Anchor
		if a.Through != through {
			continue
		}
		if _, err := readChunks(context.Background(), m.store, record.SnapshotStream("s"), *a); err == nil {
			return a.FirstChunk, e.Offset, true
		}
	}
	return 0, 0, false
}

func (m *machine) trim(t *rapid.T, name string, to platform.Offset) {
	span, err := m.store.Span(context.Background(), name)
	if err != nil {
		t.Fatal(err)
	}
	if to <= span.Oldest {
		return
	}
	if err := m.store.Trim(name, to); err != nil {
		t.Fatal(err)
	}
}

// check compares a host that starts now, and the two others, with what the
// callers were told and with the oracle.
func (m *machine) check(t *rapid.T) {
	m.store.Faults().Set(logservice.FaultSet{})
	m.oracle.read(t, m.store)
	fresh := m.newReplica(m.store, record.WriterID{Host: "fresh", Incarnation: 1})
	if err := errors.Join(fresh.keeper.Load(context.Background()), fresh.follower.Poll(context.Background())); err != nil {
		t.Fatalf("a new host cannot load: %v", err)
	}
	for _, r := range []*replica{fresh, m.hosts[0].replica, m.hosts[1].replica} {
		m.compareDigest(t, r)
	}
	have := map[platform.JobID]bool{}
	for i := 1; i <= m.jobs; i++ {
		id := platform.JobID(fmt.Sprintf("j%d", i))
		have[id] = fresh.count(id) > 0
		switch f := m.fates[id]; {
		case fresh.count(id) > 1:
			t.Fatalf("job %s took effect %d times", id, fresh.count(id))
		case f == effective && !have[id]:
			t.Fatalf("job %s was acknowledged and is lost", id)
		case f == void && have[id]:
			t.Fatalf("job %s was refused and is there", id)
		}
		if have[id] != m.oracle.jobs[id] {
			t.Fatalf("job %s: replayed %v, by its epoch %v", id, have[id], m.oracle.jobs[id])
		}
	}
}

func (m *machine) compareDigest(t *rapid.T, r *replica) {
	var next platform.Offset
	var digest uint64
	r.follower.View(func() { next, digest = r.replay.Next(), r.replay.Digest() })
	if want, known := m.digests[next]; known && want != digest {
		t.Fatalf("digests differ at offset %d", next)
	}
	m.digests[next] = digest
}

// TestReplicasAgree runs claims, writes, lost and late appends, repeated reads,
// snapshots, expiry and restarts of two hosts in any order.
func TestReplicasAgree(t *testing.T) {
	var seen tally
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		defer func() {
			for _, h := range m.hosts {
				h.writer.Close()
			}
			seen.add(m)
		}()
		t.Repeat(map[string]func(*rapid.T){
			"claim": m.claim, "write": m.write, "write again": m.write, "poll": m.poll,
			"fault": m.fault, "deliver": m.deliver, "restart": m.restart,
			"save": m.save, "expire": m.expire, "": m.check,
		})
	})
	t.Logf("%+v", seen)
	must.Positive(t, min(seen.effective, seen.void, seen.unknown, seen.claims, seen.expired))
}

// tally counts what the runs brought about, so that the test cannot pass by
// doing nothing.
type tally struct{ effective, void, unknown, claims, expired int }

func (s *tally) add(m *machine) {
	for _, f := range m.fates {
		switch f {
		case effective:
			s.effective++
		case void:
			s.void++
		case unknown:
			s.unknown++
		}
	}
	s.claims += len(m.claims)
	s.expired += m.expired
}
