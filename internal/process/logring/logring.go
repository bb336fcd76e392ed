// Package logring writes log lines without blocking the caller. Lines are collected in a
// bounded buffer that a goroutine flushes; lines that do not fit are counted and
// reported. The rate of lines is also limited per event.
package logring

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// bufferBytes limits the buffered lines. It holds some seconds of a busy host.
	bufferBytes = 512 << 10
	// flushInterval is the time between two writes of buffered lines.
	flushInterval = 100 * time.Millisecond
)

// Writer is an io.Writer of whole lines that never blocks. It is safe for concurrent use.
type Writer struct {
	out  io.Writer
	stop chan struct{}
	done chan struct{}

	mu     sync.Mutex
	buffer bytes.Buffer
	// unreported counts the dropped lines that no line has reported yet, droppedTotal all
	// dropped lines.
	unreported   int
	droppedTotal int
}

// New returns a Writer to out. It has to be closed to release its goroutine.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers one line, or counts it as dropped if the buffer is full. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.buffer.Len()+len(line) > bufferBytes {
		w.unreported++
		w.droppedTotal++
		return len(line), nil
	}
	return w.buffer.Write(line)
}

// Dropped returns how many lines were dropped so far.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.droppedTotal
}

// closeTimeout bounds the wait for a blocked output.
const closeTimeout = 500 * time.Millisecond

// Close writes the buffered lines. It gives up after closeTimeout.
func (w *Writer) Close() {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			w.flush()
			return
		case <-ticker.C:
			w.flush()
		}
	}
}

// flush writes the buffered lines. If the write fails they are lost, since there is no
// other output to report that to.
func (w *Writer) flush() {
	w.mu.Lock()
	if w.unreported > 0 {
		fmt.Fprintf(&w.buffer, `{"event":%d,"level":"warning","lines":%d,"msg":"log lines dropped"}`+"\n", DroppedEvent, w.unreported)
		w.unreported = 0
	}
	lines := bytes.Clone(w.buffer.Bytes())
	w.buffer.Reset()
	w.mu.Unlock()
	if len(lines) > 0 {
		_, _ = w.out.Write(lines)
	}
}

// DroppedEvent is the event number of the line that reports dropped lines.
const DroppedEvent = 1008
