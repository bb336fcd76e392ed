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

// model is the log with two hosts and the expected results.
type model struct {
	store        *logservice.Store
	hosts        []*host
	incarnations uint64
	jobCount     int
	expiries     int
	outcomes     map[platform.JobID]commitOutcome
	claims       map[platform.Epoch]record.WriterID
	digests      map[platform.Offset]uint64
	oracle       *oracle
}

// commitOutcome is the result that a job's caller received.
type commitOutcome int

const (
	effective commitOutcome = iota
	noEffect
	unknown
)

func newModel(t *rapid.T) *model {
	m := &model{
		store: logservice.NewStore(), outcomes: map[platform.JobID]commitOutcome{},
		claims: map[platform.Epoch]record.WriterID{}, digests: map[platform.Offset]uint64{},
		oracle: &oracle{last: map[record.WriterID]uint64{}, jobs: map[platform.JobID]bool{}},
	}
	for _, name := range []platform.HostID{"a", "b"} {
		h := &host{name: name, log: &faultyLog{Store: m.store}}
		m.hosts = append(m.hosts, h)
		m.start(t, h)
	}
	return m
}

// start starts a new process of a host from the contents of the log.
func (m *model) start(t *rapid.T, h *host) {
	if h.writer != nil {
		h.writer.Close()
	}
	m.incarnations++
	h.id = record.WriterID{Host: h.name, Incarnation: m.incarnations}
	h.replica = m.newReplica(h.log, h.id)
	now := time.Unix(1000, 0)
	h.writer = stream.NewWriterWith(h.follower, h.id, stream.Options{
		RetryTimeout: time.Hour,
		Now:          func() time.Time { return now },
		Sleep:        func(ctx context.Context, _ time.Duration) error { return ctx.Err() },
	})
	h.log.appendFaults, h.log.failingReads = nil, 0
	if err := h.snapshotter.Load(context.Background()); err != nil {
		t.Fatalf("host %s starts: %v", h.name, err)
	}
}

func (m *model) newReplica(log platform.Log, id record.WriterID) *replica {
	counts := &jobCounts{Count: map[platform.JobID]int{}}
	r := &replica{replay: shard.NewReplayer("s", counts), counts: counts}
	r.follower = stream.NewFollower(log, record.ShardStream("s"), r.replay)
	r.snapshotter = NewSnapshotter(Config{
		Log: log, Streams: ShardStreams("s"), Writer: id, State: r.replay, Follower: r.follower,
		Now: func() time.Time { return time.Unix(1000, 0) },
	})
	r.follower.OnExpired(r.snapshotter.Load)
	return r
}

func (m *model) host(t *rapid.T) *host { return rapid.SampledFrom(m.hosts).Draw(t, "host") }

func (m *model) fault(t *rapid.T) {
	h := m.host(t)
	h.log.appendFaults = append(h.log.appendFaults, fault(rapid.IntRange(0, int(faultCount)-1).Draw(t, "fault")))
	h.log.failingReads = rapid.IntRange(0, 2).Draw(t, "refused reads")
	set := logservice.FaultSet{DuplicateReads: rapid.IntRange(0, 3).Draw(t, "repeated reads")}
	m.store.Faults().Set(set)
}

// claim claims the shard under the epoch after the one that the host knows, which
// may be out of date.
func (m *model) claim(t *rapid.T) {
	h := m.host(t)
	epoch := h.epoch() + 1
	release := rapid.IntRange(0, 4).Draw(t, "release") == 0
	res, err := h.writer.Commit(context.Background(), epoch, record.Record{Claim: &record.Claim{Release: release}})
	if err != nil || res.Verdict != record.Effective {
		return
	}
	if other, taken := m.claims[epoch]; taken {
		t.Fatalf("epoch %d was claimed by %v and by %v", epoch, other, h.id)
	}
	m.claims[epoch] = h.id
}

func (h *host) epoch() platform.Epoch {
	var e platform.Epoch
	h.follower.View(func() { e = h.replay.Epoch() })
	return e
}

// write commits up to three new jobs under the epoch that the host knows or the
// one before it.
func (m *model) write(t *rapid.T) {
	h := m.host(t)
	epoch := h.epoch()
	old := epoch > 0 && rapid.IntRange(0, 4).Draw(t, "old epoch") == 0
	if old {
		epoch--
	}
	var records []record.Record
	for range rapid.IntRange(1, 3).Draw(t, "records") {
		m.jobCount++
		id := platform.JobID(fmt.Sprintf("j%d", m.jobCount))
		records = append(records, record.Record{Job: &record.Job{ID: id, Count: 1}})
	}
	res, err := h.writer.Commit(context.Background(), epoch, records...)
	if old && err == nil && res.Verdict == record.Effective {
		t.Fatalf("record of epoch %d is effective", epoch)
	}
	for _, r := range records {
		m.outcomes[r.Job.ID] = outcomeOf(res, err)
	}
}

