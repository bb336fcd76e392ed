package node

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/process/dispatch"
	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

const (
	// ownerTimeout bounds a call that lets the owner write. It covers two appends, the
	// one in progress and the next, to a store that takes 0.5 s for each, and the round
	// trip to the owner. It leaves a caller with a timeout of 3 s time for a direct
	// append.
	ownerTimeout = 1600 * time.Millisecond
	// ownerReadTimeout bounds the read for a new owner after a call without an answer.
	ownerReadTimeout = 400 * time.Millisecond
	// notifyTimeout bounds the calls that tell the owner of a direct append.
	notifyTimeout = 2 * time.Second
	// appendRetryDelay is the delay before the next direct append after one that failed.
	appendRetryDelay = 100 * time.Millisecond
)

// RefusedError reports that a job was not admitted and will never run.
type RefusedError struct {
	scheduler.Admission
}

// Error implements error.
func (e *RefusedError) Error() string { return e.Reason }

// OutcomeUnknown reports whether a job may have been accepted although Submit returned
// err. After any other error it was certainly not accepted.
func OutcomeUnknown(err error) bool {
	var refused *RefusedError
	certain := err == nil || errors.As(err, &refused) || errors.Is(err, store.ErrUnavailable)
	return errors.Is(err, platform.ErrOutcomeUnknown) || !certain
}

// Proposal asks the shard's owner to write a record. Submission is set if the owner has
// to decide on admission first.
type Proposal struct {
	ID         job.ID
	Submission *job.Submission
	Record     store.Record
	Term       Term
}

// Verdict is the owner's answer to a Proposal.
type Verdict struct {
	// Written is set if the record is in the log, whether written now or before.
	Written bool
	// Refused is set if the owner does not admit the job.
	Refused *scheduler.Admission
	// Unknown is set if the record may be in the log. If neither it nor another of the fields
	// above is set it is certainly not.
	Unknown bool
	// Unserved is for how long the store has not served the owner's calls to the log, if the
	// proposal failed for that.
	Unserved time.Duration
	// Now is the time on the owner's clock, or 0 from an owner of an older version.
	Now time.Duration
}

// write puts a record into the log: through the shard's owner, whose appends hold many
// records, or else by a direct append. Duplicates are harmless, since only the first
// record of a job counts. An error that matches store.ErrUnavailable, or is a
// *RefusedError, means that the record is not in the log; after any other error it may
// be.
func (n *Node) write(ctx context.Context, p Proposal) error {
	repeated := n.open.mayBeStored(n.Clock(), p.ID)
	owner := n.latestOwner()
	v, err := n.propose(ctx, owner, p)
	unknown := errors.Is(err, platform.ErrOutcomeUnknown)
	// A call without a term may still be carried out, if its owner regains the shard.
	unbounded := unknown && n.termlessOwner.Load() == uint64(owner.Epoch)
	if err != nil && n.ownerReplaced(ctx, owner.Epoch) {
		// The log takes nothing more from the earlier owner, and the new one has read what it
		// wrote.
		v, err = n.propose(ctx, n.latestOwner(), p)
	}
	switch {
	case err == nil && v.Written:
		n.applyRecords([]store.Record{p.Record})
		return nil
	case err == nil && v.Refused != nil && !repeated && !unbounded:
		return &RefusedError{*v.Refused}
	}
	if err != nil {
		n.reportOwnerUnreachable("record", err, logrus.Fields{"job": p.ID})
	}
	unknown = unknown || v.Unknown || errors.Is(err, platform.ErrOutcomeUnknown)
	if unknown {
		n.open.note(n.Clock(), p.ID)
	}
	n.open.begin(p.ID)
	err = n.appendDirect(ctx, p, unknown || repeated, v.Unserved)
	n.open.end(n.Clock(), p.ID, OutcomeUnknown(err))
	return err
}

// ownerReplaced reports whether the shard has another owner than that of the given epoch. It
// reads the log, since hosts may learn of a new owner late, or asks other hosts if it gets no
// answer.
func (n *Node) ownerReplaced(ctx context.Context, epoch platform.Epoch) bool {
	n.forgetTold(epoch)
	read := !n.storeAway()
	if read {
		limited, cancel := context.WithTimeout(ctx, ownerReadTimeout)
		defer cancel()
		read = n.Refresh(limited) == nil
	}
	latest := n.latestOwner().Epoch
	if owned := n.ownedEpochNow(); owned != 0 && owned >= latest || latest > epoch {
		return true
	}
	return !read && n.askSuccessor(ctx, epoch)
}

