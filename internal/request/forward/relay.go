package forward

import (
	"errors"
	"io"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/http1/ext"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/siskinvane/siskinvane/internal/request/header"
	"github.com/siskinvane/siskinvane/internal/request/outcome"
)

const (
	// maxInlineBytes bounds the responses that are read completely before the
	// caller gets the first byte.
	maxInlineBytes = 32 << 10
	// streamBufferBytes is the buffer size of a streamed response.
	streamBufferBytes = 32 << 10
	// minReadBytes is the minimum free buffer space for one read of a small
	// response.
	minReadBytes = 1 << 10
)

// errResponseCut makes the server close the caller's connection, so that the caller
// does not take a truncated response for a complete one.
var errResponseCut = errors.New("response to the caller was truncated")

// relay relays the endpoint's response to the caller. After an error, nothing has
// been sent to the caller. Otherwise the endpoint's connection has been returned to
// its pool or closed.
func (f *Forwarder) relay(t *try) error {
	c := t.request.c
	watch := isWatch(t)
	complete := false
	if !watch {
		var err error
		if complete, err = readInline(t); err != nil {
			c.Response.ResetBody()
			return err
		}
	}
	copyResponseHeader(t)
	f.writeSession(t)
	if complete {
		t.result.Answered = true
		t.request.recordAnswer()
		f.releaseConn(t)
		return nil
	}
	return f.stream(t, watch)
}

func isWatch(t *try) bool { return string(t.response.Header.Peek(header.Watch)) == "true" }

// readInline reads a small response into the response to the caller. It reports
// whether it is complete; if not, the rest must be streamed.
func readInline(t *try) (bool, error) {
	if t.body.Length() > maxInlineBytes {
		return false, nil
	}
	buf := t.request.c.Response.BodyBuffer()
	for !t.body.Whole() {
		if len(buf.B) > maxInlineBytes || len(buf.B) > 0 && t.body.Length() < 0 && !t.body.Ready() {
			return false, nil
		}
		buf.B = growBy(buf.B, minReadBytes)
		n, err := t.body.Read(buf.B[len(buf.B):cap(buf.B)])
		buf.B = buf.B[:len(buf.B)+n]
		if err != nil && err != io.EOF {
			return false, err
		}
	}
	return true, nil
}

// growBy returns b with a capacity for at least n more bytes.
func growBy(b []byte, n int) []byte {
	if cap(b)-len(b) >= n {
		return b
	}
	return append(make([]byte, 0, 2*cap(b)+n), b...)
}

// copyResponseHeader copies the status and the end-to-end fields to the response to
// the caller and adds the proxy's own fields.
func copyResponseHeader(t *try) {
	from, to := &t.response.Header, &t.request.c.Response.Header
	hop := header.ReadHopByHop(from)
	to.SetStatusCode(from.StatusCode())
	from.VisitAll(func(key, value []byte) {
		if !hop.Contains(key) && !header.IsOwnResponseField(key) {
			to.Add(string(key), string(value))
		}
	})
	to.Set(outcome.Header, string(outcome.Answered))
	to.Set("Via", "1.1 siskinvane")
	if t.request.method == "HEAD" && from.ContentLength() >= 0 {
		to.SetContentLength(from.ContentLength())
	}
}

// releaseConn returns the connection to its pool after a complete response, or closes
// it if the endpoint asked for that.
func (f *Forwarder) releaseConn(t *try) {
	if t.response.Header.ConnectionClose() {
		t.endpoint.Pool.Discard(t.conn)
		return
	}
	t.endpoint.Pool.Put(t.conn, f.now())
}

// stream relays a response while it arrives. As the caller gets the header immediately,
// only closing its connection can signal a later failure.
func (f *Forwarder) stream(t *try, watch bool) error {
	c := t.request.c
	if f.Draining() {
		c.Response.Header.SetConnectionClose(true)
	}
	buffered := append([]byte(nil), c.Response.BodyBuffer().B...)
	c.Response.ResetBody()
	w := newResponseWriter(c, t.body.Length())
	c.Response.HijackWriter(w)
	w.writeHead(buffered)
	if watch {
		f.watch(t, w)
	} else {
		w.copyBody(t.body)
	}
	t.result.Answered = w.err == nil
	if w.err != nil || !t.body.Whole() {
		t.endpoint.Pool.Discard(t.conn)
		return nil
	}
	f.releaseConn(t)
	return nil
}

// responseWriter writes a response of any size to a caller. After an error Finalize
// fails, which makes the server close the connection.
type responseWriter struct {
	c       *app.RequestContext
	w       network.Writer
	chunked bool
	err     error
}

func newResponseWriter(c *app.RequestContext, length int64) *responseWriter {
	c.Response.Header.SetContentLength(int(length))
	return &responseWriter{c: c, w: c.GetWriter(), chunked: length < 0}
}

// writeHead writes the header and the part of the body that has been read already.
func (rw *responseWriter) writeHead(buffered []byte) {
	if rw.err = resp.WriteHeader(&rw.c.Response.Header, rw.w); rw.err != nil {
		return
	}
	if len(buffered) == 0 {
		rw.err = rw.w.Flush()
		return
	}
	_, rw.err = rw.Write(buffered)
}

// copyBody writes the rest of the body. It sets rw.err if the body ends too early.
func (rw *responseWriter) copyBody(body io.Reader) {
	buf := make([]byte, streamBufferBytes)
	for rw.err == nil {
		n, err := body.Read(buf)
		if n > 0 {
			_, rw.err = rw.Write(buf[:n])
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			rw.err = errResponseCut
		}
	}
}

// Write implements network.ExtWriter. It sends the bytes immediately.
func (rw *responseWriter) Write(p []byte) (int, error) {
	if rw.chunked {
		return len(p), ext.WriteChunk(rw.w, p, true)
	}
	room, err := rw.w.Malloc(len(p))
	if err != nil {
		return 0, err
	}
	copy(room, p)
	return len(p), rw.w.Flush()
}

// Flush implements network.ExtWriter.
func (rw *responseWriter) Flush() error { return rw.w.Flush() }

// Finalize implements network.ExtWriter.
func (rw *responseWriter) Finalize() error {
	if rw.err != nil {
		return rw.err
	}
	if !rw.chunked {
		return nil
	}
	if err := ext.WriteChunk(rw.w, nil, false); err != nil {
		return err
	}
	if _, err := rw.w.WriteBinary(rw.c.Response.Header.Trailer().Header()); err != nil {
		return err
	}
	return rw.w.Flush()
}
