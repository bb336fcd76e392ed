package memstore

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/store"
)

var part = store.Partition{Topic: "keyed.t"}

func record(key, value string) store.Record { return store.Record{Key: key, Value: []byte(value)} }

func TestWriters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		v := New().View("h1")
		put := func(epoch platform.Epoch, sequence uint64, value string) (platform.Offset, error) {
			return v.Append(ctx, part, []store.Record{record("k", value)}, &store.Writer{Name: "w", Epoch: epoch, Sequence: sequence})
		}
		first, err := put(3, 1, "a")
		must.NoError(t, err)
		repeated, err := put(3, 1, "a")
		must.NoError(t, err)
		must.Eq(t, first, repeated)
		_, err = put(3, 3, "c")
		var sequence *store.SequenceError
		must.True(t, errors.As(err, &sequence))
		must.Eq(t, 2, sequence.Expected)
		_, err = put(4, 9, "b")
		must.NoError(t, err)
		_, err = put(3, 2, "late")
		var fenced *store.FencedError
		must.True(t, errors.As(err, &fenced))
		page, err := v.Newest(ctx, part, nil)
		must.NoError(t, err)
		must.Eq(t, "b", string(page.Records[0].Value))
	})
}

func TestGroupAssignsPartitionsToLiveMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		s := New()
		member := func(name string) store.Membership {
			return store.Membership{Group: "g", Member: name, Topic: part.Topic, TTL: time.Second}
		}
		a, err := s.View("a").Join(ctx, member("a"))
		must.NoError(t, err)
		must.Len(t, partitions, a.Partitions)
		b, err := s.View("b").Join(ctx, member("b"))
		must.NoError(t, err)
		must.SliceEmpty(t, b.Partitions, must.Sprint("the holder has not confirmed the new generation"))
		time.Sleep(1100 * time.Millisecond)
		b, err = s.View("b").Join(ctx, member("b"))
		must.NoError(t, err)
		must.Greater(t, a.Epoch, b.Epoch)
		must.True(t, b.Holds(part) || len(b.Partitions) > 0)
	})
}

func TestFaultModes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		s := New()
		v := s.View("h1")
		v.Set(Busy, 0)
		_, err := v.Append(ctx, part, []store.Record{record("k", "a")}, nil)
		must.ErrorIs(t, err, store.ErrUnavailable)
		v.Set(LateAppends, 0)
		_, err = v.Append(ctx, part, []store.Record{record("k", "b")}, nil)
		must.ErrorIs(t, err, platform.ErrOutcomeUnknown)
		must.Nil(t, s.Newest(part, "k"))
		time.Sleep(lateAppendDelay)
		must.Eq(t, "b", string(s.Newest(part, "k")))
		v.Set(LoseReplies, 0)
		_, err = v.Append(ctx, part, []store.Record{record("k", "c")}, nil)
		must.ErrorIs(t, err, platform.ErrOutcomeUnknown)
		must.Eq(t, "c", string(s.Newest(part, "k")))
		v.Set(Healthy, 0)
		s.Compact(part)
		_, err = v.Read(ctx, part, 0, 0)
		var expired *platform.OffsetExpiredError
		must.True(t, errors.As(err, &expired))
	})
}
