package forward

import (
	"bytes"
	"io"
	"time"

	"github.com/siskinvane/siskinvane/internal/request/header"
)

// maxLineBytes bounds the size of one message of a watch.
const maxLineBytes = 1 << 20

// watch relays an unbounded response line by line; it relays an incomplete line only
// at the end of the endpoint's response. A watch does not count against the
// concurrency limits. When the forwarder drains, the response ends after the last
// complete line with a trailer that gives the reason.
func (f *Forwarder) watch(t *try, w *responseWriter) {
	f.endTry(t)
	t.request.leaveGates()
	if w.err = t.conn.SetReadDeadline(time.Time{}); w.err != nil {
		return
	}
	stop := f.interruptAtDrain(t)
	defer stop()
	lines := &lineBuffer{}
	for w.err == nil {
		err := lines.fill(t.body)
		if whole := lines.takeLines(); len(whole) > 0 {
			_, w.err = w.Write(whole)
		}
		switch {
		case f.Draining():
			w.c.Response.Header.Trailer().Set(header.WatchEnd, "stop") //nolint:errcheck // the field name is allowed in trailers
			return
		case err == io.EOF:
			if len(lines.rest) > 0 {
				_, w.err = w.Write(lines.rest)
			}
			return
		case err != nil:
			w.err = errResponseCut
		}
	}
}

// interruptAtDrain interrupts a blocked read when the forwarder drains. The caller
// calls the returned function when the watch ends.
func (f *Forwarder) interruptAtDrain(t *try) func() {
	done := make(chan struct{})
	go func() {
		select {
		case <-f.drainStarted:
			t.conn.SetReadDeadline(time.Now()) //nolint:errcheck // a closed connection also ends the read
		case <-done:
		}
	}()
	return func() { close(done) }
}

// lineBuffer buffers the beginning of a line until its end has arrived.
type lineBuffer struct {
	buf []byte
	// rest is the incomplete line at the end of buf.
	rest []byte
}

// fill reads more bytes from r. It fails if a line exceeds maxLineBytes.
func (l *lineBuffer) fill(r io.Reader) error {
	if len(l.rest) >= maxLineBytes {
		return errResponseCut
	}
	l.buf = growBy(append(l.buf[:0], l.rest...), minReadBytes)
	n, err := r.Read(l.buf[len(l.buf):cap(l.buf)])
	l.buf = l.buf[:len(l.buf)+n]
	l.rest = l.buf
	return err
}

// takeLines returns the complete lines; the result is valid until the next fill.
func (l *lineBuffer) takeLines() []byte {
	end := bytes.LastIndexByte(l.buf, '\n') + 1
	whole := l.buf[:end]
	l.rest = l.buf[end:]
	return whole
}
