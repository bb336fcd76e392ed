package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// A task that an earlier owner may have started may be started again only once no
// attempt of it can be running. Workers that answer under the new token list what they
// run; for the others, the leases that earlier owners granted have to expire. Four
// rules bound when that is the case:
//
//   - An owner acts only for AuthorityBound after its last read of the log that showed
//     no other owner, and therefore at most that long after the next owner's record was
//     written.
//   - Beyond AuthorityWindow it acts only while two thirds of its workers still answer
//     it. Once more than a third has accepted a later token, some of these would refuse it.
//   - Its leases end at most maxLeaseAfterProof after the later of that read and the time
//     through which two thirds have answered it. Where a worker has restarted, its order may have
//     reached the next run, for which a lease end on the clock of the run before is far ahead:
//     the enrollment tells for how long leases may last there that are not its own, and an entry
//     of a run that no owner has recorded tells of the others.
//   - It extends leases only on workers that are enrolled under its claim, and not while
//     their record is closed. A worker that no owner has reached since can run only what the
//     last owner to reach it has started there.
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
	// maxLeaseAfterProof is how long a lease may last after its owner's proof of ownership.
	// It exceeds leaseLength by the usual age of the proof, an owner's last read of the log.
	maxLeaseAfterProof = leaseLength + 300*time.Millisecond
	// maxLeaseAfterSuccession is how long leases of an owner that bounds them may last after
	// no proof of its ownership can be renewed, on a clock that is 2% slow.
	maxLeaseAfterSuccession = maxLeaseAfterProof*100/98 + leaseExpiryMargin
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
	// SuccessionAt is the latest time by which the owner had no quorum left, or zero: too many of
	// the workers had accepted a later token, or were closed.
	SuccessionAt Instant
	// BoundsLeases is set if the owner's leases end at most maxLeaseAfterProof after its last
	// proof of ownership.
	BoundsLeases bool
}

// Predecessors returns the owners with the given terms, which are sorted by claim.
func Predecessors(terms []job.OwnershipTerm) []Predecessor {
	list := make([]Predecessor, 0, len(terms))
	for _, o := range terms {
		list = append(list, Predecessor{
			Claim: o.Claim, Released: o.Released, BoundsLeases: o.BoundsLeases,
			QuorumAt: o.QuorumAt, ReplacedAt: o.ReplacedAt, EndedAt: o.EndedAt, SuccessionAt: o.SuccessionAt,
		})
	}
	return list
}

// PastTerms returns what this owner's record tells of earlier owners if it is encoded at the
// time now. It may be written any time later.
func (s *Shard) PastTerms(now Instant) []job.PastTerm {
	t := &s.takeover
	recent := t.predecessors[max(0, len(t.predecessors)-job.MaxPastTerms):]
	terms := make([]job.PastTerm, len(recent))
	age := func(at Instant) time.Duration {
		if at == 0 {
			return 0
		}
		// What has just happened is known, though its age is not.
		return max(1, certainAge(now, at))
	}
	var replaced time.Duration
	for i, p := range slices.Backward(recent) {
		if i == len(recent)-1 {
			p.ReplacedAt = t.claimRecordedAt
		}
		replaced = max(replaced, age(p.ReplacedAt))
		terms[i] = job.PastTerm{
			Claim: p.Claim, Released: p.Released, BoundsLeases: p.BoundsLeases, ReplacedAge: replaced,
			QuorumAge: age(p.QuorumAt), EndedAge: age(p.EndedAt), SuccessionAge: age(p.SuccessionAt),
		}
	}
	return terms
}

// certainAge returns how long ago the time at is on any host's clock, at least. Clocks may
// differ by 2%.
func certainAge(now, at Instant) time.Duration {
	return min(max(0, now-at), job.MaxTermAge) * 98 / 100
}

// pastTermsPeriod is the time between two ownership records that tell later owners how long ago
// earlier ones were replaced. It bounds what a host does not learn that reads the last one late.
const pastTermsPeriod = 2 * time.Second

// takePastTerms returns the terms of earlier owners if they have to be recorded again, else
// nil. They matter for as long as tasks may be running on workers that this owner has not heard,
// and once more afterwards, so that no later owner waits for these again.
func (s *Shard) takePastTerms(now Instant) []job.PastTerm {
	t := &s.takeover
	due := max(t.claimRecordedAt, t.termsTakenAt) + pastTermsPeriod
	untold := t.successionAt() != 0 && !t.successionTold
	if len(t.predecessors) == 0 || t.claimRecordedAt == 0 || t.termsFinal || now < due && !untold {
		return nil
	}
	t.successionTold = t.successionAt() != 0
	t.termsFinal = t.unheardNotes.ended
	if t.termsFinal && t.termsTakenAt == 0 {
		return nil
	}
	t.termsTakenAt = now
	return s.PastTerms(now)
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
	// termsTakenAt is when the terms of earlier owners were last taken to be recorded again.
	// termsFinal is set once they need not be any more.
	termsTakenAt Instant
	termsFinal   bool
	// successionTold is set once successionAt was taken to be recorded.
	successionTold bool
}