// propose lets the owner write. After an error that matches platform.ErrOutcomeUnknown
// the record may be in the log.
func (n *Node) propose(ctx context.Context, owner job.Ownership, p Proposal) (Verdict, error) {
	// An owner that cannot read the log may have been told of the next one.
	if epoch := n.ownedEpochNow(); epoch != 0 && epoch >= owner.Epoch {
		now := n.Clock()
		p.Term = Term{Epoch: epoch, Sent: now, Expiry: now + ownerTimeout}
		return n.decideProposal(ctx, p)
	}
	addr, err := netip.ParseAddrPort(owner.Addr)
	if err != nil {
		return Verdict{}, errNotOwner
	}
	replies := make(chan ownerReply, 1)
	go func() {
		var v Verdict
		// The timeout does not depend on the caller's deadline: a call that times out
		// on a silent connection closes it, and other calls share it.
		if err := n.callPropose(owner, addr, p, &v); err != nil {
			// v is left out, since a late answer may still be written to it.
			replies <- ownerReply{err: err}
			return
		}
		replies <- ownerReply{verdict: v}
	}()
	select {
	case r := <-replies:
		return r.verdict, r.err
	case <-ctx.Done():
		return Verdict{}, fmt.Errorf("%w: the owner has not answered: %w", platform.ErrOutcomeUnknown, ctx.Err())
	}
}

// callPropose makes the call of propose to the owner at addr. A submission travels in the record
// alone, unless the owner is of a version that needs it decoded as well.
func (n *Node) callPropose(owner job.Ownership, addr netip.AddrPort, p Proposal, v *Verdict) error {
	started := n.Clock()
	remaining := func() time.Duration { return ownerTimeout - (n.Clock() - started) }
	var err error
	if p.Term, err = n.termFor(owner, addr, ownerTimeout); err != nil {
		return err
	}
	if p.Submission != nil && n.oldOwner.Load() != uint64(owner.Epoch) {
		err = n.peers.CallTimeout(remaining(), addr, peerService, "ProposeJob", JobProposal{Record: p.Record, Term: p.Term}, v)
		if !unknownMethod(err) {
			n.noteOwnerTime(owner.Epoch, v)
			return err
		}
		n.oldOwner.Store(uint64(owner.Epoch))
	}
	err = n.peers.CallTimeout(remaining(), addr, peerService, "Propose", p, v)
	n.noteOwnerTime(owner.Epoch, v)
	return err
}

// noteOwnerTime takes in the owner's time from its answer, if v is one.
func (n *Node) noteOwnerTime(epoch platform.Epoch, v *Verdict) {
	if v.Now != 0 {
		n.ownerClock.note(n.Clock(), epoch, v.Now)
	}
}

// ownerReply is the outcome of a call to the owner.
type ownerReply struct {
	verdict Verdict
	err     error
}

