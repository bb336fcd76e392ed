package logring

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
)

// blockedWriter is an output that blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

func (w *blockedWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.String()
}

// TestBlockedOutput: a blocked output does not block logging, and dropped lines are
// counted and reported.
func TestBlockedOutput(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := New(out)
	line := []byte(strings.Repeat("x", 99) + "\n")
	started := time.Now()
	for range 3 * bufferBytes / len(line) {
		_, err := w.Write(line)
		must.NoError(t, err)
	}
	must.Less(t, time.Second, time.Since(started))
	dropped := w.Dropped()
	must.Positive(t, dropped)
	close(out.release)
	w.Close()
	must.StrContains(t, out.text(), `"event":1008`)
}

func TestLinesAreLimitedByEvent(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewRateLimitFormatter(&logrus.JSONFormatter{}, func() time.Time { return now })
	logger := logrus.New()
	format := func(event int) string {
		line, err := l.Format(logger.WithField("event", event))
		must.NoError(t, err)
		return string(line)
	}
	for range linesPerSecond {
		must.NotEq(t, "", format(1))
	}
	must.Eq(t, "", format(1))
	must.Eq(t, "", format(1))
	must.NotEq(t, "", format(2))
	now = now.Add(time.Second)
	must.StrContains(t, format(1), `"left_out":2`)
	must.False(t, strings.Contains(format(1), "left_out"))
}
