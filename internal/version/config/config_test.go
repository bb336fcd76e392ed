package config

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/standin/property"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { property.Main(m, 100, 0) }

// document returns a valid document that differs by tag.
func document(tag int) []byte {
	return fmt.Appendf(nil, `{"format":1,"classes":[{"name":"c%d","target":{"may_wait":true}}],"teams":[{"name":"t","quota":{"processors":1,"memory_mb":100}}]}`, tag)
}

// testStream is a stream that several replicas replay.
type testStream struct {
	t       rapid.TB
	entries []platform.Entry
}

func (s *testStream) append(r ...record.Record) {
	data, err := record.Encode(record.Batch{Writer: record.WriterID{Host: "h", Incarnation: 1}, Sequence: uint64(len(s.entries) + 1), Records: r})
	must.NoError(s.t, err)
	s.entries = append(s.entries, platform.Entry{Offset: platform.Offset(len(s.entries)), Data: data})
}

// applyNext replays the entry that r expects.
func (s *testStream) applyNext(r *Replay) record.Verdict {
	v, err := r.Apply(s.entries[r.Next()])
	must.NoError(s.t, err)
	return v
}

func publish(base uint64, operator string, doc []byte) record.Record {
	return record.Record{Publish: &record.Publish{Base: base, Operator: operator, Document: doc}}
}

func TestPublishVerdicts(t *testing.T) {
	stream := &testStream{t: t}
	r := NewReplay()
	cases := []struct {
		record  record.Record
		want    record.Verdict
		version uint64
	}{
		{publish(0, "ada", document(1)), record.Effective, 1},
		{publish(0, "bo", document(2)), record.Stale, 1},
		{publish(1, "bo", []byte(`{"format":1,"weights":[1]}`)), record.Invalid, 1},
		{publish(1, "bo", document(2)), record.Effective, 2},
		{publish(2, "cy", document(3)), record.Effective, 3},
		{publish(9, "cy", document(3)), record.Stale, 3},
		{record.Record{Topology: &record.Topology{Add: []record.Rack{{Domain: "d", Rack: "r"}}}}, record.Effective, 3},
		{record.Record{Topology: &record.Topology{Add: []record.Rack{{Domain: "d", Rack: "r"}}}}, record.Duplicate, 3},
		{record.Record{Cancel: &record.Cancel{Job: "j"}}, record.Invalid, 3},
	}
	for _, c := range cases {
		stream.append(c.record)
		must.Eq(t, c.want, stream.applyNext(r))
		must.Eq(t, c.version, r.Version())
	}
	must.Eq(t, []string{"ada", "bo", "cy", ""}, []string{r.OperatorOf(1), r.OperatorOf(2), r.OperatorOf(3), r.OperatorOf(4)})
	must.Eq(t, document(3), r.Raw())
	must.Eq(t, []record.Rack{{Domain: "d", Rack: "r"}}, r.Racks())
}

// TestPublishesInOneBatch puts the publishes of two operators into one batch. The
// first must be effective and the second stale.
func TestPublishesInOneBatch(t *testing.T) {
	stream := &testStream{t: t}
	r := NewReplay()
	stream.append(publish(0, "ada", document(1)), publish(0, "bo", document(2)))
	must.Eq(t, record.Effective, stream.applyNext(r))
	must.Eq(t, []record.Verdict{record.Effective, record.Stale}, r.RecordVerdicts())
	must.Eq(t, "ada", r.OperatorOf(1))
}

// TestVersionNeverDecreases runs replicas with random publishes and images of one
// another, some of them old. Versions must not decrease, and replicas at the same
// offset must have the same digest.
func TestVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := &testStream{t: t}
		replicas := []*Replay{NewReplay(), NewReplay(), NewReplay()}
		var images [][]byte
		digests := map[platform.Offset]uint64{}
		pick := func() *Replay { return replicas[rapid.IntRange(0, len(replicas)-1).Draw(t, "replica")] }
		check := func(r *Replay) {
			if old, seen := digests[r.Next()]; seen {
				must.Eq(t, old, r.Digest())
			}
			digests[r.Next()] = r.Digest()
		}
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				doc := document(rapid.IntRange(0, 9).Draw(t, "tag"))
				if rapid.IntRange(0, 3).Draw(t, "valid") == 0 {
					doc = []byte("{}")
				}
				stream.append(publish(pick().Version(), "ada", doc))
			},
			"topology": func(t *rapid.T) {
				rack := platform.RackID(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "rack")))
				stream.append(record.Record{Topology: &record.Topology{Add: []record.Rack{{Domain: "d", Rack: rack}}}})
			},
			"apply": func(t *rapid.T) {
				r := pick()
				if int(r.Next()) == len(stream.entries) {
					t.Skip("at the end")
				}
				before := r.Version()
				stream.applyNext(r)
				must.GreaterEq(t, before, r.Version())
				check(r)
			},
			"save": func(t *rapid.T) {
				image, err := pick().MarshalBinary()
				must.NoError(t, err)
				images = append(images, image)
			},
			"load": func(t *rapid.T) {
				if len(images) == 0 {
					t.Skip("no image")
				}
				r := pick()
				before, next := r.Version(), r.Next()
				err := r.UnmarshalBinary(images[rapid.IntRange(0, len(images)-1).Draw(t, "image")])
				if err != nil {
					must.ErrorIs(t, err, ErrOlder)
				}
				must.GreaterEq(t, before, r.Version())
				must.GreaterEq(t, next, r.Next())
				check(r)
			},
		})
	})
}
