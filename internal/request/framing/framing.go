// Package framing gathers an HTTP/1.1 request while its bytes arrive and tells where it
// ends. It does no I/O. It keeps the head and the decoded body, and nothing that a client
// only announces.
package framing

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"sync"

	"github.com/siskinvane/siskinvane/internal/request/header"
)

// Errors of a request. Every other error of Feed means that the end of the request cannot
// be told.
var (
	ErrHeadTooLarge = errors.New("head too large")
	ErrBodyTooLarge = errors.New("body too large")
)

var (
	errEmptyLines = errors.New("too many empty lines before a request")
	errChunk      = errors.New("malformed chunk")
)

// Limits bound a request, in bytes. A body counts without the framing of its chunks.
type Limits struct{ Head, Body int }

const (
	// maxEmptyBytes bounds the empty lines before a request.
	maxEmptyBytes = 16
	// maxChunkLine bounds the line with a chunk's size, extensions included.
	maxChunkLine = 128
	// blockBytes is the size in which the memory for a body grows.
	blockBytes = 4 << 10
	// keptHeadBytes is the largest buffer for heads that is kept for the next request.
	keptHeadBytes = 4 << 10
)

// state is what the next byte belongs to.
type state int

const (
	inHead state = iota
	inBody
	inChunkSize
	inChunkExtension
	inChunkData
	afterChunkData
	inTrailer
	complete
)

// Request is a request that is being gathered. The zero value has no room for one: call
// Reset first.
type Request struct {
	limits Limits
	state  state
	head   []byte
	// body holds bytes in blocks, all but the last one full.
	body  []*block
	bytes int
	// left is the rest of the body, or of the current chunk.
	left    int
	chunked bool
	// lineBytes counts the bytes of the current line, or those of the empty lines
	// before the head.
	lineBytes    int
	trailerBytes int
	continues    bool
	// out holds what Read has not returned yet of a complete request.
	out [][]byte
}

// block is a piece of a body.
type block [blockBytes]byte

var blocks = sync.Pool{New: func() any { return new(block) }}

// releaseBody gives the blocks of the body back.
func (r *Request) releaseBody() {
	for i, b := range r.body {
		r.body[i] = nil
		blocks.Put(b)
	}
	r.body = nil
}

// Reset begins a new request. What is left of the one before is lost.
func (r *Request) Reset(l Limits) {
	r.releaseBody()
	head := r.head[:0]
	if cap(head) > keptHeadBytes {
		head = nil
	}
	*r = Request{limits: l, head: head}
}

// Begun reports whether a byte of the request has arrived, empty lines before it left out.
func (r *Request) Begun() bool { return len(r.head) > 0 }

// Held returns the memory that the request takes, in bytes.
func (r *Request) Held() int { return cap(r.head) + len(r.body)*blockBytes }

// ExpectsContinue reports whether the client waits for an interim answer before it sends
// the body.
func (r *Request) ExpectsContinue() bool {
	return r.continues && r.bytes == 0 && r.state != inHead && r.state != complete
}

// Feed takes bytes of the connection up to the end of the request. It returns how many it
// took and whether the request is complete.
func (r *Request) Feed(p []byte) (n int, done bool, err error) {
	for n < len(p) && r.state != complete {
		taken, err := r.step(p[n:])
		n += taken
		if err != nil {
			return n, false, err
		}
	}
	return n, r.state == complete, nil
}

// step takes bytes in one state.
func (r *Request) step(p []byte) (int, error) {
	switch r.state {
	case inHead:
		return r.takeHead(p)
	case inBody, inChunkData:
		return r.takeBody(p), nil
	case inChunkSize, inChunkExtension:
		return 1, r.takeChunkSize(p[0])
	case afterChunkData:
		return 1, r.endChunk(p[0])
	default:
		return 1, r.takeTrailer(p[0])
	}
}

// takeHead takes a line of the head, or what has arrived of it.
func (r *Request) takeHead(p []byte) (int, error) {
	if len(r.head) == 0 && (p[0] == '\r' || p[0] == '\n') {
		if r.lineBytes++; r.lineBytes > maxEmptyBytes {
			return 1, errEmptyLines
		}
		return 1, nil
	}
	n := bytes.IndexByte(p, '\n') + 1
	ended := n > 0
	if !ended {
		n = len(p)
	}
	if len(r.head)+n > r.limits.Head {
		return n, ErrHeadTooLarge
	}
	r.head = append(r.head, p[:n]...)
	if ended && (bytes.HasSuffix(r.head, []byte("\n\r\n")) || bytes.HasSuffix(r.head, []byte("\n\n"))) {
		return n, r.endHead()
	}
	return n, nil
}

