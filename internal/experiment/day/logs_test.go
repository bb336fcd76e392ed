package day

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/process/run"
)

// blockedWriter is a writer that blocks until it is released.
type blockedWriter struct {
	released chan struct{}
}

// Write implements io.Writer.
func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.released
	return len(p), nil
}

// TestBlockedLogOutput guards against a scheduler that is delayed by a blocked log
// output: the same 30 s run with a discarded and with a blocked output give callers
// the same answers in about the same time, and the dropped lines are counted.
func TestBlockedLogOutput(t *testing.T) {
	plan := Plan{Hosts: 3, Workers: 8, Seconds: 30, QuietSeconds: 20, JobsPerSecond: 10, Seed: 9}
	baseline := runDay(t, plan)
	synctest.Test(t, func(t *testing.T) {
		output := blockedWriter{released: make(chan struct{})}
		logger, lines := run.NewRateLimitedLogger(output, "info")
		r, err := Run(plan, logger)
		must.NoError(t, err)
		must.SliceEmpty(t, r.Violations)
		must.Eq(t, baseline.Accepted, r.Accepted)
		must.Eq(t, baseline.Done, r.Done)
		must.LessEq(t, baseline.Most+baseline.Most/10, r.Most)
		must.Positive(t, lines.Dropped())
		close(output.released)
		lines.Close()
		time.Sleep(time.Minute)
	})
}