// successionAt returns the latest time by which the owner before had no quorum left, or zero.
func (t *takeover) successionAt() Instant {
	if len(t.predecessors) == 0 {
		return 0
	}
	return t.predecessors[len(t.predecessors)-1].SuccessionAt
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

// updateSuccessions notes which earlier owners can have no quorum any more. It consists of open
// workers that the log lists as last reached by that owner and that have not answered this one;
// that owner counts at least all workers that the log lists as last reached by it or before.
func (s *Shard) updateSuccessions(now Instant) {
	t := &s.takeover
	if t.claimRecordedAt == 0 || t.unheardNotes.ended {
		return
	}
	open, listed := map[uint32]int{}, map[uint32]int{}
	for _, w := range s.workers {
		listed[w.previousClaim]++
		if !w.reconciled && w.onlyMayRun == nil {
			open[w.previousClaim]++
		}
	}
	delete(listed, 0)
	for i := range t.predecessors {
		p := &t.predecessors[i]
		all := 0
		for claim, n := range listed {
			if claim <= p.Claim {
				all += n
			}
		}
		if p.SuccessionAt == 0 && !job.IsQuorum(open[p.Claim], all) {
			p.SuccessionAt = now
		}
	}
}

// leasesExpired reports whether all leases have expired on a worker that no owner after
// the given claim has reached, if a lease may last for stray after its order was sent.
func (t *takeover) leasesExpired(now Instant, claim uint32, stray time.Duration) bool {
	if claim == 0 {
		return true
	}
	if t.claimRecordedAt == 0 {
		return false
	}
	residual := max(maxResidualLease, stray)
	// A quorum under a later owner may be one of workers that it has enrolled first.
	bounded := t.boundsLeases(claim)
	if !bounded && t.quorumAt != 0 && now >= max(t.quorumAt, t.claimRecordedAt)+AuthorityWindow+residual {
		return true
	}
	last := len(t.predecessors) - 1
	for i, p := range t.predecessors {
		if !bounded && p.Claim > claim && p.QuorumAt != 0 && now >= p.QuorumAt+AuthorityWindow+residual {
			return true
		}
		if p.Claim < claim {
			continue
		}
		if p.Claim == claim && bounded && p.SuccessionAt != 0 && now >= p.SuccessionAt+maxLeaseAfterSuccession+stray {
			return true
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
		if now >= end+residual {
			return true
		}
	}
	return false
}

// boundsLeases reports whether the owner with the given claim is known to bound its leases.
func (t *takeover) boundsLeases(claim uint32) bool {
	i := slices.IndexFunc(t.predecessors, func(p Predecessor) bool { return p.Claim == claim })
	return i >= 0 && t.predecessors[i].BoundsLeases
}

// confirmedTime returns the time up to which no later owner can have extended leases, as the log
// shows. What was to expire later may have been extended.
func (s *Shard) confirmedTime(now Instant) Instant { return min(now, s.proof.confirmedAt) }

// attemptsKnown reports whether every attempt that may run on a worker is tracked, and the end
// of every other one was listed if its lease has not expired.
func (s *Shard) attemptsKnown(now Instant, w *workerState) bool {
	switch {
	case w.gone:
		return true
	case w.reconciled:
		// This owner may have extended the leases of earlier ones.
		return w.ended.through >= w.earlierEndsAt
	}
	confirmed := s.confirmedTime(now)
	if confirmed < s.strayUntil(w) {
		return false
	}
	stray := time.Duration(0)
	if w.enteredAnotherRun() {
		// Any order of earlier owners may have reached that run.
		stray = s.maxStrayLease()
	}
	return s.takeover.leasesExpired(confirmed, w.previousClaim, stray) || w.closedBefore(confirmed-max(maxResidualLease, stray))
}

// closedBefore reports whether the last owner to reach the worker had recorded by the given time
// that it extends no lease there. This owner has read all that earlier ones could record.
func (w *workerState) closedBefore(at Instant) bool { return w.closedAt != 0 && w.closedAt <= at }

// countMayRun counts the workers that may run an untracked attempt of a task.
func (s *Shard) countMayRun(now Instant, ref job.TaskRef) int {
	n := 0
	for _, w := range s.workers {
		if !s.attemptsKnown(now, w) && (w.onlyMayRun == nil || w.onlyMayRun[ref]) {
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
	if t.crashChange > p.shard.journal.lastRecorded || t.crashChange > 0 && t.step.job.refused {
		// A later owner would not know of the crash.
		return false
	}
	if !t.step.job.beforeTakeover {
		return true
	}
	if (t.seenRunning || t.lastAttempt >= p.shard.firstAttempt) && !t.failuresMayBeUnread() {
		return true
	}
	if p.untracked == nil {
		p.untracked = p.shard.findUntracked(p.now)
	}
	return !p.untracked.mayInclude(t.ref())
}

// untrackedTasks are the tasks of which untracked attempts may be running.
type untrackedTasks struct {
	// any is set if it may be any task.
	any  bool
	refs job.TaskSet
}

// mayInclude reports whether an untracked attempt of a task may be running.
func (u *untrackedTasks) mayInclude(ref job.TaskRef) bool { return u.any || u.refs[ref] }

// findUntracked returns the tasks of which untracked attempts may be running.
func (s *Shard) findUntracked(now Instant) *untrackedTasks {
	u := &untrackedTasks{refs: job.TaskSet{}}
	for _, w := range s.workers {
		switch {
		case s.attemptsKnown(now, w):
		case w.onlyMayRun == nil:
			u.any = true
		default:
			maps.Copy(u.refs, w.onlyMayRun)
		}
	}
	return u
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

// OwnershipConfirmed records that a read of the log sent at the given time reached its end
// and showed no later owner.
func (s *Shard) OwnershipConfirmed(at Instant) { s.proof.confirmedAt = max(s.proof.confirmedAt, at) }

// ownershipProof tracks up to when no later owner can have ended this one's leases.
type ownershipProof struct {
	// confirmedAt is when the latest read of the log was sent that showed no later owner.
	confirmedAt Instant
	// quorumThrough caches what quorumThrough returned at quorumCheckedAt.
	quorumThrough, quorumCheckedAt Instant
}

const (
	// staleConfirmation is the age of the last read of the log from which on leases depend on
	// the answers of a quorum of the workers.
	staleConfirmation = time.Second
	// quorumCheckInterval is how long the time through which a quorum has answered is cached.
	quorumCheckInterval = 50 * time.Millisecond
)

// provenAt returns a time up to which no later owner that would end this one's leases can
// have been in force.
func (s *Shard) provenAt(now Instant) Instant {
	if !s.confirmationStale(now) {
		return s.proof.confirmedAt
	}
	return max(s.proof.confirmedAt, s.recentQuorum(now))
}

// confirmationStale reports whether the last read of the log is so old that leases depend on
// a quorum.
func (s *Shard) confirmationStale(now Instant) bool {
	return now > s.proof.confirmedAt+staleConfirmation
}

// recentQuorum returns what quorumThrough returned not long ago. That does not become untrue.
func (s *Shard) recentQuorum(now Instant) Instant {
	if now >= s.proof.quorumCheckedAt+quorumCheckInterval {
		s.proof.quorumThrough, s.proof.quorumCheckedAt = s.quorumThrough(), now
	}
	return s.proof.quorumThrough
}

// grantableLease returns how long a lease requested now may last, which may be negative.
func (s *Shard) grantableLease(now Instant) time.Duration {
	return min(s.leaseLength(), s.provenAt(now)+maxLeaseAfterProof-now)
}

// HasQuorum reports whether two thirds of the workers that this or an earlier owner has
// enrolled have answered this owner within AuthorityWindow. Workers that only earlier
// owners have reached count as well: a later owner's quorum is two thirds of all, and
// might have none in common with two thirds of those that answer here.
func (s *Shard) HasQuorum(now Instant) bool {
	through := s.recentQuorum(now)
	return through != 0 && now-through < AuthorityWindow
}

// quorumThrough returns when the oldest of the latest answered renew orders of a quorum of
// the workers was sent, or zero. All workers count that the log may list as enrolled. A new
// run of a worker answers for it only once it is recorded: it has forgotten the token of a
// later owner, who would have recorded the run as well.
func (s *Shard) quorumThrough() Instant {
	total := len(s.journal.listed)
	var answered []Instant
	for _, w := range s.workers {
		if w.enrolled && !w.closed && w.recordedRun == w.run && w.listsRequested != 0 {
			answered = append(answered, w.listsRequested)
		}
	}
	if total == 0 || !job.IsQuorum(len(answered), total) {
		return 0
	}
	slices.Sort(answered)
	oldest := len(answered) - 1
	for !job.IsQuorum(len(answered)-oldest, total) {
		oldest--
	}
	return answered[oldest]
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
