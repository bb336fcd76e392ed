package stream_test

import (
	"context"
	"errors"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/process/shard"
	"github.com/siskinvane/siskinvane/internal/process/stream"
	"github.com/siskinvane/siskinvane/internal/standin/logservice"
)

// TestExpiredEntriesAreNotSkipped lets entries expire that a follower has not
// read. The follower must not continue until a later state is loaded.
func TestExpiredEntriesAreNotSkipped(t *testing.T) {
	f := newFixture(t, nil, stream.Options{})
	for _, id := range []string{"a", "b", "c"} {
		_, err := f.writer.Commit(t.Context(), 1, job(id))
		must.NoError(t, err)
	}
	must.NoError(t, f.store.Trim(streamName, 3))
	late := shard.NewReplayer("s", &jobList{})
	follower := stream.NewFollower(f.store, streamName, late)
	var expired *platform.OffsetExpiredError
	err := follower.Poll(t.Context())
	must.True(t, errors.As(err, &expired))
	must.Eq(t, 0, late.Next())

	follower.OnExpired(func(context.Context) error { return errors.New("no snapshot") })
	err = follower.Poll(t.Context())
	must.True(t, errors.As(err, &expired))
	must.ErrorContains(t, err, "no snapshot")

	image, err := f.replay.MarshalBinary()
	must.NoError(t, err)
	follower.OnExpired(func(context.Context) error {
		return follower.Replace(func() error { return late.UnmarshalBinary(image) })
	})
	must.NoError(t, follower.Poll(t.Context()))
	must.Eq(t, f.replay.Digest(), late.Digest())
	must.Eq(t, 4, late.Next())
}

// TestRepeatedReadsAreHarmless lets reads return entries twice.
func TestRepeatedReadsAreHarmless(t *testing.T) {
	f := newFixture(t, nil, stream.Options{})
	_, err := f.writer.Commit(t.Context(), 1, job("a"))
	must.NoError(t, err)
	late := shard.NewReplayer("s", &jobList{})
	f.store.Faults().Set(logservice.FaultSet{DuplicateReads: 1})
	must.NoError(t, stream.NewFollower(f.store, streamName, late).Poll(t.Context()))
	must.Eq(t, f.replay.Digest(), late.Digest())
}

// TestReloadEndsCommitsAsUnknown reloads the state past a batch whose append
// response was lost, so that the writer never sees its verdict.
func TestReloadEndsCommitsAsUnknown(t *testing.T) {
	f := newFixture(t, nil, stream.Options{})
	peer := shard.NewReplayer("s", &jobList{})
	f.follower.OnExpired(func(context.Context) error {
		image, err := peer.MarshalBinary()
		must.NoError(t, err)
		return f.follower.Replace(func() error { return f.replay.UnmarshalBinary(image) })
	})
	f.store.Faults().Set(logservice.FaultSet{LoseAnswers: 1})
	f.setOnRetry(func(n int) {
		if n != 1 {
			return
		}
		_, err := f.store.As("b").Append(t.Context(), streamName, []byte("x"))
		must.NoError(t, err)
		must.NoError(t, stream.NewFollower(f.store.As("b"), streamName, peer).Poll(t.Context()))
		must.NoError(t, f.store.Trim(streamName, 3))
	})
	_, err := f.writer.Commit(t.Context(), 1, job("x"))
	must.ErrorIs(t, err, platform.ErrOutcomeUnknown)
	_, err = f.writer.Commit(t.Context(), 1, job("y"))
	must.NoError(t, err)
}

// TestNewerFormatStopsFollowerAndWriter checks that a follower and its writer
// stop for good at a record of a format that this version cannot read.
func TestNewerFormatStopsFollowerAndWriter(t *testing.T) {
	f := newFixture(t, nil, stream.Options{})
	newer, err := cbor.Marshal(map[int]int{1: int(record.Format) + 1})
	must.NoError(t, err)
	at, err := f.store.Append(t.Context(), streamName, newer)
	must.NoError(t, err)
	for range 2 {
		must.ErrorIs(t, f.follower.Poll(t.Context()), record.ErrFormat)
		must.Eq(t, at, f.replay.Next())
	}
	_, err = f.writer.Commit(t.Context(), 1, job("x"))
	must.ErrorIs(t, err, stream.ErrNotWritten)
	must.ErrorIs(t, err, record.ErrFormat)
	must.SliceLen(t, 2, readEntries(t, f))
}

func readEntries(t *testing.T, f *fixture) []platform.Entry {
	out, err := f.store.Read(t.Context(), streamName, 0, 100)
	must.NoError(t, err)
	return out
}