// endHead reads from the head how the body is framed.
func (r *Request) endHead() error {
	_, fields, _ := bytes.Cut(r.head, []byte{'\n'})
	f, err := header.ParseFraming(fields)
	if err != nil {
		return err
	}
	r.left, r.chunked, r.continues = f.Length, f.Chunked, f.ExpectsContinue
	r.lineBytes = 0
	switch {
	case r.left > r.limits.Body:
		return ErrBodyTooLarge
	case r.chunked:
		r.state = inChunkSize
	case r.left > 0:
		r.state = inBody
	default:
		r.finish()
	}
	return nil
}

// takeBody takes bytes of the body up to the end of a block, of the body or of the chunk.
func (r *Request) takeBody(p []byte) int {
	used := r.bytes % blockBytes
	if used == 0 {
		r.body = append(r.body, blocks.Get().(*block))
	}
	n := copy(r.body[len(r.body)-1][used:], p[:min(len(p), r.left)])
	r.bytes += n
	r.left -= n
	switch {
	case r.left > 0:
	case r.chunked:
		r.state = afterChunkData
	default:
		r.finish()
	}
	return n
}

// takeChunkSize takes a byte of the line with a chunk's size.
func (r *Request) takeChunkSize(b byte) error {
	if r.lineBytes++; r.lineBytes > maxChunkLine {
		return errChunk
	}
	if b == '\n' {
		return r.beginChunk()
	}
	if r.state == inChunkExtension {
		return nil
	}
	digit, err := strconv.ParseUint(string(b), 16, 4)
	if err != nil {
		if r.lineBytes == 1 || !bytes.ContainsAny([]byte{b}, "; \t\r") {
			return errChunk
		}
		r.state = inChunkExtension
		return nil
	}
	r.left = r.left<<4 | int(digit)
	if r.bytes+r.left > r.limits.Body {
		return ErrBodyTooLarge
	}
	return nil
}

func (r *Request) beginChunk() error {
	if r.lineBytes == 1 {
		return errChunk
	}
	r.lineBytes = 0
	r.state = inChunkData
	if r.left == 0 {
		r.state = inTrailer
	}
	return nil
}

// endChunk takes the line end after a chunk's data.
func (r *Request) endChunk(b byte) error {
	switch {
	case b == '\r' && r.lineBytes == 0:
		r.lineBytes++
	case b == '\n':
		r.lineBytes = 0
		r.state = inChunkSize
	default:
		return errChunk
	}
	return nil
}

// takeTrailer drops the fields after the last chunk.
func (r *Request) takeTrailer(b byte) error {
	if r.trailerBytes++; r.trailerBytes > r.limits.Head {
		return ErrHeadTooLarge
	}
	switch {
	case b != '\r' && b != '\n':
		r.lineBytes++
	case b == '\n' && r.lineBytes == 0:
		r.finish()
	case b == '\n':
		r.lineBytes = 0
	}
	return nil
}

// finish prepares the complete request for Read. A body of chunks becomes one chunk.
func (r *Request) finish() {
	r.state = complete
	r.out = append(r.out, r.head)
	if r.chunked && r.bytes > 0 {
		r.out = append(r.out, fmt.Appendf(nil, "%x\r\n", r.bytes))
	}
	for i, b := range r.body {
		r.out = append(r.out, b[:min(blockBytes, r.bytes-i*blockBytes)])
	}
	switch {
	case r.chunked && r.bytes > 0:
		r.out = append(r.out, []byte("\r\n0\r\n\r\n"))
	case r.chunked:
		r.out = append(r.out, []byte("0\r\n\r\n"))
	}
}

// Pending reports whether Read has bytes of a complete request left.
func (r *Request) Pending() bool { return len(r.out) > 0 }

// Read copies the next bytes of a complete request to p and returns their number.
func (r *Request) Read(p []byte) int {
	n := 0
	for n < len(p) && len(r.out) > 0 {
		copied := copy(p[n:], r.out[0])
		n += copied
		if r.out[0] = r.out[0][copied:]; len(r.out[0]) == 0 {
			r.out[0] = nil
			r.out = r.out[1:]
		}
	}
	if !r.Pending() {
		r.releaseBody()
	}
	return n
}
