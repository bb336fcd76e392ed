package wire

import (
	"errors"
	"io"
	"net/http/httputil"

	"github.com/cloudwego/hertz/pkg/protocol"
)

// Content lengths as the HTTP library reports them when no number is given.
const (
	lengthChunked  = -1
	lengthUnframed = -2
)

// maxTrailerLines limits the trailer of a chunked response.
const maxTrailerLines = 32

// Body is the body of one response. Read returns io.EOF only after the complete
// body, and io.ErrUnexpectedEOF when the connection ends early.
type Body struct {
	conn *Conn
	// length is the body's size in bytes, or negative for a chunked body.
	length    int64
	remaining int64
	chunks    io.Reader
	complete  bool
}

// Body returns the body of the response whose header is r. bodiless is set when
// a response to the request's method has no body.
func (c *Conn) Body(r *protocol.Response, bodiless bool) (*Body, error) {
	code := r.StatusCode()
	length := r.Header.ContentLength()
	switch {
	case bodiless || code == 204 || code == 304:
		return &Body{conn: c, complete: true}, nil
	case length == lengthChunked:
		return &Body{conn: c, length: -1, chunks: httputil.NewChunkedReader(c.reader)}, nil
	case length <= lengthUnframed:
		return nil, ErrUnframed
	}
	return &Body{conn: c, length: int64(length), remaining: int64(length), complete: length == 0}, nil
}

// Length returns the size in bytes, or a negative number if it is unknown.
func (b *Body) Length() int64 { return b.length }

// Whole reports whether the body was read completely.
func (b *Body) Whole() bool { return b.complete }

// Ready reports whether Read can return without waiting for the network.
func (b *Body) Ready() bool { return b.complete || b.conn.reader.Buffered() > 0 }

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	if b.complete {
		return 0, io.EOF
	}
	if b.chunks != nil {
		return b.readChunked(p)
	}
	if int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.conn.reader.Read(p)
	b.remaining -= int64(n)
	b.complete = b.remaining == 0
	if err == io.EOF && !b.complete {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (b *Body) readChunked(p []byte) (int, error) {
	n, err := b.chunks.Read(p)
	if err != io.EOF {
		return n, err
	}
	if err := b.skipTrailer(); err != nil {
		return n, err
	}
	b.complete = true
	return n, io.EOF
}

// skipTrailer reads the trailer up to and including the empty line.
func (b *Body) skipTrailer() error {
	for range maxTrailerLines {
		line, err := b.conn.reader.ReadSlice('\n')
		if err == io.EOF {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if len(line) <= len("\r\n") {
			return nil
		}
	}
	return errors.New("trailer of the answer is too long")
}
