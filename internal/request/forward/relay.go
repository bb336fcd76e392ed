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
	// inlineBytes bounds the answers that are read to their end before the
	// caller gets the first byte.
	inlineBytes = 32 << 10
	// streamBytes is the memory that a streamed answer takes.
	streamBytes = 32 << 10
	// readBytes is the least room for one read of a small answer.
	readBytes = 1 << 10
)

// errAborted makes the server close the caller's connection, so that a cut
// answer cannot pass for a whole one.
var errAborted = errors.New("answer was cut off")

// relay passes the endpoint's answer to the caller. An error means that the
// caller has got nothing yet. In every other case the connection is given back
// or closed.
func (f *Forwarder) relay(t *try) error {
	c := t.request.c
	watch := isWatch(t)
	whole := false
	if !watch {
		var err error
		if whole, err = readInline(t); err != nil {
			c.Response.ResetBody()
			return err
		}
	}
	copyAnswerHeader(t)
	f.writeSession(t)
	if whole {
		t.result.Answered = true
		t.request.keep()
		f.giveBack(t)
		return nil
	}
	return f.stream(t, watch)
}

func isWatch(t *try) bool { return string(t.answer.Header.Peek(header.Watch)) == "true" }

// readInline reads a small answer into the caller's response. It reports
// whether the answer is whole; if not, the rest has to be streamed.
func readInline(t *try) (bool, error) {
	if t.body.Length() > inlineBytes {
		return false, nil
	}
	buf := t.request.c.Response.BodyBuffer()
	for !t.body.Whole() {
		if len(buf.B) > inlineBytes || len(buf.B) > 0 && t.body.Length() < 0 && !t.body.Ready() {
			return false, nil
		}
		buf.B = growBy(buf.B, readBytes)
		n, err := t.body.Read(buf.B[len(buf.B):cap(buf.B)])
		buf.B = buf.B[:len(buf.B)+n]
		if err != nil && err != io.EOF {
			return false, err
		}
	}
	return true, nil
}

// growBy returns b with room for at least n more bytes.
func growBy(b []byte, n int) []byte {
	if cap(b)-len(b) >= n {
		return b
	}
	return append(make([]byte, 0, 2*cap(b)+n), b...)
}

// copyAnswerHeader passes on the end-to-end fields.
func copyAnswerHeader(t *try) {
	from, to := &t.answer.Header, &t.request.c.Response.Header
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

// giveBack returns the connection after a whole answer.
func (f *Forwarder) giveBack(t *try) {
	if t.answer.Header.ConnectionClose() {
		t.endpoint.Pool.Discard(t.conn)
		return
	}
	t.endpoint.Pool.Put(t.conn, f.now())
}

// stream passes on an answer piece by piece. The caller gets the header now,
// so that a failure can only be told by cutting the connection.
func (f *Forwarder) stream(t *try, watch bool) error {
	c := t.request.c
	if f.Draining() {
		c.Response.Header.SetConnectionClose(true)
	}
	begun := append([]byte(nil), c.Response.BodyBuffer().B...)
	c.Response.ResetBody()
	w := newAnswerWriter(c, t.body.Length())
	c.Response.HijackWriter(w)
	w.begin(begun)
	if watch {
		f.watch(t, w)
	} else {
		w.copy(t.body)
	}
	t.result.Answered = w.err == nil
	if w.err != nil || !t.body.Whole() {
		t.endpoint.Pool.Discard(t.conn)
		return nil
	}
	f.giveBack(t)
	return nil
}

// answerWriter writes an answer of any size to a caller. After an error
// Finalize fails, which makes the server close the connection.
type answerWriter struct {
	c       *app.RequestContext
	w       network.Writer
	chunked bool
	err     error
}

func newAnswerWriter(c *app.RequestContext, length int64) *answerWriter {
	c.Response.Header.SetContentLength(int(length))
	return &answerWriter{c: c, w: c.GetWriter(), chunked: length < 0}
}

// begin writes the header and the bytes of the body that are there already.
func (a *answerWriter) begin(body []byte) {
	if a.err = resp.WriteHeader(&a.c.Response.Header, a.w); a.err != nil {
		return
	}
	if len(body) == 0 {
		a.err = a.w.Flush()
		return
	}
	_, a.err = a.Write(body)
}

// copy writes the rest of body.
func (a *answerWriter) copy(body io.Reader) {
	buf := make([]byte, streamBytes)
	for a.err == nil {
		n, err := body.Read(buf)
		if n > 0 {
			_, a.err = a.Write(buf[:n])
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			a.err = errAborted
		}
	}
}

// Write implements network.ExtWriter. The bytes are sent at once.
func (a *answerWriter) Write(p []byte) (int, error) {
	if a.chunked {
		return len(p), ext.WriteChunk(a.w, p, true)
	}
	room, err := a.w.Malloc(len(p))
	if err != nil {
		return 0, err
	}
	copy(room, p)
	return len(p), a.w.Flush()
}

// Flush implements network.ExtWriter.
func (a *answerWriter) Flush() error { return a.w.Flush() }

// Finalize implements network.ExtWriter.
func (a *answerWriter) Finalize() error {
	if a.err != nil {
		return a.err
	}
	if !a.chunked {
		return nil
	}
	if err := ext.WriteChunk(a.w, nil, false); err != nil {
		return err
	}
	if _, err := a.w.WriteBinary(a.c.Response.Header.Trailer().Header()); err != nil {
		return err
	}
	return a.w.Flush()
}
