package node

import (
	"time"

	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// refusals are the jobs that this host has refused as the owner within the time for which calls
// hold: one that was sent before must not be admitted after. Their number is bounded by the rate of
// requests. The methods are not safe for concurrent use.
type refusals struct {
	// recent holds those since the time since, earlier those of the ownerTimeout before.
	recent, earlier map[job.ID]refusal
	since           time.Duration
}

// refusal is an answer that was given at the time at.
type refusal struct {
	at     time.Duration
	answer scheduler.Admission
}

// add records that a job was refused now.
func (r *refusals) add(now time.Duration, id job.ID, answer scheduler.Admission) {
	if r.recent == nil || now-r.since > ownerTimeout {
		r.recent, r.earlier, r.since = map[job.ID]refusal{}, r.recent, now
	}
	r.recent[id] = refusal{at: now, answer: answer}
}

// after returns the answer if a job was refused after a call was sent.
func (r *refusals) after(sent time.Duration, id job.ID) (scheduler.Admission, bool) {
	latest, refused := r.recent[id]
	if !refused {
		latest, refused = r.earlier[id]
	}
	return latest.answer, refused && sent < latest.at
}
