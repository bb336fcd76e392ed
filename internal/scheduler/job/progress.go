package job

import (
	"bytes"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

const (
	// maxPlainBytes is the size up to which a set is recorded with a bit for each number, as all
	// versions read it. It holds the tasks of any job without a schedule.
	maxPlainBytes = 8 << 10
	// maxBelow limits DoneBelow. No job has that many tasks.
	maxBelow = 1 << 50
)

// progressFields has the fields of Progress without its methods.
type progressFields Progress

// progressValue is the value of a progress record.
type progressValue struct {
	progressFields
	// Done has a bit for each task. It is left out if DoneBelow is set. A version that does not
	// know that field then takes no task as done, and starts occurrences of the past again.
	Done []byte `cbor:"2,keyasint,omitempty"`
	// DoneBelow and DoneFrom are the fields of a BitSet.
	DoneBelow int    `cbor:"11,keyasint,omitempty"`
	DoneFrom  []byte `cbor:"12,keyasint,omitempty"`
}

// MarshalCBOR implements cbor.Marshaler.
func (p Progress) MarshalCBOR() ([]byte, error) {
	v := progressValue{progressFields: progressFields(p)}
	if full := p.Done.Below / bitsPerByte; full+len(p.Done.Bits) <= maxPlainBytes || full == 0 {
		v.Done = append(bytes.Repeat([]byte{0xff}, full), p.Done.Bits...)
	} else {
		v.DoneBelow, v.DoneFrom = p.Done.Below, p.Done.Bits
	}
	return sortedEncoding.Marshal(v)
}

// UnmarshalCBOR implements cbor.Unmarshaler. It returns an error if the encoding or the numbers
// of the tasks that are done are invalid.
func (p *Progress) UnmarshalCBOR(data []byte) error {
	var v progressValue
	if err := cbor.Unmarshal(data, &v); err != nil {
		return err
	}
	if v.DoneBelow < 0 || v.DoneBelow > maxBelow || v.DoneBelow%bitsPerByte != 0 {
		return fmt.Errorf("tasks below %d are done: want a multiple of %d up to %d", v.DoneBelow, bitsPerByte, int64(maxBelow))
	}
	*p = Progress(v.progressFields)
	p.Done = BitSet{Bits: v.Done}
	if v.DoneBelow > 0 {
		p.Done = BitSet{Below: v.DoneBelow, Bits: v.DoneFrom}
	}
	p.Done.shorten()
	return nil
}
