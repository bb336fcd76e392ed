package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestPlansLeaveProcessorTime guards against plans that follow one another without a
// pause on a slow host: the more a plan takes, the longer the next one waits, up to a
// bound that keeps starts prompt.
func TestPlansLeaveProcessorTime(t *testing.T) {
	for _, c := range []struct{ took, pause time.Duration }{
		{0, 3 * time.Millisecond},
		{500 * time.Microsecond, 2500 * time.Microsecond},
		{2 * time.Millisecond, 6 * time.Millisecond},
		{100 * time.Millisecond, 60 * time.Millisecond},
	} {
		must.Eq(t, c.pause, planPause(c.took), must.Sprint(c.took))
	}
}
