package scheduler

import "time"

// unheardNoteInterval is the time between two notes on workers that have not answered the
// owner, and until the first one after a takeover.
const unheardNoteInterval = time.Second

// UnheardNote says that tasks of earlier owners may be running on workers that have not
// answered this owner, or that this is no longer so.
type UnheardNote struct {
	// After is the time since the takeover.
	After time.Duration
	// Enrolled counts the workers that earlier owners had enrolled, Answered those of them
	// that have answered. Quorum is set if these bound the leases of the owner before.
	Enrolled, Answered int
	Quorum             bool
	// Unheard counts the workers that may run attempts that are not tracked, or may have ends of
	// such attempts behind those that they list, Named those of them whose tasks the log names,
	// WithoutEntry those without an entry in the platform's store, and Restarted those whose entry
	// names another run than the log.
	Unheard, Named, WithoutEntry, Restarted int
	// OldestClaim is the lowest claim of the owners that were the last to reach one of them.
	OldestClaim uint32
}

// noteUnheard adds a note while tasks may be running on unheard workers, and one afterwards.
func (s *Shard) noteUnheard(now Instant) {
	t := &s.takeover
	if t.unheardNotes.ended || now < max(s.takenOverAt, t.unheardNotes.latest)+unheardNoteInterval {
		return
	}
	n := UnheardNote{After: now - s.takenOverAt, Enrolled: t.enrolledWorkers, Answered: t.reconciledWorkers, Quorum: t.quorumAt != 0 || t.successionAt() != 0}
	for _, w := range s.workers {
		if s.attemptsKnown(now, w) {
			continue
		}
		n.Unheard++
		if w.onlyMayRun != nil {
			n.Named++
		}
		if !w.registered {
			n.WithoutEntry++
		}
		if w.enteredAnotherRun() {
			n.Restarted++
		}
		if n.OldestClaim == 0 || w.previousClaim < n.OldestClaim {
			n.OldestClaim = w.previousClaim
		}
	}
	t.unheardNotes.ended = n.Unheard == 0
	if n.Unheard > 0 || t.unheardNotes.latest != 0 {
		t.unheardNotes.latest = now
		s.notes.Unheard = append(s.notes.Unheard, n)
	}
}

// unheardNotes tracks the notes on unheard workers.
type unheardNotes struct {
	// latest is when the latest note was added, or zero.
	latest Instant
	// ended is set once no worker is unheard. That ends for good: a worker that is lost later
	// runs tracked attempts only.
	ended bool
}
