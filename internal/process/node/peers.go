package node

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// peerService is the net/rpc name under which hosts register Service.
const peerService = "Shard"

// Service is the net/rpc service through which other hosts call the shard's owner.
type Service struct {
	node *Node
}

// Empty is an empty net/rpc argument or reply.
type Empty struct{}

// WrittenArgs holds records that the calling host has appended to the log.
type WrittenArgs struct {
	Records []store.Record
	Term    Term
}

// Written applies records that are already in the log, so that the owner need not wait
// until it reads them there. If this host may no longer be the owner, or the call comes so late
// that the log may have deleted the records, it applies only the cancellations, which start
// nothing on any host, and fails.
func (s *Service) Written(args WrittenArgs, _ *Empty) error {
	n := s.node
	late := args.Term.late(n.Clock(), n.ownedEpochNow())
	if !late && n.member.ConfirmationAge() <= ownerJoinMaxAge {
		n.applyRecords(args.Records)
		return nil
	}
	switch {
	case late:
		n.reportLate("written", args.Term, logrus.Fields{"records": len(args.Records)})
	case len(args.Records) > 0:
		n.noteOthersWrite()
	}
	if list := cancellationsIn(args.Records); len(list) > 0 {
		n.applyRecords(list)
	}
	return errNotOwner
}

// cancellationsIn returns the cancellations among records.
func cancellationsIn(records []store.Record) []store.Record {
	var list []store.Record
	for _, r := range records {
		if job.IsCancellation(r) {
			list = append(list, r)
		}
	}
	return list
}

// ownerJoinMaxAge is the greatest age of an owner's last answered join at which it still
// accepts submissions from other hosts. A new owner relies on this limit.
const ownerJoinMaxAge = 800 * time.Millisecond

var errNotOwner = errors.New("not sure to own the shard")

// Propose decides on a proposal as the shard's owner and writes its record. A submission
// is read from the record, which is checked.
func (s *Service) Propose(p Proposal, v *Verdict) error {
	if p.Submission != nil {
		var err error
		if p.ID, p.Submission, err = job.DecodeSubmission(p.Record); err != nil {
			return err
		}
	}
	return s.node.answerProposal(p, v)
}

// JobProposal asks the shard's owner to decide on the admission of a job and to write its
// submission record.
type JobProposal struct {
	Record store.Record
	Term   Term
}

// ProposeJob is like Propose for a submission, which it takes from the record. Hosts of
// older versions do not have it.
func (s *Service) ProposeJob(p JobProposal, v *Verdict) error {
	id, submission, err := job.DecodeSubmission(p.Record)
	if err != nil {
		return err
	}
	return s.node.answerProposal(Proposal{ID: id, Submission: submission, Record: p.Record, Term: p.Term}, v)
}

// answerProposal answers the proposal of another host. One that names no ownership may have been
// meant for an earlier one, unless the host has had none.
func (n *Node) answerProposal(p Proposal, v *Verdict) (err error) {
	if p.Term.Epoch == 0 && n.hasReleased.Load() {
		n.reportLate("propose", p.Term, logrus.Fields{"job": p.ID})
		return errNotOwner
	}
	*v, err = n.decideProposal(n.ctx, p)
	v.Now = n.Clock()
	return err
}

// StateArgs is the argument of Service.State.
type StateArgs struct {
	ID job.ID
}

// StateReply is the reply of Service.State. Held is set if the owner holds the job.
type StateReply struct {
	Held  bool
	State job.State
}

// State returns the state of a job that the owner holds.
func (s *Service) State(args StateArgs, reply *StateReply) error {
	d := s.node.ownedDispatcher()
	if d == nil {
		return nil
	}
	if reply.State, reply.Held = d.State(args.ID); !reply.Held {
		// The dispatcher drops jobs once their end is recorded.
		e, known := s.node.table.Get(args.ID)
		reply.State, reply.Held = e.State(), known && e.State().Final()
	}
	return nil
}

// applyRecords applies records that have just been appended to the log as if they had
// been read from it.
func (n *Node) applyRecords(records []store.Record) {
	page := store.Page{}
	for _, r := range records {
		page.Records = append(page.Records, store.StoredRecord{Record: r})
	}
	n.applying.Lock()
	defer n.applying.Unlock()
	n.applyPage(page)
}
