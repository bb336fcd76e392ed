// Package scheduler makes the scheduling decisions for one shard of the workers: which
// task starts where, what is stopped or throttled, how long leases last and what must
// be recorded in the log.
//
// Jobs consist of steps of tasks. Serving tasks have users of their own and a latency
// target. Fillers are best-effort tasks (steps with Fills set) that use the CPU which
// the others leave; they are throttled or moved when they interfere with serving tasks.
// Tasks that are not long-running are called batch tasks.
//
// The package reads no clock, makes no calls and starts no goroutines: the caller
// passes in the time and the answers of workers, and Plan returns the orders to send. A
// Shard is not safe for concurrent use.
package scheduler

import (
	"slices"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/scheduler/headroom"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
	"github.com/siskinvane/siskinvane/internal/scheduler/length"
	"github.com/siskinvane/siskinvane/internal/scheduler/reservation"
	"github.com/siskinvane/siskinvane/internal/version/queue"
)

// Instant is a reading of the host's monotonic clock, which includes the time that the
// host was suspended.
type Instant = time.Duration

// Bounds are the platform limits that decisions depend on.
type Bounds struct {
	// MaxLease is the longest lease that workers grant.
	MaxLease time.Duration
	// StopGrace is how long a task may still run after a stop order.
	StopGrace time.Duration
	// RemoteFactor is the factor by which a task takes longer away from its data.
	RemoteFactor float64
	// Evacuation is how soon after its acknowledgement an evacuation has to be obeyed, or zero
	// where operators evacuate no failure domains.
	Evacuation time.Duration
}

// Shard is the state of the jobs and workers that one owner schedules.
type Shard struct {
	bounds Bounds
	// epoch is the owner's fencing token.
	epoch platform.Epoch
	// firstAttempt is above every attempt number that earlier owners can have used.
	firstAttempt platform.Attempt
	// claim is the owner's number in the sequence of the shard's owners.
	claim uint32
	// takenOverAt is when this owner took the shard over.
	takenOverAt Instant
	takeover    takeover
	proof       ownershipProof
	silentCheck silentCheck

	// now is the time of the latest plan or answer.
	now Instant
	// nowMS is the time of day of the latest plan, in Unix milliseconds.
	nowMS int64

	config *queue.Config
	jobs   map[job.ID]*jobState
	// periodic are the jobs that have occurrences to come.
	periodic map[job.ID]*jobState
	workers  map[platform.WorkerID]*workerState
	entries  entries
	// evacuations are what operators have evacuated.
	evacuations evacuations
	// sortedWorkers are the workers sorted by ID.
	sortedWorkers []*workerState
	dirty         dirtySet
	waiting       waitingSteps
	// reservations are the workers that are kept for waiting steps, unreserved those whose
	// reservation the last plan has used. shortageUntil is until when
	// batch tasks are placed so that large gaps stay whole.
	reservations  *reservations
	unreserved    []*workerState
	shortageUntil Instant
	// startsInOrder counts the start orders issued since the last one of a starved step.
	startsInOrder int
	// nextStarvedAtLoad is when the next starved step may be placed while half of the CPU or
	// more is reserved.
	nextStarvedAtLoad Instant
	startRates        map[capacityClass]*startRate
	// refusedUntil holds until when jobs with tasks of a class count as refused, and
	// inheritedRates the starts per second of the classes that the earlier owner refused.
	refusedUntil   map[capacityClass]Instant
	inheritedRates map[capacityClass]float64
	returns        returnQueue
	startOrders    startOrders
	// batchReserved is the CPU that batch tasks have reserved, in thousandths of a
	// core.
	batchReserved int64
	// batchPeak is the decaying peak of the CPU that batch tasks needed, in thousandths
	// of a core.
	batchPeak   float64
	batchPeakAt Instant
	headroom    *headroom.Model
	trials      trials
	// haltedCheckedAt is when a halted task was last checked for room elsewhere.
	haltedCheckedAt Instant
	lengths         *length.Model

	// heldEnds are the ends of attempts of jobs that the shard does not have.
	heldEnds []heldEnd
	// lostRuns are the runs of workers that were lost lately and may have crashed.
	lostRuns map[workerRun]*lostRun
	// stopsInFlight counts the stop orders that were issued and have no outcome yet.
	stopsInFlight map[stopKey]int
	// startsOpenOn are the workers of which a run may still carry out a start order of a task that got
	// no answer, or may have done so unseen.
	startsOpenOn map[job.TaskRef][]*workerState
	// adviceCalls are the requests to the advice service.
	adviceCalls adviceCalls

	journal journal
	pending Actions
	notes   Notes
}

