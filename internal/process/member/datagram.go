package member

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/siskinvane/siskinvane/internal/platform"
)

// datagramFormat is the format number of datagrams.
const datagramFormat uint8 = 1

// maxDatagramBytes bounds the size of a datagram. If a host's facts do not fit,
// the list of owned shards is truncated.
const maxDatagramBytes = 1400

// datagram is the message that hosts exchange. Without facts it states that the
// facts sent with the same State still hold.
type datagram struct {
	Format      uint8           `cbor:"1,keyasint"`
	Host        platform.HostID `cbor:"2,keyasint"`
	Incarnation uint64          `cbor:"3,keyasint"`
	Sequence    uint64          `cbor:"4,keyasint"`
	State       uint64          `cbor:"5,keyasint"`
	Facts       *Facts          `cbor:"6,keyasint,omitempty"`
	// WantFacts asks the receiver to send its facts.
	WantFacts bool `cbor:"7,keyasint,omitempty"`
}

// errInvalidDatagram reports a datagram that cannot be decoded or has an unknown
// format.
var errInvalidDatagram = errors.New("invalid datagram")

// decodeDatagram decodes a datagram. Errors match errInvalidDatagram.
func decodeDatagram(data []byte) (datagram, error) {
	var d datagram
	if err := cbor.Unmarshal(data, &d); err != nil {
		return datagram{}, fmt.Errorf("%w: %w", errInvalidDatagram, err)
	}
	if d.Format != datagramFormat || d.Host == "" {
		return datagram{}, fmt.Errorf("%w: format %d from %q", errInvalidDatagram, d.Format, d.Host)
	}
	return d, nil
}

// datagramEncoder encodes and numbers a host's datagrams. It is not safe for
// concurrent use.
type datagramEncoder struct {
	host         platform.HostID
	incarnation  uint64
	sequence     uint64
	state        uint64
	facts        Facts
	encodedFacts []byte
}

// setFacts sets the host's facts and reports whether they changed.
func (e *datagramEncoder) setFacts(f Facts) (bool, error) {
	encoded, err := cbor.Marshal(f)
	if err != nil {
		return false, fmt.Errorf("encode facts: %w", err)
	}
	if bytes.Equal(encoded, e.encodedFacts) {
		return false, nil
	}
	e.facts, e.encodedFacts = f, encoded
	e.state++
	return true, nil
}

// ownHeartbeat returns the host's next heartbeat for its own view.
func (e *datagramEncoder) ownHeartbeat() Heartbeat {
	e.sequence++
	return Heartbeat{Host: e.host, Incarnation: e.incarnation, Sequence: e.sequence, State: e.state, Facts: e.facts}
}

// nextDatagram returns the next datagram, with the facts if withFacts is set. It
// asks the receiver for its facts if wantFacts is set.
func (e *datagramEncoder) nextDatagram(withFacts, wantFacts bool) ([]byte, error) {
	e.sequence++
	d := datagram{
		Format: datagramFormat, Host: e.host, Incarnation: e.incarnation,
		Sequence: e.sequence, State: e.state, WantFacts: wantFacts,
	}
	if withFacts {
		facts := e.facts
		d.Facts = &facts
	}
	data, err := cbor.Marshal(d)
	for err == nil && len(data) > maxDatagramBytes && len(d.Facts.Owned) > 0 {
		d.Facts.Owned = d.Facts.Owned[:len(d.Facts.Owned)/2]
		data, err = cbor.Marshal(d)
	}
	if err != nil {
		return nil, fmt.Errorf("encode datagram: %w", err)
	}
	return data, nil
}
