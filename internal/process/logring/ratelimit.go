package logring

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// linesPerSecond limits the lines of one event. A shard that starts 200 tasks a second
// stays below it.
const linesPerSecond = 300

// RateLimitFormatter is a formatter that limits the lines per second of each event. It
// adds the number of suppressed lines to the event's next line. It is safe for concurrent
// use.
type RateLimitFormatter struct {
	inner logrus.Formatter
	clock func() time.Time

	mu     sync.Mutex
	events map[any]*eventRate
}

// eventRate counts the lines of one event in the current second.
type eventRate struct {
	second     int64
	lines      int
	suppressed int
}

// NewRateLimitFormatter returns a formatter that limits the lines of inner.
func NewRateLimitFormatter(inner logrus.Formatter, clock func() time.Time) *RateLimitFormatter {
	return &RateLimitFormatter{inner: inner, clock: clock, events: map[any]*eventRate{}}
}

// Format implements logrus.Formatter. It returns no bytes for a suppressed line.
func (f *RateLimitFormatter) Format(e *logrus.Entry) ([]byte, error) {
	suppressed, ok := f.admit(e.Data["event"])
	if !ok {
		return nil, nil
	}
	if suppressed > 0 {
		e.Data["left_out"] = suppressed
	}
	return f.inner.Format(e)
}

// admit counts a line of an event and reports whether it may be written. If so it returns
// the number of lines that were suppressed since the previous one.
func (f *RateLimitFormatter) admit(event any) (suppressed int, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rate := f.events[event]
	if rate == nil {
		rate = &eventRate{}
		f.events[event] = rate
	}
	if second := f.clock().Unix(); second != rate.second {
		rate.second, rate.lines = second, 0
	}
	if rate.lines >= linesPerSecond {
		rate.suppressed++
		return 0, false
	}
	rate.lines++
	suppressed, rate.suppressed = rate.suppressed, 0
	return suppressed, true
}
