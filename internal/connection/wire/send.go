package wire

import (
	"fmt"
	"io"
	"net/http/httputil"
)

// streamBufferBytes is the size of the copy buffer for a streamed request body.
const streamBufferBytes = 32 << 10

// Message is an encoded request.
type Message struct {
	// Head is the request line and header, including the empty line.
	Head []byte
	// Body is the complete body when Stream is nil.
	Body []byte
	// Stream is the source of the body, or nil. Length is its size, or negative
	// to send it chunked.
	Stream io.Reader
	Length int64
}

// SourceError reports that Message.Stream could not be read completely.
type SourceError struct{ Err error }

// Error implements error.
func (e *SourceError) Error() string { return fmt.Sprintf("read body of the caller: %v", e.Err) }

// Unwrap returns the cause.
func (e *SourceError) Unwrap() error { return e.Err }

// Send writes m. A *SourceError means that m.Stream failed; the connection is
// then in the middle of a message and must be closed.
func (c *Conn) Send(m *Message) error {
	if m.Stream == nil {
		_, err := c.Write(append(m.Head, m.Body...))
		return err
	}
	if _, err := c.Write(m.Head); err != nil {
		return err
	}
	if m.Length < 0 {
		return c.sendChunked(m.Stream)
	}
	sent, err := c.copyBody(c, io.LimitReader(m.Stream, m.Length))
	if err == nil && sent != m.Length {
		return &SourceError{Err: io.ErrUnexpectedEOF}
	}
	return err
}

func (c *Conn) sendChunked(stream io.Reader) error {
	w := httputil.NewChunkedWriter(c)
	if _, err := c.copyBody(w, stream); err != nil {
		return err
	}
	if err := w.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(c, "\r\n")
	return err
}

// copyBody copies r to w. It returns errors of r as *SourceError.
func (c *Conn) copyBody(w io.Writer, r io.Reader) (int64, error) {
	buf := make([]byte, streamBufferBytes)
	var sent int64
	for {
		n, readErr := r.Read(buf)
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return sent, err
			}
			sent += int64(n)
		}
		if readErr == io.EOF {
			return sent, nil
		}
		if readErr != nil {
			return sent, &SourceError{Err: readErr}
		}
	}
}
