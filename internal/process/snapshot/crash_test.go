package snapshot

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/process/shard"
	"github.com/siskinvane/siskinvane/internal/process/stream"
	"github.com/siskinvane/siskinvane/internal/process/task"
	"github.com/siskinvane/siskinvane/internal/standin/logservice"
)

var errCrash = errors.New("process crashed")

// crashLog simulates a crash of the process after a number of appends and can
// lose the response of one of them.
type crashLog struct {
	platform.Log
	// remaining is the number of appends before the crash.
	remaining int
	// lostResponse counts down to the append whose response is lost; zero loses
	// none.
	lostResponse int
}

func (c *crashLog) Append(ctx context.Context, name string, data []byte) (platform.Offset, error) {
	if c.remaining == 0 {
		return 0, errCrash
	}
	c.remaining--
	at, err := c.Log.Append(ctx, name, data)
	if c.lostResponse--; c.lostResponse == 0 {
		return 0, platform.ErrOutcomeUnknown
	}
	return at, err
}

func (c *crashLog) Read(ctx context.Context, name string, from platform.Offset, limit int) ([]platform.Entry, error) {
	if c.remaining == 0 {
		return nil, errCrash
	}
	return c.Log.Read(ctx, name, from, limit)
}

// replica is one host's replica of the shard.
type replica struct {
	replay      *shard.Replayer
	follower    *stream.Follower
	snapshotter *Snapshotter
	counts      *jobCounts
}

func newReplica(log platform.Log, host platform.HostID) *replica {
	r := &replica{replay: shard.NewReplayer("s", task.NewTable())}
	r.follower = stream.NewFollower(log, record.ShardStream("s"), r.replay)
	r.snapshotter = NewSnapshotter(Config{
		Log: log, Streams: ShardStreams("s"), Writer: record.WriterID{Host: host, Incarnation: 1},
		State: r.replay, Follower: r.follower, Now: func() time.Time { return time.Unix(1000, 0) },
	})
	return r
}

// fixture is a shard with one complete snapshot and some records after it. The
// records before the snapshot have expired.
type fixture struct {
	store  *logservice.Store
	source *replica
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{store: logservice.NewStore()}
	f.source = newReplica(f.store, "a")
	writer := stream.NewWriterWith(f.source.follower, record.WriterID{Host: "a", Incarnation: 1},
		stream.Options{Window: time.Nanosecond})
	t.Cleanup(writer.Close)
	_, err := writer.Commit(t.Context(), 1, record.Record{Claim: &record.Claim{}})
	must.NoError(t, err)
	commitJobs(t, writer, "old")
	must.NoError(t, f.source.snapshotter.Save(t.Context()))
	must.NoError(t, f.store.Trim(record.ShardStream("s"), f.source.replay.Next()))
	commitJobs(t, writer, "new")
	return f
}

// commitJobs grows the state by more than one chunk.
func commitJobs(t *testing.T, writer *stream.Writer, prefix string) {
	for i := range 8 {
		j := record.Job{
			ID: platform.JobID(fmt.Sprintf("%s-%d", prefix, i)), Count: 1,
			Team: platform.TeamName(strings.Repeat("x", 10<<10)),
		}
		res, err := writer.Commit(t.Context(), 1, record.Record{Job: &j})
		must.NoError(t, err)
		must.Eq(t, record.Effective, res.Verdict)
	}
}

// expireNeededByOlder expires everything that the newest anchor does not need.
func (f *fixture) expireNeededByOlder(t *testing.T) {
	found, err := readAnchors(t.Context(), f.store, record.AnchorStream("s"))
	must.NoError(t, err)
	span, err := f.store.Span(t.Context(), record.AnchorStream("s"))
	must.NoError(t, err)
	must.NoError(t, f.store.Trim(record.AnchorStream("s"), span.Next-1))
	must.NoError(t, f.store.Trim(record.ShardStream("s"), found[0].Through))
	chunks, err := f.store.Span(t.Context(), record.SnapshotStream("s"))
	must.NoError(t, err)
	must.NoError(t, f.store.Trim(record.SnapshotStream("s"), min(found[0].FirstChunk, chunks.Next)))
}

// checkNoDuplicates checks that no entry of the newest snapshot was appended
// twice.
func (f *fixture) checkNoDuplicates(t *testing.T) {
	found, err := readAnchors(t.Context(), f.store, record.AnchorStream("s"))
	must.NoError(t, err)
	must.SliceLen(t, 2, found)
	chunks, err := f.store.Span(t.Context(), record.SnapshotStream("s"))
	must.NoError(t, err)
	must.Eq(t, found[0].FirstChunk+platform.Offset(found[0].Chunks), chunks.Next)
}

