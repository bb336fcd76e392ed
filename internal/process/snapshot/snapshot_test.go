package snapshot

import (
	"context"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
)

func TestDue(t *testing.T) {
	start := time.Unix(1000, 0)
	latest := Info{Exists: true, Through: 100, At: start, Bytes: 1000}
	cases := []struct {
		name string
		s    Conditions
		want Reason
	}{
		{"nothing recorded", Conditions{Now: start}, NotDue},
		{"never anchored", Conditions{Now: start, Next: 1}, First},
		{"fresh", Conditions{Now: start, Next: 101, Latest: latest}, NotDue},
		{"outage", Conditions{Now: start, Next: 100, Latest: latest, LogRecovered: true}, AfterOutage},
		{"just before a quarter of the retention", Conditions{Now: start.Add(15*time.Minute - 1), Next: 101, Latest: latest}, NotDue},
		{"a quarter of the retention", Conditions{Now: start.Add(15 * time.Minute), Next: 100, Latest: latest}, Age},
		{"in the newer half", Conditions{Now: start, Next: 120, Span: platform.Span{Oldest: 80, Next: 120}, Latest: latest}, NotDue},
		{"in the older half", Conditions{Now: start, Next: 121, Span: platform.Span{Oldest: 80, Next: 122}, Latest: latest}, NearExpiry},
		{"overtaken", Conditions{Now: start, Next: 200, Span: platform.Span{Oldest: 150, Next: 200}, Latest: latest}, NearExpiry},
		{"long replay", Conditions{Now: start, Next: 1124, Latest: latest}, LongReplay},
		{"long replay of a large state", Conditions{Now: start, Next: 1124, Latest: Info{Exists: true, Through: 100, At: start, Bytes: 1 << 20}}, NotDue},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, Policy{Retention: time.Hour}.Due(c.s))
		})
	}
}

// TestCorruptedChunk replaces a chunk of the newest snapshot by a different one.
// The snapshot must not be loaded.
func TestCorruptedChunk(t *testing.T) {
	f := newFixture(t)
	s := newReplica(f.store, "a").snapshotter
	s.config.State, s.config.Follower = f.source.replay, f.source.follower
	must.NoError(t, s.Save(t.Context()))
	found, err := readAnchors(t.Context(), f.store, record.AnchorStream("s"))
	must.NoError(t, err)
	damaged, err := s.encode(record.Record{Chunk: &record.Chunk{Snapshot: found[0].Snapshot, Data: []byte("x")}})
	must.NoError(t, err)
	at, err := f.store.Append(t.Context(), record.SnapshotStream("s"), damaged)
	must.NoError(t, err)

	a := found[0]
	a.FirstChunk, a.Chunks = at, 1
	_, err = readChunks(t.Context(), f.store, record.SnapshotStream("s"), a)
	must.ErrorIs(t, err, ErrNoSnapshot)
	must.True(t, f.loadsExactly(t))
}

// TestLoadFailsWithoutUsableSnapshot checks that a host does not start from an
// incomplete state.
func TestLoadFailsWithoutUsableSnapshot(t *testing.T) {
	f := newFixture(t)
	span, err := f.store.Span(t.Context(), record.SnapshotStream("s"))
	must.NoError(t, err)
	must.NoError(t, f.store.Trim(record.SnapshotStream("s"), span.Next))
	r := newReplica(f.store, "b")
	must.ErrorIs(t, r.snapshotter.Load(t.Context()), ErrNoSnapshot)
	must.Error(t, r.follower.Poll(t.Context()))
	must.Eq(t, 0, r.replay.Next())

	f = newFixture(t)
	must.NoError(t, f.store.Trim(record.ShardStream("s"), f.source.snapshotter.Latest().Through+1))
	must.ErrorIs(t, newReplica(f.store, "b").snapshotter.Load(t.Context()), ErrNoSnapshot)
}

// TestExpiredFollowerReloads lets a follower fall behind the log's retention; it
// must load the snapshot and continue.
func TestExpiredFollowerReloads(t *testing.T) {
	f := newFixture(t)
	late := newReplica(f.store, "b")
	late.follower.OnExpired(late.snapshotter.Load)
	must.NoError(t, late.follower.Poll(t.Context()))
	must.Eq(t, f.source.replay.Digest(), late.replay.Digest())
}

// TestStepSavesWhenDue checks that a snapshot is written by age and after an
// outage, and that a failed write leaves the earlier one as the latest.
func TestStepSavesWhenDue(t *testing.T) {
	f := newFixture(t)
	now := time.Unix(1000, 0)
	s := f.source.snapshotter
	s.config.Now = func() time.Time { return now }
	saveIfDue := func(want bool) {
		t.Helper()
		saved, err := s.Step(t.Context())
		must.NoError(t, err)
		must.Eq(t, want, saved)
	}
	saveIfDue(true) // the log retains nothing before the snapshot
	now = now.Add(checkPeriod)
	saveIfDue(false)
	now = now.Add(DefaultRetention / snapshotsPerRetention)
	saveIfDue(true)
	must.Eq(t, f.source.replay.Next(), s.Latest().Through)
	now = now.Add(checkPeriod)
	saveIfDue(false)
	s.LogRecovered()
	saveIfDue(true)
	before := s.Latest()
	s.LogRecovered()
	s.config.Log = &crashLog{Log: f.store, remaining: 1}
	_, err := s.Step(t.Context())
	must.Error(t, err)
	must.Eq(t, before, s.Latest())
}

// slowLog blocks appends until the test closes pass.
type slowLog struct {
	platform.Log
	entered, pass chan struct{}
}

func (l *slowLog) Append(ctx context.Context, name string, data []byte) (platform.Offset, error) {
	l.entered <- struct{}{}
	<-l.pass
	return l.Log.Append(ctx, name, data)
}

// TestSlowSaveBlocksNoOtherCall calls the snapshotter while an append of Save
// blocks.
func TestSlowSaveBlocksNoOtherCall(t *testing.T) {
	f := newFixture(t)
	s := f.source.snapshotter
	before := s.Latest()
	log := &slowLog{Log: f.store, entered: make(chan struct{}, 100), pass: make(chan struct{})}
	s.config.Log = log
	saved := make(chan error)
	go func() { saved <- s.Save(t.Context()) }()
	<-log.entered
	s.LogRecovered()
	must.Eq(t, before, s.Latest())
	close(log.pass)
	must.NoError(t, <-saved)
	must.Less(t, s.Latest().Through, before.Through)
}

// TestExportAndImport transfers the state from a peer to a host that starts while
// the log is down.
func TestExportAndImport(t *testing.T) {
	f := newFixture(t)
	im, err := Export(f.source.follower, f.source.replay)
	must.NoError(t, err)
	late := newReplica(f.store, "b")
	must.NoError(t, Import(late.follower, late.replay, im))
	must.Eq(t, f.source.replay.Digest(), late.replay.Digest())
	older := Image{Through: 1, Digest: xxhash.Sum64(nil)}
	must.NoError(t, Import(late.follower, late.replay, older))
	must.Eq(t, f.source.replay.Next(), late.replay.Next())

	damaged := im
	damaged.Data = append([]byte{}, im.Data...)
	damaged.Data[len(damaged.Data)/2] ^= 1
	other := newReplica(f.store, "c")
	must.ErrorIs(t, Import(other.follower, other.replay, damaged), ErrCorrupted)
	must.Eq(t, 0, other.replay.Next())
}
