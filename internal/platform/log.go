package platform

import (
	"context"
	"errors"
	"fmt"
)

// Entry is one entry of a stream, as returned by the log.
type Entry struct {
	Offset Offset `json:"offset"`
	Data   []byte `json:"data"`
}

// Span is the range of offsets that a stream retains: Oldest is the first
// retained offset, Next the offset of the next append.
type Span struct {
	Oldest Offset `json:"oldest"`
	Next   Offset `json:"next"`
}

// Log is the platform's append-only log service. All methods are safe for
// concurrent use. An error that matches ErrOutcomeUnknown means that an append
// may have taken effect, which only a later read shows.
type Log interface {
	// Append appends data to stream and returns its offset.
	Append(ctx context.Context, stream string, data []byte) (Offset, error)
	// Read returns at most limit entries in order, starting at offset from. It
	// returns an empty slice at the end of the stream and an
	// *OffsetExpiredError when from is no longer retained.
	Read(ctx context.Context, stream string, from Offset, limit int) ([]Entry, error)
	// Span returns the range of offsets that stream retains. A stream that was
	// never written has the zero Span.
	Span(ctx context.Context, stream string) (Span, error)
}

// ErrLogUnavailable reports that a call to the log had no effect.
var ErrLogUnavailable = errors.New("log unavailable")

// ErrLogBusy reports that a call had no effect because the log's append limit was
// reached; the caller must wait before it retries. It matches ErrLogUnavailable.
var ErrLogBusy = fmt.Errorf("%w: append limit reached", ErrLogUnavailable)

// ErrOutcomeUnknown reports that no response to a call was received; the call may
// have taken effect.
var ErrOutcomeUnknown = errors.New("outcome unknown")

// OffsetExpiredError reports a read below the oldest retained offset.
type OffsetExpiredError struct {
	Stream string
	From   Offset
	Oldest Offset
}

// Error implements error.
func (e *OffsetExpiredError) Error() string {
	return fmt.Sprintf("stream %s: offset %d expired, oldest is %d", e.Stream, e.From, e.Oldest)
}

// CallError is the error of a call with its step and its peer.
type CallError struct {
	// Step is the operation, for example "log append".
	Step string
	// Peer is the address or identifier of the called service.
	Peer string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("%s at %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// WrapCall adds step and peer to err. It returns nil when err is nil.
func WrapCall(step, peer string, err error) error {
	if err == nil {
		return nil
	}
	return &CallError{Step: step, Peer: peer, Err: err}
}