// loadsExactly loads a new host and reports whether its state equals the source's.
func (f *fixture) loadsExactly(t *testing.T) bool {
	r := newReplica(f.store, "b")
	if r.snapshotter.Load(t.Context()) != nil || r.follower.Poll(t.Context()) != nil {
		return false
	}
	return r.replay.Next() == f.source.replay.Next() && r.replay.Digest() == f.source.replay.Digest()
}

// saveFunc writes a snapshot. The variants differ in the order of the appends.
type saveFunc func(ctx context.Context, s *Snapshotter) error

func chunksFirst(ctx context.Context, s *Snapshotter) error { return s.Save(ctx) }

// anchorFirst writes the anchor before the chunks, unlike Save.
func anchorFirst(ctx context.Context, s *Snapshotter) error {
	im, err := Export(s.config.Follower, s.config.State)
	if err != nil {
		return err
	}
	span, err := s.config.Log.Span(ctx, s.config.Streams.Chunks)
	if err != nil {
		return err
	}
	a := record.Anchor{
		Through: im.Through, Snapshot: s.newSnapshotID(im.Through), Digest: im.Digest,
		FirstChunk: span.Next, Chunks: uint32((len(im.Data) + ChunkBytes - 1) / ChunkBytes),
	}
	if err := s.writeAnchor(ctx, a); err != nil {
		return err
	}
	return s.writeChunks(ctx, &record.Anchor{Snapshot: a.Snapshot, Digest: a.Digest}, im.Data)
}

// crashCounts counts the crash points at which a load was not exact.
type crashCounts struct {
	boundaries int
	// failedWithOlder counts failures while the older snapshot is retained,
	// failedWithNewestOnly those after everything expired that the newest anchor
	// does not need.
	failedWithOlder, failedWithNewestOnly int
}

// crashEverywhere crashes the writer after each of its appends.
func crashEverywhere(t *testing.T, write saveFunc) crashCounts {
	var out crashCounts
	for appends := 0; ; appends++ {
		f := newFixture(t)
		s := newReplica(&crashLog{Log: f.store, remaining: appends}, "a").snapshotter
		s.config.State, s.config.Follower = f.source.replay, f.source.follower
		err := write(t.Context(), s)
		out.boundaries++
		if !f.loadsExactly(t) {
			out.failedWithOlder++
		}
		f.expireNeededByOlder(t)
		if !f.loadsExactly(t) {
			out.failedWithNewestOnly++
		}
		if err == nil {
			return out
		}
		must.ErrorIs(t, err, errCrash)
	}
}

// TestCrashAtEveryBoundary crashes the writer of a snapshot after each append.
// With the anchor last every load is exact, whichever snapshot is retained. With
// the anchor first a load is exact only while the older snapshot is retained.
func TestCrashAtEveryBoundary(t *testing.T) {
	last := crashEverywhere(t, chunksFirst)
	t.Logf("anchor last:  %+v", last)
	must.Eq(t, crashCounts{boundaries: last.boundaries}, last)
	must.Greater(t, 4, last.boundaries)

	first := crashEverywhere(t, anchorFirst)
	t.Logf("anchor first: %+v", first)
	must.Eq(t, 0, first.failedWithOlder)
	must.Positive(t, first.failedWithNewestOnly)
}

// TestLostResponseAtEveryAppend loses the response of each append of a snapshot,
// once with the process continuing and once with a crash right after.
func TestLostResponseAtEveryAppend(t *testing.T) {
	for lost := 1; ; lost++ {
		f := newFixture(t)
		log := &crashLog{Log: f.store, remaining: 100, lostResponse: lost}
		s := newReplica(log, "a").snapshotter
		s.config.State, s.config.Follower = f.source.replay, f.source.follower
		must.NoError(t, s.Save(t.Context()))
		f.checkNoDuplicates(t)
		f.expireNeededByOlder(t)
		must.True(t, f.loadsExactly(t), must.Sprintf("lost response %d", lost))
		if 100-log.remaining < lost {
			return
		}

		f = newFixture(t)
		s = newReplica(&crashLog{Log: f.store, remaining: lost, lostResponse: lost}, "a").snapshotter
		s.config.State, s.config.Follower = f.source.replay, f.source.follower
		_ = s.Save(t.Context())
		f.expireNeededByOlder(t)
		must.True(t, f.loadsExactly(t), must.Sprintf("crash after lost response %d", lost))
	}
}
