// Package snapshot preserves a state beyond the log's retention of its records. A
// snapshot is the encoded state, split into chunks in one stream, and an anchor
// in another stream that names the chunks. The chunks are written first and read
// back, then the anchor; the snapshot counts as complete only once the anchor was
// read back too. A load takes the latest anchor whose chunks are complete and
// falls back to older ones.
package snapshot

import (
	"errors"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/process/stream"
)

// ChunkBytes is the size of a chunk's data; the last chunk may be shorter.
const ChunkBytes = 48 << 10

// State is replayed from a stream and can be saved in a snapshot.
type State interface {
	stream.State
	// MarshalBinary encodes the state with its offset.
	MarshalBinary() ([]byte, error)
	// UnmarshalBinary replaces the state by a later one.
	UnmarshalBinary(data []byte) error
}

// Streams names the streams of one state and its snapshots.
type Streams struct {
	// Records is the stream from which the state is replayed.
	Records string
	Chunks  string
	Anchors string
}

// ShardStreams returns the streams of a shard.
func ShardStreams(id platform.ShardID) Streams {
	return Streams{
		Records: record.ShardStream(id), Chunks: record.SnapshotStream(id), Anchors: record.AnchorStream(id),
	}
}

// ConfigStreams returns the streams of the configuration.
func ConfigStreams() Streams {
	return Streams{
		Records: record.ConfigStream, Chunks: record.ConfigSnapshotStream, Anchors: record.ConfigAnchorStream,
	}
}

// ErrNoSnapshot reports that there is no complete snapshot from which the retained
// records can be replayed.
var ErrNoSnapshot = errors.New("no usable snapshot")

// ErrNotFound reports that an appended entry could not be read back.
var ErrNotFound = errors.New("appended entry was not found")
