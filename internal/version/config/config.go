// Package config replays the stream of declarations. The current version and the
// known racks depend on the stream alone: a publish is effective when it is based
// on the version before it and its document is valid.
package config

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/version/declaration"
)

// maxOperators is the number of latest versions whose operators are kept.
const maxOperators = 64

// Replay is the state of the configuration stream up to an offset. It is not
// safe for concurrent use.
type Replay struct {
	next      platform.Offset
	version   uint64
	document  *declaration.Document
	raw       []byte
	operators []string
	racks     []record.Rack
	digest    uint64
	verdicts  []record.Verdict
}

// NewReplay returns the state before the first publish: version 0, an empty
// document and no racks.
func NewReplay() *Replay {
	r := &Replay{document: &declaration.Document{Format: declaration.Format}}
	r.updateDigest()
	return r
}

// Next returns the offset that Apply expects.
func (r *Replay) Next() platform.Offset { return r.next }

// Version returns the current version. It starts at 0 and never decreases.
func (r *Replay) Version() uint64 { return r.version }

// Document returns the current document, which must not be modified.
func (r *Replay) Document() *declaration.Document { return r.document }

// Raw returns the current document as it was published.
func (r *Replay) Raw() []byte { return r.raw }

// Operator returns the operator who published the current version.
func (r *Replay) Operator() string { return r.OperatorOf(r.version) }

// OperatorOf returns the operator who published a version, or the empty string
// when it was never published or is too old.
func (r *Replay) OperatorOf(version uint64) string {
	if version > r.version || r.version-version >= uint64(len(r.operators)) {
		return ""
	}
	return r.operators[uint64(len(r.operators))-1-(r.version-version)]
}

// Racks returns the known racks in order; the result must not be modified.
func (r *Replay) Racks() []record.Rack { return r.racks }

// Digest returns a hash of the state. Replicas at the same offset have the same
// digest.
func (r *Replay) Digest() uint64 { return r.digest }

// Apply replays the entry at Next.
func (r *Replay) Apply(e platform.Entry) (record.Verdict, error) {
	if e.Offset != r.next {
		return 0, fmt.Errorf("config: entry at offset %d, want %d", e.Offset, r.next)
	}
	b, err := record.Decode(e.Data)
	if errors.Is(err, record.ErrFormat) {
		return 0, fmt.Errorf("config offset %d: %w", e.Offset, err)
	}
	r.next++
	r.verdicts = nil
	if err != nil {
		return record.Invalid, nil
	}
	verdict := record.Invalid
	for _, rec := range b.Records {
		v := r.applyRecord(rec)
		r.verdicts = append(r.verdicts, v)
		if v == record.Effective || verdict != record.Effective {
			verdict = v
		}
	}
	return verdict, nil
}

// RecordVerdicts returns the verdicts on the records of the batch that was
// applied last. It is empty for an entry that is not a batch.
func (r *Replay) RecordVerdicts() []record.Verdict { return r.verdicts }

func (r *Replay) applyRecord(rec record.Record) record.Verdict {
	switch {
	case rec.Publish != nil:
		return r.applyPublish(rec.Publish)
	case rec.Topology != nil:
		return r.applyTopology(rec.Topology)
	}
	return record.Invalid
}

func (r *Replay) applyPublish(p *record.Publish) record.Verdict {
	if p.Base != r.version {
		return record.Stale
	}
	doc, err := declaration.Parse(p.Document)
	if err != nil {
		return record.Invalid
	}
	r.version++
	r.document = doc
	r.raw = p.Document
	r.operators = append(r.operators, p.Operator)
	if len(r.operators) > maxOperators {
		r.operators = slices.Clone(r.operators[1:])
	}
	r.updateDigest()
	return record.Effective
}

func (r *Replay) applyTopology(t *record.Topology) record.Verdict {
	racks := append(slices.Clone(r.racks), t.Add...)
	slices.SortFunc(racks, record.CompareRacks)
	racks = slices.Compact(racks)
	if len(racks) == len(r.racks) {
		return record.Duplicate
	}
	r.racks = racks
	r.updateDigest()
	return record.Effective
}

func (r *Replay) updateDigest() {
	d := xxhash.New()
	var version [8]byte
	binary.LittleEndian.PutUint64(version[:], r.version)
	d.Write(version[:])
	d.Write(r.raw)
	for _, rack := range r.racks {
		d.WriteString("\x00" + string(rack.Domain) + "\x00" + string(rack.Rack))
	}
	r.digest = d.Sum64()
}

// image is the encoded form of a replay.
type image struct {
	Next    platform.Offset `cbor:"1,keyasint"`
	Version uint64          `cbor:"2,keyasint"`
	Raw     []byte          `cbor:"3,keyasint"`
	History []string        `cbor:"4,keyasint"`
	Racks   []record.Rack   `cbor:"5,keyasint"`
}

// ErrOlder reports an image that is older than the state that it would replace.
var ErrOlder = errors.New("image is older than the state")

// MarshalBinary encodes the state. Equal states have equal encodings.
func (r *Replay) MarshalBinary() ([]byte, error) {
	data, err := cbor.Marshal(image{r.next, r.version, r.raw, r.operators, r.racks})
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	return data, nil
}

// UnmarshalBinary replaces the state by an encoded one. It rejects an image of a
// lower version or offset with ErrOlder, so that the version never decreases.
func (r *Replay) UnmarshalBinary(data []byte) error {
	var im image
	if err := cbor.Unmarshal(data, &im); err != nil {
		return fmt.Errorf("decode configuration: %w", err)
	}
	if im.Version < r.version || im.Next < r.next {
		return fmt.Errorf("%w: version %d at offset %d, have %d at %d", ErrOlder, im.Version, im.Next, r.version, r.next)
	}
	doc := &declaration.Document{Format: declaration.Format}
	if im.Version > 0 {
		var err error
		if doc, err = declaration.Parse(im.Raw); err != nil {
			return fmt.Errorf("configuration version %d: %w", im.Version, err)
		}
	}
	*r = Replay{
		next: im.Next, version: im.Version, document: doc, raw: im.Raw,
		operators: im.History, racks: im.Racks,
	}
	r.updateDigest()
	return nil
}