// attemptsPerClaim separates the attempt numbers of successive owners.
const attemptsPerClaim = 10_000

// New returns the shard of the owner with the given claim; claims number the shard's
// owners from 1. The predecessors are sorted by claim, and the last one is the owner
// that is being replaced. There are none if the shard is new.
func New(b Bounds, o job.Ownership, now Instant, predecessors []Predecessor) *Shard {
	return &Shard{
		bounds: b, epoch: o.Epoch, firstAttempt: platform.Attempt(o.Claim-1)*attemptsPerClaim + 1,
		claim: o.Claim, takenOverAt: now, takeover: takeover{predecessors: slices.Clone(predecessors)},
		config:        queue.New(0, nil, nil, queue.Limits{}),
		jobs:          map[job.ID]*jobState{},
		periodic:      map[job.ID]*jobState{},
		workers:       map[platform.WorkerID]*workerState{},
		startRates:    map[capacityClass]*startRate{},
		refusedUntil:  map[capacityClass]Instant{},
		returns:       returnQueue{},
		stopsInFlight: map[stopKey]int{}, startsOpenOn: map[job.TaskRef][]*workerState{},
		lostRuns:     map[workerRun]*lostRun{},
		adviceCalls:  adviceCalls{timings: map[queue.Name]*adviceTiming{}},
		reservations: reservation.NewBook[*workerState, *stepRun](),
		entries:      entries{recentRequired: true},
		evacuations:  evacuations{noted: map[platform.FailureDomain]bool{}},
		headroom:     headroom.NewModel(),
		trials:       trials{clearedUntil: map[headroom.ImageID]Instant{}},
		lengths:      length.NewModel(),
		journal: journal{
			dirty: map[job.ID]*jobState{}, enrolled: map[platform.WorkerID]*workerState{},
			unenrolled: map[platform.WorkerID]bool{}, listed: map[platform.WorkerID]bool{},
			refusedJobs: map[job.ID]Instant{}, refusedWorkers: map[platform.WorkerID]Instant{},
		},
	}
}

// SetBounds changes the platform limits.
func (s *Shard) SetBounds(b Bounds) { s.bounds, s.dirty.all = b, true }

// SetConfig applies a version of the declarations.
func (s *Shard) SetConfig(c *queue.Config) {
	s.config, s.dirty.all = c, true
	s.adviceCalls.forgetDropped(c)
}

// DeclaredVersion returns the version of the declarations that applies.
func (s *Shard) DeclaredVersion() int64 { return s.config.Version }

// StartAction is an order to start a task, to be passed to BeginStart when it can be
// sent.
type StartAction struct {
	Worker fleet.Worker
	// Run is the worker's run when BeginStart returned the order.
	Run   int64
	Order fleet.StartOrder
	// Repeated is set if the order was sent before.
	Repeated bool
	// RunAge is the time since that run last read its lists, as far as this owner knows.
	RunAge time.Duration
	// sent is when BeginStart returned the order.
	sent Instant
}

// StopAction is an order to stop an attempt.
type StopAction struct {
	Worker fleet.Worker
	// Run is the worker's run when the order was issued.
	Run   int64
	Order fleet.StopOrder
	// Promised is set if a caller was told that the task's job is over.
	Promised bool
}

// ThrottleAction is an order to change the CPU limit of an attempt.
type ThrottleAction struct {
	Worker fleet.Worker
	Order  fleet.ThrottleOrder
}

// Actions are the orders and requests to send, in any order.
type Actions struct {
	Starts         []StartAction
	Stops          []StopAction
	Throttles      []ThrottleAction
	AdviceRequests []AdviceAction
}

// takePending returns and clears the collected actions.
func (s *Shard) takePending() Actions {
	a := s.pending
	s.pending = Actions{}
	return a
}
