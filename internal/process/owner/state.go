package owner

import (
	"context"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/snapshot"
)

// Follow replays the shard's stream up to its end. The first successful call
// starts from the latest snapshot.
func (o *Owner) Follow(ctx context.Context) error {
	start := o.config.Now()
	err := o.replica.Follow(ctx)
	if err == nil {
		o.setLastRead(start)
	}
	return err
}

// Export returns the shard's replayed state for a peer.
func (o *Owner) Export() (snapshot.Image, error) { return snapshot.Export(o.follower, o.replay) }

// Import replaces the shard's state with a peer's if the peer has replayed more of
// the stream. Later records are read from the log once it is available.
func (o *Owner) Import(image snapshot.Image) error {
	return snapshot.Import(o.follower, o.replay, image)
}

// Digest returns the offset up to which the stream was replayed and the digest of
// the state at that offset.
func (o *Owner) Digest() (platform.Offset, uint64) {
	var next platform.Offset
	var digest uint64
	o.follower.View(func() { next, digest = o.replay.Next(), o.replay.Digest() })
	return next, digest
}
