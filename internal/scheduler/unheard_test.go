package scheduler_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/scheduler"
)

// TestUnheardWorkersAreNoted: the logs did not tell how many of the enrolled workers a new owner
// had heard, nor which owner had reached the others, so causes of a wait could not be told apart.
func TestUnheardWorkersAreNoted(t *testing.T) {
	h, _ := newTakeoverHarness(t, "w00", longRunningStep())
	h.takeOver(false)
	h.unregistered["w00"] = true
	h.run(500 * time.Millisecond)
	h.syncWorkers()
	var notes []scheduler.UnheardNote
	for range 20 {
		h.run(time.Second)
		notes = append(notes, h.shard.TakeNotes().Unheard...)
	}
	must.SliceNotEmpty(t, notes)
	must.Eq(t, scheduler.UnheardNote{After: notes[0].After, Enrolled: 6, Answered: 5, Quorum: true, Unheard: 1, WithoutEntry: 1, OldestClaim: 1}, notes[0])
	last := notes[len(notes)-1]
	must.Zero(t, last.Unheard)
	must.Less(t, 10*time.Second, last.After, must.Sprint("the last note tells when the wait was over"))
}
