package scheduler

import (
	"time"

	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// A task that an earlier owner may have started may be started again only once no
// attempt of it can be running. Workers that answer under the new token list what they
// run; for the others, the leases that earlier owners granted have to expire. Three
// rules bound when that is the case:
//
//   - An owner acts only for AuthorityBound after its last read of the log that showed
//     no other owner, and therefore at most that long after the next owner's record was
//     written.
//   - Beyond AuthorityWindow it acts only while two thirds of its workers still answer
//     it. Once two thirds have accepted a later token, some of these would refuse it.
//   - It extends leases only on workers that are enrolled under its claim. A worker
//     that no owner has reached since can run only what the last owner to reach it has
//     started there.
const (
	// AuthorityWindow is the maximum age of an owner's proof of ownership without a
	// quorum of workers. It is longer than two renew calls to a worker and than two
	// reads of a slow store.
	AuthorityWindow = 2500 * time.Millisecond
	// AuthorityBound is the maximum age of the proof while a quorum of workers still
	// answers. It covers the store's outages, which last up to 9 s.
	AuthorityBound = 10 * time.Second
	// maxResidualLease is how long a lease may last after its owner's last order, on a
	// clock that is 2% slow.
	maxResidualLease = leaseLength*100/98 + leaseExpiryMargin
)

// Predecessor is an earlier owner of a shard.
type Predecessor struct {
	Claim uint32
	// QuorumAt is the latest time by which a quorum of the workers had accepted the
	// owner's token, or zero.
	QuorumAt Instant
	// ReplacedAt is the latest time by which the record of a later owner was in the log.
	ReplacedAt Instant
	// Released is set if the owner had recorded that it stopped.
	Released bool
	// EndedAt is when the owner was known to have sent its last order, or zero.
	EndedAt Instant
}

// takeover tracks what earlier owners may have left running.
type takeover struct {
	// predecessors are the known earlier owners, sorted by claim. This owner replaced
	// the last one.
	predecessors []Predecessor
	// claimRecordedAt is when this owner's record was in the log, or zero.
	claimRecordedAt Instant
	// quorumAt is when a quorum of the workers enrolled by earlier owners had accepted
	// this owner's token, or zero.
	quorumAt Instant
	// enrolledWorkers counts the workers that earlier owners had enrolled,
	// reconciledWorkers those of them that have answered.
	enrolledWorkers, reconciledWorkers int
	unheardNotes                       unheardNotes
}

// PredecessorEnded records that the owner with the given claim has sent its last order: its
// process has ended or given up the shard.
func (s *Shard) PredecessorEnded(now Instant, claim uint32) {
	for i := range s.takeover.predecessors {
		if p := &s.takeover.predecessors[i]; p.Claim == claim && p.EndedAt == 0 {
			p.EndedAt = now
			s.dirty.all = true
		}
	}
}

// ClaimRecorded records that this owner's record is in the log.
func (s *Shard) ClaimRecorded(now Instant) { s.takeover.claimRecordedAt = now }

// workerReconciled records that a worker enrolled by an earlier owner has answered
// under this owner's token.
func (t *takeover) workerReconciled(now Instant) {
	t.reconciledWorkers++
	if t.quorumAt == 0 && job.IsQuorum(t.reconciledWorkers, t.enrolledWorkers) {
		t.quorumAt = now
	}
}

// leasesExpired reports whether all leases have expired on a worker that no owner after
// the given claim has reached.
func (t *takeover) leasesExpired(now Instant, claim uint32) bool {
	if claim == 0 {
		return true
	}
	if t.claimRecordedAt == 0 {
		return false
	}
	if t.quorumAt != 0 && now >= max(t.quorumAt, t.claimRecordedAt)+maxLeaseAfterQuorum {
		return true
	}
	last := len(t.predecessors) - 1
	for i, p := range t.predecessors {
		if p.Claim > claim && p.QuorumAt != 0 && now >= p.QuorumAt+maxLeaseAfterQuorum {
			return true
		}
		if p.Claim < claim {
			continue
		}
		end := p.ReplacedAt
		if i == last {
			end = t.claimRecordedAt
		}
		// That a later owner stopped in order says nothing of the one that reached the worker.
		if p.Claim > claim || !p.Released {
			end += AuthorityBound
		}
		if p.Claim == claim && p.EndedAt != 0 {
			end = min(end, p.EndedAt)
		}
		if now >= end+maxResidualLease {
			return true
		}
	}
	return false
}

// maxLeaseAfterQuorum is how long earlier owners' leases may last once a quorum has
// accepted a later token.
const maxLeaseAfterQuorum = AuthorityWindow + maxResidualLease

// attemptsKnown reports whether every attempt that may run on a worker is tracked.
func (s *Shard) attemptsKnown(now Instant, w *workerState) bool {
	return w.reconciled || w.gone || s.takeover.leasesExpired(now, w.previousClaim)
}

// countWithUnknownAttempts counts the workers that may run untracked attempts.
func (s *Shard) countWithUnknownAttempts(now Instant) int {
	n := 0
	for _, w := range s.workers {
		if !s.attemptsKnown(now, w) {
			n++
		}
	}
	return n
}

// safeToStart reports whether a task may start now: no untracked attempt of it can be
// running, and none of its failures can be unread that would exceed its limit. An attempt that
// was seen running was the only one, since its owner knew that the earlier ones had ended.
func (p *placement) safeToStart(t *task) bool {
	if p.now < t.retryAt {
		return false
	}
	if t.crashChange > p.shard.journal.lastRecorded {
		// A later owner would not know of the crash.
		return false
	}
	if !t.step.job.beforeTakeover {
		return true
	}
	if (t.seenRunning || t.lastAttempt >= p.shard.firstAttempt) && !t.failuresMayBeUnread() {
		return true
	}
	if p.allKnown == nil {
		allKnown := p.shard.countWithUnknownAttempts(p.now) == 0
		p.allKnown = &allKnown
	}
	return *p.allKnown
}

// failuresMayBeUnread reports whether a task that has failed may have failed more often: an
// earlier owner may not have recorded the failures that workers still list. A task that
// has not failed so far may run once more in any case, since its last owner started it.
func (t *task) failuresMayBeUnread() bool {
	if t.step.spec.LongRunning || t.step.job.sub.MaxFailures == 0 {
		return false
	}
	if t.step.spec.Gang {
		t = t.step.tasks[0]
	}
	return len(t.failures) > 0
}

// HasQuorum reports whether two thirds of the workers that this or an earlier owner has
// enrolled have answered this owner within AuthorityWindow. Workers that only earlier
// owners have reached count as well: a later owner's quorum is two thirds of all, and
// might have none in common with two thirds of those that answer here. A new run of a
// worker counts only once it is recorded: it has forgotten the token of a later owner,
// who would have recorded the run as well.
func (s *Shard) HasQuorum(now Instant) bool {
	total, answered := 0, 0
	for _, w := range s.workers {
		if !w.enrolled && w.previousClaim == 0 {
			continue
		}
		total++
		if w.enrolled && w.recordedRun == w.run && w.listsRequested != 0 && now-w.listsRequested < AuthorityWindow {
			answered++
		}
	}
	return total > 0 && job.IsQuorum(answered, total)
}

// isolationFactor says which part of the workers an owner must reach, as its inverse.
const isolationFactor = 8

// Isolated reports whether the owner reaches fewer than one in isolationFactor of the workers
// that have an entry in the platform's store. They keep their entries up themselves, so it is
// probably the owner that is cut off. Leases on the others have expired.
func (s *Shard) Isolated(now Instant) bool {
	registered, answered := 0, 0
	for _, w := range s.workers {
		if !w.registered || w.gone {
			continue
		}
		registered++
		if w.listsReceived != 0 && now-w.listsReceived < maxResidualLease {
			answered++
		}
	}
	return isolationFactor*answered < registered
}
