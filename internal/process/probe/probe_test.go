package probe

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(5000, 0)

func TestSuspectWorkerIsProbedWithOneTask(t *testing.T) {
	p := NewProber()
	must.False(t, p.Excluded("good", false, start))
	must.True(t, p.Excluded("bad", true, start))
	must.True(t, p.Excluded("bad", true, start.Add(MinBackoff-1)))
	due := start.Add(MinBackoff)
	must.False(t, p.Excluded("bad", true, due))
	p.Assigned("bad", "probe/0")
	p.Assigned("bad", "other/0")
	must.True(t, p.Excluded("bad", true, due), must.Sprint("one probe at a time"))
	p.Ended("bad", "other/0", true, due)
	must.True(t, p.Excluded("bad", true, due))
	p.Ended("bad", "probe/0", true, due)
	must.True(t, p.Excluded("bad", true, due.Add(2*MinBackoff-1)), must.Sprint("the backoff doubles"))
	must.False(t, p.Excluded("bad", true, due.Add(2*MinBackoff)))
}

func TestLostProbeIsRetried(t *testing.T) {
	p := NewProber()
	p.Excluded("bad", true, start)
	p.Assigned("bad", "probe/0")
	p.Ended("bad", "probe/0", false, start.Add(MinBackoff))
	must.False(t, p.Excluded("bad", true, start.Add(MinBackoff)))
}

func TestBackoffIsBoundedAndReset(t *testing.T) {
	p := NewProber()
	now := start
	p.Excluded("bad", true, now)
	for range 20 {
		p.Assigned("bad", "probe/0")
		p.Ended("bad", "probe/0", true, now)
	}
	must.False(t, p.Excluded("bad", true, now.Add(MaxBackoff)))
	must.False(t, p.Excluded("bad", false, now))
	must.MapEmpty(t, p.workers)
}
