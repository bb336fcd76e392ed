package day

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/process/run"
)

// unread is an output that nobody reads until it is released.
type unread struct {
	released chan struct{}
}

// Write implements io.Writer.
func (u unread) Write(p []byte) (int, error) {
	<-u.released
	return len(p), nil
}

// TestNobodyReadsTheLogs plays the same 30 s with an output that nobody reads and with
// none: callers are answered alike, and the lines that found no place are counted.
func TestNobodyReadsTheLogs(t *testing.T) {
	plan := Plan{Hosts: 3, Workers: 8, Seconds: 30, QuietSeconds: 20, JobsPerSecond: 10, Seed: 9}
	quiet := play(t, plan)
	synctest.Test(t, func(t *testing.T) {
		out := unread{released: make(chan struct{})}
		logger, lines := run.NewBoundedLogger(out, "info")
		r, err := Run(plan, logger)
		must.NoError(t, err)
		must.SliceEmpty(t, r.Violations)
		must.Eq(t, quiet.Accepted, r.Accepted)
		must.Eq(t, quiet.Done, r.Done)
		must.LessEq(t, quiet.Most+quiet.Most/10, r.Most)
		must.Positive(t, lines.Dropped())
		close(out.released)
		lines.Close()
		time.Sleep(time.Minute)
	})
}
