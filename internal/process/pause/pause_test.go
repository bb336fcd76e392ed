package pause_test

import (
	"sync"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/process/pause"
)

// TestZeroPausesCrashRaceDetector: timers of no length that ended at the same time on several
// threads of a synctest bubble crashed the race detector with SIGSEGV.
func TestZeroPausesCrashRaceDetector(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var wg sync.WaitGroup
		for range 16 {
			wg.Go(func() {
				for range 5000 {
					must.NoError(t, pause.For(t.Context(), 0))
				}
			})
		}
		wg.Wait()
	})
}