// decideProposal decides on a Proposal as the shard's owner and writes its record.
func (n *Node) decideProposal(ctx context.Context, p Proposal) (Verdict, error) {
	d, v, err := n.beginWrite(p)
	if d == nil {
		return v, err
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	untilAway, stop := n.answers.untilAway(ctx)
	defer stop()
	err = d.Write(untilAway, p.Record)
	v = Verdict{Written: err == nil, Unknown: err != nil && !errors.Is(err, store.ErrUnavailable)}
	if lasted, away := n.answers.away(); away && err != nil {
		v.Unserved = lasted
	}
	n.open.end(n.Clock(), p.ID, v.Unknown)
	return v, nil
}

// beginWrite returns the dispatcher that is to write a proposal's record, whose write is then open,
// or nil and the answer. Decisions are made one at a time: a job whose caller was told that it never
// runs is not admitted by a call that was made before.
func (n *Node) beginWrite(p Proposal) (*dispatch.Dispatcher, Verdict, error) {
	n.deciding.Lock()
	defer n.deciding.Unlock()
	d, now := n.ownedDispatcher(), n.Clock()
	if d == nil || p.Term.late(now, d.Ownership.Epoch) {
		n.reportLate("propose", p.Term, logrus.Fields{"job": p.ID})
		return nil, Verdict{}, errNotOwner
	}
	if n.joinOutage() > ownerJoinMaxAge {
		return nil, Verdict{}, errNotOwner
	}
	if p.Submission != nil {
		if _, known := n.table.Get(p.ID); known {
			return nil, Verdict{Written: true}, nil
		}
		if a := n.admit(d, now, p); !a.Admitted {
			return nil, Verdict{Refused: &a}, nil
		}
	}
	if lasted, away := n.answers.away(); away {
		return nil, Verdict{Unknown: n.open.mayBeStored(now, p.ID), Unserved: lasted}, nil
	}
	n.open.begin(p.ID)
	return d, Verdict{}, nil
}

// admit decides on the admission of a job. The caller holds deciding.
func (n *Node) admit(d *dispatch.Dispatcher, now time.Duration, p Proposal) scheduler.Admission {
	if n.mustStore(p.ID) {
		return scheduler.Admission{Admitted: true}
	}
	// Hosts of earlier versions do not tell when they sent a call.
	if a, refused := n.refusals.after(p.Term.Sent, p.ID); refused && p.Term.Epoch != 0 {
		return a
	}
	a := d.Admit(p.Submission)
	if !a.Admitted {
		n.refusals.add(now, p.ID, a)
	}
	return a
}

// mustStore reports whether a job is stored whatever the load: an earlier write may be in the
// log, or the job is cancelled, so that it takes no room and its callers see that it is.
func (n *Node) mustStore(id job.ID) bool {
	now := n.Clock()
	_, cancelled := n.table.EarlyCancellation(id, now, time.Now().UnixMilli())
	return cancelled || n.open.mayBeStored(now, id)
}

// appendDirect appends a record without the owner, whose own calls the store has not served
// for the given time. While it is unknown whether the record is in the log it retries until
// ctx is done or the store is known to be away.
func (n *Node) appendDirect(ctx context.Context, p Proposal, mayBeStored bool, ownerUnserved time.Duration) error {
	switch {
	case n.storeAway():
		return &AwayError{Lasted: n.Outage(), MayBeStored: mayBeStored}
	case ownerUnserved > 0 && !n.answers.reached(ctx):
		return &AwayError{Lasted: ownerUnserved, MayBeStored: mayBeStored}
	}
	untilAway, stop := n.answers.untilAway(ctx)
	defer stop()
	err := n.direct.append(untilAway, p.Record, mayBeStored)
	if lasted, away := n.answers.away(); away && err != nil && ctx.Err() == nil {
		return &AwayError{Lasted: lasted, MayBeStored: OutcomeUnknown(err)}
	}
	return err
}

// AwayError reports that the store has not served calls for some time, so that a request was not
// carried out, unless it may have been before.
type AwayError struct {
	Lasted      time.Duration
	MayBeStored bool
}

// Error implements error.
func (e *AwayError) Error() string {
	return fmt.Sprintf("%v: the store has not answered for %v", e.Unwrap(), e.Lasted.Round(time.Millisecond))
}

// Unwrap tells whether the outcome is open.
func (e *AwayError) Unwrap() error {
	if e.MayBeStored {
		return platform.ErrOutcomeUnknown
	}
	return store.ErrUnavailable
}

// outageThreshold is the time without an answer from the store, five joins, after which
// it counts as away: callers are told at once instead of waiting.
const outageThreshold = time.Second

func (n *Node) storeAway() bool { return n.Outage() > outageThreshold }

// Outage returns how long the store has not answered this host's joins, or not served its calls
// to the shard's partition.
func (n *Node) Outage() time.Duration { return max(n.joinOutage(), n.answers.lasts()) }

// probePartition reads the shard's partition from its last known end on, which is little, to learn
// whether the store serves it. What is read is left to the next regular read.
func (n *Node) probePartition() {
	if from := n.logEnd.Load(); from > 0 {
		go func() { _, _ = n.Store.Read(n.ctx, n.partition, platform.Offset(from), 0) }()
	}
}

// joinOutage returns how long the store has not answered this host's joins. A host that has left
// the group sends none, so its reads of the log count, which begin at least every
// followInterval.
func (n *Node) joinOutage() time.Duration {
	if n.leaving.Load() {
		return max(0, n.SinceCaughtUp()-followInterval)
	}
	// A host that has joined no group yet has asked for as long as it runs.
	return min(n.storeAge(), n.Clock()-n.startedAt)
}

// notifyOwner sends records that are in the log to the shard's owner.
func (n *Node) notifyOwner(records []store.Record) {
	owner := n.latestOwner()
	addr, err := netip.ParseAddrPort(owner.Addr)
	if err != nil || n.ownedDispatcher() != nil {
		return
	}
	go func() {
		term, err := n.termFor(owner, addr, notifyTimeout)
		if err == nil {
			err = n.peers.CallTimeout(notifyTimeout, addr, peerService, "Written", WrittenArgs{Records: records, Term: term}, &Empty{})
		}
		// The owner's next read of the log makes up for a failed call.
		if err != nil {
			n.reportOwnerUnreachable("recorded", err, logrus.Fields{"records": len(records)})
		}
	}()
}

// owner returns the address of the shard's owner.
func (n *Node) owner() (netip.AddrPort, bool) {
	addr, err := netip.ParseAddrPort(n.latestOwner().Addr)
	return addr, err == nil
}