func outcomeOf(res stream.Result, err error) commitOutcome {
	switch {
	case err == nil && res.Verdict == record.Effective:
		return effective
	case err == nil, errors.Is(err, stream.ErrNotWritten):
		return noEffect
	}
	return unknown
}

func (m *model) poll(t *rapid.T) { _ = m.host(t).follower.Poll(context.Background()) }

// deliver lets a delayed append take effect after its caller has given up.
func (m *model) deliver(t *rapid.T) {
	h := m.host(t)
	if len(h.log.delayed) == 0 {
		t.Skip("no delayed append")
	}
	late := h.log.delayed[0]
	h.log.delayed = h.log.delayed[1:]
	if _, err := m.store.Append(context.Background(), late.stream, late.data); err != nil {
		t.Fatal(err)
	}
}

func (m *model) restart(t *rapid.T) { m.start(t, m.host(t)) }

func (m *model) save(t *rapid.T) { _ = m.host(t).snapshotter.Save(context.Background()) }

// expire expires everything that the latest snapshot known to any host does not
// need.
func (m *model) expire(t *rapid.T) {
	var latest Info
	for _, h := range m.hosts {
		if a := h.snapshotter.Latest(); a.Through >= latest.Through {
			latest = a
		}
	}
	if !latest.Exists {
		t.Skip("no snapshot")
	}
	m.oracle.read(t, m.store)
	firstChunk, anchorAt, found := m.locate(t, latest.Through)
	if !found {
		t.Skip("the anchor has expired")
	}
	m.trim(t, record.ShardStream("s"), latest.Through)
	m.expiries++
	m.trim(t, record.SnapshotStream("s"), firstChunk)
	m.trim(t, record.AnchorStream("s"), anchorAt)
}

// locate returns the offsets of the complete snapshot through an offset.
func (m *model) locate(t *rapid.T, through platform.Offset) (firstChunk, anchorAt platform.Offset, found bool) {
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

func (m *model) trim(t *rapid.T, name string, to platform.Offset) {
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

// check compares a newly started host and the two others with the results that
// callers received and with the oracle.
func (m *model) check(t *rapid.T) {
	m.store.Faults().Set(logservice.FaultSet{})
	m.oracle.read(t, m.store)
	fresh := m.newReplica(m.store, record.WriterID{Host: "fresh", Incarnation: 1})
	if err := errors.Join(fresh.snapshotter.Load(context.Background()), fresh.follower.Poll(context.Background())); err != nil {
		t.Fatalf("a new host cannot load: %v", err)
	}
	for _, r := range []*replica{fresh, m.hosts[0].replica, m.hosts[1].replica} {
		m.compareDigest(t, r)
	}
	present := map[platform.JobID]bool{}
	for i := 1; i <= m.jobCount; i++ {
		id := platform.JobID(fmt.Sprintf("j%d", i))
		present[id] = fresh.count(id) > 0
		switch f := m.outcomes[id]; {
		case fresh.count(id) > 1:
			t.Fatalf("job %s took effect %d times", id, fresh.count(id))
		case f == effective && !present[id]:
			t.Fatalf("job %s was acknowledged and is lost", id)
		case f == noEffect && present[id]:
			t.Fatalf("job %s was reported as having no effect and is present", id)
		}
		if present[id] != m.oracle.jobs[id] {
			t.Fatalf("job %s: present %v, expected by the oracle %v", id, present[id], m.oracle.jobs[id])
		}
	}
}

func (m *model) compareDigest(t *rapid.T, r *replica) {
	var next platform.Offset
	var digest uint64
	r.follower.View(func() { next, digest = r.replay.Next(), r.replay.Digest() })
	if want, known := m.digests[next]; known && want != digest {
		t.Fatalf("digests differ at offset %d", next)
	}
	m.digests[next] = digest
}

// TestReplicasAgree runs claims, writes, lost and delayed appends, repeated
// reads, snapshots, expiry and restarts of two hosts in any order. Replicas must
// not differ, lose an acknowledged job or apply a job twice.
func TestReplicasAgree(t *testing.T) {
	var covered coverage
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		defer func() {
			for _, h := range m.hosts {
				h.writer.Close()
			}
			covered.add(m)
		}()
		t.Repeat(map[string]func(*rapid.T){
			"claim": m.claim, "write": m.write, "write again": m.write, "poll": m.poll,
			"fault": m.fault, "deliver": m.deliver, "restart": m.restart,
			"save": m.save, "expire": m.expire, "": m.check,
		})
	})
	t.Logf("%+v", covered)
	must.Positive(t, min(covered.effective, covered.noEffect, covered.unknown, covered.claims, covered.expiries))
}

// coverage counts the outcomes of all runs, so that the test cannot pass without
// exercising them.
type coverage struct{ effective, noEffect, unknown, claims, expiries int }

func (c *coverage) add(m *model) {
	for _, f := range m.outcomes {
		switch f {
		case effective:
			c.effective++
		case noEffect:
			c.noEffect++
		case unknown:
			c.unknown++
		}
	}
	c.claims += len(m.claims)
	c.expiries += m.expiries
}
