package idempotency

import (
	"errors"
	"time"

	"github.com/siskinvane/siskinvane/internal/request/outcome"
)

const (
	// pollInterval is the delay between two attempts to start a request.
	pollInterval = 20 * time.Millisecond
	// A request waits for its key's home while the membership changes, for at
	// most maxHomeWait or 1/homeWaitDivisor of its remaining time, whichever is
	// shorter.
	maxHomeWait     = time.Second
	homeWaitDivisor = 4
	retryAfter      = time.Second
)

// Peers calls other members.
type Peers interface {
	// Keep asks m to record a request.
	Keep(m Member, req KeepRequest) (Verdict, Record, error)
	// Learn sends m the final record of a request.
	Learn(m Member, r Record) error
	// Cancel tells m to delete a request that receiver did not run.
	Cancel(m Member, k Key, receiver Member) error
}

// Coordinator ensures that requests with an idempotency key run at most once. It
// is safe for concurrent use.
type Coordinator struct {
	ledger *Ledger
	peers  Peers
	now    func() time.Time
	sleep  func(time.Duration)
}

// NewCoordinator returns a coordinator that keeps its records in ledger and
// replicates them through peers.
func NewCoordinator(ledger *Ledger, peers Peers, now func() time.Time, sleep func(time.Duration)) *Coordinator {
	return &Coordinator{ledger: ledger, peers: peers, now: now, sleep: sleep}
}

// Permit allows one request to run. Its owner passes it to Coordinator.End
// exactly once.
type Permit struct {
	record Record
	// keeper is the other member that holds a record of the request, or empty.
	keeper Member
}

// Begin registers the request and waits, at most until deadline, while an earlier
// request with the key is running. It returns a permit, or the answer of the
// earlier request, or an *outcome.Refusal. The fingerprint identifies the
// request's method, target and body.
func (c *Coordinator) Begin(k Key, fingerprint uint64, deadline time.Time) (*Permit, *Answer, error) {
	start := c.now()
	homeDeadline := start.Add(min(maxHomeWait, deadline.Sub(start)/homeWaitDivisor))
	for {
		permit, record, v, err := c.tryBegin(k, fingerprint)
		now := c.now()
		switch {
		case v == Run:
			return permit, nil, nil
		case v == Replay && record.Answer != nil:
			return nil, record.Answer, nil
		case v == Wait && now.Before(deadline):
		case v == NotServing && now.Before(homeDeadline):
		default:
			return nil, nil, refusalFor(k, v, err)
		}
		c.sleep(pollInterval)
	}
}

var (
	errMismatch       = errors.New("the key was used for another request")
	errOutcomeUnknown = errors.New("a request with the key may have run, and its answer is not kept")
	errRunning        = errors.New("the first request with the key is still running")
	errTableFull      = errors.New("no room to remember another key")
	errHomeNotReady   = errors.New("the key's home is not ready")
)

func refusalFor(k Key, v Verdict, cause error) error {
	r := &outcome.Refusal{Status: 503, Outcome: outcome.NotRun, Reason: outcome.KeyHomeUnreachable, RetryAfter: retryAfter}
	switch v {
	case Mismatch:
		r.Status, r.Reason, r.RetryAfter, r.Err = 422, outcome.KeyReused, 0, errMismatch
	case Wait:
		r.Status, r.Outcome, r.Reason, r.Err = 409, outcome.Unknown, outcome.KeyInProgress, errRunning
	case TableFull:
		r.Reason, r.Err = outcome.Overload, errTableFull
	case NotServing:
		r.Err = errors.Join(errHomeNotReady, cause)
	default:
		r.Status, r.Outcome, r.Reason, r.RetryAfter, r.Err = 409, outcome.Unknown, outcome.KeyHistoryLost, 0, errOutcomeUnknown
	}
	return r
}

// tryBegin makes one attempt to register the request here and, if another member
// holds the second record, there.
func (c *Coordinator) tryBegin(k Key, fingerprint uint64) (*Permit, Record, Verdict, error) {
	v, record, keeper, req := c.ledger.BeginLocal(k, fingerprint, c.now())
	if v != Run || keeper == "" {
		return &Permit{record: record}, record, v, nil
	}
	self := c.ledger.Self()
	v, kept, err := c.peers.Keep(keeper, req)
	if err != nil {
		v = NotServing
	}
	switch v {
	case Run:
		return &Permit{record: record, keeper: keeper}, record, Run, nil
	case Replay:
		c.ledger.Finish(k, Done, kept.Answer)
	case OutcomeUnknown:
		c.ledger.Finish(k, InDoubt, nil)
	default:
		c.ledger.Cancel(k, self)
	}
	return nil, kept, v, err
}

// End records the outcome of the request and sends it to the other member that
// holds a record. An answered request without an answer to replay is recorded as
// InDoubt.
func (c *Coordinator) End(p *Permit, o outcome.Outcome, a *Answer) {
	k := p.record.Key
	if o == outcome.NotRun {
		c.ledger.Cancel(k, c.ledger.Self())
		if p.keeper != "" {
			c.peers.Cancel(p.keeper, k, c.ledger.Self()) //nolint:errcheck // the keeper lets this host begin the key again
		}
		return
	}
	r := p.record
	r.State, r.Answer = Done, a
	if o != outcome.Answered || a == nil {
		r.State, r.Answer = InDoubt, nil
	}
	for _, m := range c.ledger.Finish(k, r.State, r.Answer) {
		c.peers.Learn(m, r) //nolint:errcheck // a holder that misses this answers "unknown" to repeats
	}
}
