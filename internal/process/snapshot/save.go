package snapshot

import (
	"bytes"
	"context"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
)

// maxAppendAttempts limits the appends of one entry whose outcome is unknown.
const maxAppendAttempts = 3

// appender appends entries to one stream and can read them back.
type appender struct {
	log    platform.Log
	stream string
	// start is the end of the stream when the appender was created; all of its
	// entries have this offset or a higher one.
	start platform.Offset
}

func newAppender(ctx context.Context, log platform.Log, stream string) (*appender, error) {
	span, err := log.Span(ctx, stream)
	if err != nil {
		return nil, err
	}
	return &appender{log: log, stream: stream, start: span.Next}, nil
}

// add appends data and returns its offset. After an unknown outcome it looks for
// the entry in the stream before it appends again; a duplicate is harmless.
func (a *appender) add(ctx context.Context, data []byte) (platform.Offset, error) {
	for attempt := 1; ; attempt++ {
		at, err := a.log.Append(ctx, a.stream, data)
		if err == nil {
			return at, nil
		}
		if !errors.Is(err, platform.ErrOutcomeUnknown) || attempt == maxAppendAttempts {
			return 0, err
		}
		at, err = a.find(ctx, data)
		if !errors.Is(err, ErrNotFound) {
			return at, err
		}
	}
}

// find returns the offset of the first entry that equals data, or ErrNotFound.
func (a *appender) find(ctx context.Context, data []byte) (platform.Offset, error) {
	for e, err := range scan(ctx, a.log, a.stream, a.start) {
		if err != nil {
			return 0, err
		}
		if bytes.Equal(e.Data, data) {
			return e.Offset, nil
		}
	}
	return 0, fmt.Errorf("stream %s: %w", a.stream, ErrNotFound)
}

// verifyAt checks that the entry at an offset equals data.
func (a *appender) verifyAt(ctx context.Context, at platform.Offset, data []byte) error {
	entries, err := a.log.Read(ctx, a.stream, at, 1)
	if err != nil {
		return err
	}
	if len(entries) == 0 || entries[0].Offset != at || !bytes.Equal(entries[0].Data, data) {
		return fmt.Errorf("stream %s offset %d: %w", a.stream, at, ErrNotFound)
	}
	return nil
}

// writeSnapshot appends the chunks of an encoded state and then the anchor.
func (s *Snapshotter) writeSnapshot(ctx context.Context, im Image) (record.Anchor, error) {
	anchor := record.Anchor{
		Through: im.Through, Snapshot: s.newSnapshotID(im.Through), Digest: im.Digest,
		AtMillis: s.config.Now().UnixMilli(), Bytes: uint64(len(im.Data)),
	}
	if err := s.writeChunks(ctx, &anchor, im.Data); err != nil {
		return anchor, fmt.Errorf("write chunks: %w", err)
	}
	if err := s.writeAnchor(ctx, anchor); err != nil {
		return anchor, fmt.Errorf("write anchor: %w", err)
	}
	return anchor, nil
}

// writeChunks appends the chunks, reads them back, and sets their number and
// first offset in anchor.
func (s *Snapshotter) writeChunks(ctx context.Context, anchor *record.Anchor, data []byte) error {
	a, err := newAppender(ctx, s.config.Log, s.config.Streams.Chunks)
	if err != nil {
		return err
	}
	for start := 0; start < len(data); start += ChunkBytes {
		part := data[start:min(start+ChunkBytes, len(data))]
		entry, err := s.encode(record.Record{Chunk: &record.Chunk{
			Snapshot: anchor.Snapshot, Index: anchor.Chunks, Data: part,
		}})
		if err != nil {
			return err
		}
		at, err := a.add(ctx, entry)
		if err != nil {
			return err
		}
		if anchor.Chunks == 0 {
			anchor.FirstChunk = at
		}
		anchor.Chunks++
	}
	_, err = readChunks(ctx, s.config.Log, s.config.Streams.Chunks, *anchor)
	return err
}

func (s *Snapshotter) writeAnchor(ctx context.Context, anchor record.Anchor) error {
	a, err := newAppender(ctx, s.config.Log, s.config.Streams.Anchors)
	if err != nil {
		return err
	}
	entry, err := s.encode(record.Record{Anchor: &anchor})
	if err != nil {
		return err
	}
	at, err := a.add(ctx, entry)
	if err != nil {
		return err
	}
	return a.verifyAt(ctx, at, entry)
}

// encode returns an encoded batch of one record. Its sequence number makes it
// unique among the entries of this process.
func (s *Snapshotter) encode(r record.Record) ([]byte, error) {
	s.sequence++
	return record.Encode(record.Batch{Writer: s.config.Writer, Sequence: s.sequence, Records: []record.Record{r}})
}

// newSnapshotID returns a unique identifier for a snapshot.
func (s *Snapshotter) newSnapshotID(through platform.Offset) uint64 {
	s.snapshotCount++
	w := s.config.Writer
	return xxhash.Sum64String(fmt.Sprintf("%s/%d/%d/%d", w.Host, w.Incarnation, s.snapshotCount, through))
}
