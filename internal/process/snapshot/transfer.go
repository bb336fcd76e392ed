package snapshot

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/stream"
)

// Image is an encoded state. Peers send it to a host that starts while the log is
// down; the receiver may read the state but does not become the owner of the
// shard.
type Image struct {
	// Through is the offset up to which the state was replayed.
	Through platform.Offset
	// Digest is the xxhash of Data.
	Digest uint64
	Data   []byte
}

// ErrCorrupted reports an image whose data does not match its digest or offset.
var ErrCorrupted = errors.New("damaged image")

// Export encodes a state that is guarded by f.
func Export(f *stream.Follower, s State) (Image, error) {
	var im Image
	var err error
	f.View(func() {
		im.Through = s.Next()
		im.Data, err = s.MarshalBinary()
	})
	if err != nil {
		return Image{}, fmt.Errorf("export state: %w", err)
	}
	im.Digest = xxhash.Sum64(im.Data)
	return im, nil
}

// Import replaces a state that is guarded by f by an image of a later one. An
// image whose offset is not higher than the state's changes nothing.
func Import(f *stream.Follower, s State, im Image) error {
	if xxhash.Sum64(im.Data) != im.Digest {
		return fmt.Errorf("import state through %d: %w", im.Through, ErrCorrupted)
	}
	return f.Replace(func() error {
		if im.Through <= s.Next() {
			return nil
		}
		if err := s.UnmarshalBinary(im.Data); err != nil {
			return fmt.Errorf("import state through %d: %w", im.Through, err)
		}
		if s.Next() != im.Through {
			return fmt.Errorf("import state through %d, is at %d: %w", im.Through, s.Next(), ErrCorrupted)
		}
		return nil
	})
}
