package snapshot

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"iter"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
)

// readLimit is the number of entries per read.
const readLimit = 16

// scan yields the entries of a stream from an offset to its end, each once.
func scan(ctx context.Context, log platform.Log, stream string, from platform.Offset) iter.Seq2[platform.Entry, error] {
	return func(yield func(platform.Entry, error) bool) {
		for {
			entries, err := log.Read(ctx, stream, from, readLimit)
			if err != nil {
				yield(platform.Entry{}, err)
				return
			}
			if len(entries) == 0 {
				return
			}
			for _, e := range entries {
				if e.Offset < from {
					continue
				}
				from = e.Offset + 1
				if !yield(e, nil) {
					return
				}
			}
		}
	}
}

// readAnchors returns the retained anchors, the one with the highest offset
// first. It skips entries that this version cannot read; this is safe because the
// data named by an anchor is verified by its digest.
func readAnchors(ctx context.Context, log platform.Log, stream string) ([]record.Anchor, error) {
	span, err := log.Span(ctx, stream)
	if err != nil {
		return nil, err
	}
	var found []record.Anchor
	for e, err := range scan(ctx, log, stream, span.Oldest) {
		if err != nil {
			return nil, err
		}
		b, err := record.Decode(e.Data)
		if err != nil {
			continue
		}
		for _, r := range b.Records {
			if r.Anchor != nil {
				found = append(found, *r.Anchor)
			}
		}
	}
	slices.SortStableFunc(found, func(a, b record.Anchor) int {
		return cmp.Or(cmp.Compare(b.Through, a.Through), cmp.Compare(b.AtMillis, a.AtMillis))
	})
	return found, nil
}

// readChunks returns the encoded state that an anchor names. The error matches
// ErrNoSnapshot when chunks are missing, have expired or do not match the
// anchor's digest.
func readChunks(ctx context.Context, log platform.Log, stream string, a record.Anchor) ([]byte, error) {
	parts := make(map[uint32][]byte, a.Chunks)
	for e, err := range scan(ctx, log, stream, a.FirstChunk) {
		var expired *platform.OffsetExpiredError
		if errors.As(err, &expired) {
			return nil, fmt.Errorf("%w: %w", ErrNoSnapshot, err)
		}
		if err != nil {
			return nil, err
		}
		b, err := record.Decode(e.Data)
		if err != nil {
			continue
		}
		for _, r := range b.Records {
			if r.Chunk != nil && r.Chunk.Snapshot == a.Snapshot && r.Chunk.Index < a.Chunks {
				parts[r.Chunk.Index] = r.Chunk.Data
			}
		}
		if len(parts) == int(a.Chunks) {
			break
		}
	}
	return joinChunks(parts, a)
}

func joinChunks(parts map[uint32][]byte, a record.Anchor) ([]byte, error) {
	if len(parts) != int(a.Chunks) {
		return nil, fmt.Errorf("%w: %d of %d chunks at offset %d", ErrNoSnapshot, len(parts), a.Chunks, a.FirstChunk)
	}
	var data []byte
	for i := range a.Chunks {
		data = append(data, parts[i]...)
	}
	if xxhash.Sum64(data) != a.Digest {
		return nil, fmt.Errorf("%w: digest of the chunks at offset %d differs", ErrNoSnapshot, a.FirstChunk)
	}
	return data, nil
}
