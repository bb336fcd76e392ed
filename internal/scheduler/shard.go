// Package scheduler decides for one shard of the workers: which task starts
// where, what is stopped or paced, how long leases run and what must be
// recorded. It holds no clock, makes no calls and starts no goroutine: answers
// and the time go in, actions come out. A Shard is not safe for concurrent use.
package scheduler

import (
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/scheduler/headroom"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
	"github.com/siskinvane/siskinvane/internal/scheduler/length"
	"github.com/siskinvane/siskinvane/internal/version/queue"
)

// Instant is a reading of the host's clock. The clock counts the time for which
// the host was suspended.
type Instant = time.Duration

// Bounds are the platform's figures that decisions depend on.
type Bounds struct {
	// MaxLease is the longest lease that workers grant.
	MaxLease time.Duration
	// StopGrace is how long a stopped task may still run.
	StopGrace time.Duration
	// RemoteFactor is how much longer a task takes away from its data.
	RemoteFactor float64
}

// Shard is the state of the jobs and workers that one owner schedules.
type Shard struct {
	bounds Bounds
	epoch  platform.Epoch
	// firstAttempt is above every attempt that earlier owners can have used.
	firstAttempt platform.Attempt
	claim        uint32
	// takenOver is when this owner began.
	takenOver Instant
	inherited inheritance

	// now is the time of the latest plan or answer.
	now Instant
	// nowMS is the time of day of the latest plan, in Unix milliseconds.
	nowMS int64

	config *queue.Config
	jobs   map[job.ID]*jobState
	// timed are the jobs of which occurrences are still to come.
	timed   map[job.ID]*jobState
	workers map[platform.WorkerID]*workerState
	// roster are the workers sorted by name.
	roster  []*workerState
	agenda  agenda
	waiting waitingSteps
	flows   map[lane]*flow
	// shortReserved is what tasks that end have reserved, in thousandths of a core.
	shortReserved int64
	// shortPeak is what tasks that end have needed at most of late, in
	// thousandths of a core.
	shortPeak float64
	peakAt    Instant
	headroom  *headroom.Model
	lengths   *length.Model

	// questions counts the questions to the advice service that are under way.
	questions int

	journal journal
	pending Actions
	notes   Notes
}

// attemptsPerClaim keeps the attempts of one owner apart from those of the next.
const attemptsPerClaim = 10_000

// New returns the shard of the owner with the given claim, which counts the
// shard's owners from 1. The predecessors are sorted by claim, the last one is the
// owner that is being replaced; there are none if the shard is new.
func New(b Bounds, o job.Ownership, now Instant, predecessors []Predecessor) *Shard {
	return &Shard{
		bounds: b, epoch: o.Epoch, firstAttempt: platform.Attempt(o.Claim-1)*attemptsPerClaim + 1,
		claim: o.Claim, takenOver: now, inherited: inheritance{predecessors: predecessors},
		config:   queue.New(0, nil, nil, queue.Limits{}),
		jobs:     map[job.ID]*jobState{},
		timed:    map[job.ID]*jobState{},
		workers:  map[platform.WorkerID]*workerState{},
		flows:    map[lane]*flow{},
		headroom: headroom.NewModel(),
		lengths:  length.NewModel(),
		journal: journal{
			dirty: map[job.ID]*jobState{}, enrolled: map[platform.WorkerID]*workerState{},
			dismissed: map[platform.WorkerID]bool{},
		},
	}
}

// SetBounds changes the platform's figures.
func (s *Shard) SetBounds(b Bounds) { s.bounds, s.agenda.all = b, true }

// SetConfig puts a version of the declarations in force.
func (s *Shard) SetConfig(c *queue.Config) { s.config, s.agenda.all = c, true }

// StartAction asks for an order to start a task.
type StartAction struct {
	Worker fleet.Worker
	Order  fleet.StartOrder
}

// StopAction asks for an order to stop an attempt.
type StopAction struct {
	Worker fleet.Worker
	Order  fleet.StopOrder
}

// PaceAction asks for an order to pace an attempt.
type PaceAction struct {
	Worker fleet.Worker
	Order  fleet.PaceOrder
}

// Actions are the orders that are to be given. Their order does not matter.
type Actions struct {
	Starts []StartAction
	Stops  []StopAction
	Paces  []PaceAction
	Asks   []AskAction
}

// takePending returns the actions that answers have caused.
func (s *Shard) takePending() Actions {
	a := s.pending
	s.pending = Actions{}
	return a
}
