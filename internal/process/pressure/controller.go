// Package pressure mitigates interference when a service misses its latency target. It
// throttles the most likely antagonist, then checkpoints and moves it, and moves the
// service itself only as the last resort. Later measurements decide whether a
// mitigation helped; a throttle that did not is undone. The package does no I/O, and
// times are passed in. It is not safe for concurrent use.
package pressure

import (
	"sort"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/interference"
	"github.com/siskinvane/siskinvane/internal/process/place"
)

const (
	// missesToMitigate is the number of consecutive measurements above target that
	// trigger a mitigation.
	missesToMitigate = 2
	// missesToMoveService is the number of consecutive measurements above target
	// that trigger a move of the service.
	missesToMoveService = 8
	// healthyRatio is the latency over target below which a service is healthy, and
	// healthyToRelax the number of consecutive healthy measurements before a
	// throttle is relaxed.
	healthyRatio   = 0.8
	healthyToRelax = 4
	// measurementsToVerify is the number of measurements after a mitigation that
	// decide whether it helped, and verifyTimeout the maximum wait for them.
	measurementsToVerify = 2
	verifyTimeout        = 90 * time.Second
	// effectiveRatio is the latency after a mitigation over the latency before it
	// below which the mitigation has helped.
	effectiveRatio = 0.93
	// minAntagonistSlowdown is the minimum estimated slowdown by a class for a
	// mitigation against it.
	minAntagonistSlowdown = 1.03
	// moveCooldown is the minimum time between two moves of one service.
	moveCooldown = 5 * time.Minute
	// ineffectiveCooldown is how long a class is exempt after a mitigation against
	// it did not help.
	ineffectiveCooldown = 2 * time.Minute
	// reservedEvictions is the part of the eviction budget that is reserved for
	// missed targets, so not used to move tasks throttled for a long time.
	reservedEvictions = 2
)

// Kind is the kind of an action.
type Kind uint8

// Kinds of actions.
const (
	// Throttle limits the processors of a task to Percent.
	Throttle Kind = iota + 1
	// Move checkpoints a batch task, ends the attempt and queues the task.
	Move
	// MoveService ends a replica, which is then restarted elsewhere.
	MoveService
)

// Action is an action on one task.
type Action struct {
	Kind   Kind
	Task   platform.TaskID
	Worker platform.WorkerID
	// Percent is the new processor limit in percent, 1 to 100.
	Percent int
	// Reason explains the action to operators.
	Reason string
}

// Measurement is one measurement of a service's tail latency.
type Measurement struct {
	Victim platform.TaskID
	Class  platform.ClassName
	Worker platform.WorkerID
	// Ratio is the latency divided by the target.
	Ratio float64
	// MeasuredAt is the time of the measurement, which may be well before its report.
	MeasuredAt time.Time
}

// InterferenceModel estimates which classes slow which services. interference.Model
// implements it.
type InterferenceModel interface {
	RankAntagonists(victim platform.ClassName, load float64, neighbours []interference.Neighbour) []interference.Estimate
	MissChance(victim platform.ClassName, load float64, neighbours []interference.Neighbour, c interference.Confidence) float64
	WeakenEstimate(victim, antagonist platform.ClassName, load float64)
}

// victim is the state of a monitored service.
type victim struct {
	class  platform.ClassName
	worker platform.WorkerID
	// misses and healthy count consecutive measurements above target and below
	// healthyRatio.
	misses, healthy int
	// ratio is the latest measurement.
	ratio      float64
	mitigation *mitigation
	// ineffectiveAt maps each class to the time when a mitigation against it did not
	// help.
	ineffectiveAt map[platform.ClassName]time.Time
	movedAt       time.Time
}

// mitigation is a mitigation that is in progress: its effect is not yet known.
type mitigation struct {
	antagonist  platform.ClassName
	startedAt   time.Time
	ratioBefore float64
	// undo lists the throttles before the mitigation.
	undo []throttleSetting
	// ratioAfter is the mean of the measurements since the mitigation.
	ratioAfter   float64
	measurements int
}

// throttleSetting is the throttle of one task.
type throttleSetting struct {
	task    platform.TaskID
	percent int
}

// Controller holds the state of all monitored services of a shard.
type Controller struct {
	victims map[platform.TaskID]*victim
	// active holds the services that miss their target or have a mitigation in
	// progress.
	active map[platform.TaskID]bool
	// throttledSince maps each throttled task to the start of its throttling.
	throttledSince map[platform.TaskID]time.Time
	// relaxBackoffs holds the backoff of each worker for relaxing throttles.
	relaxBackoffs map[platform.WorkerID]*relaxBackoff
}

// NewController returns a controller without services.
func NewController() *Controller {
	return &Controller{
		victims:        map[platform.TaskID]*victim{},
		active:         map[platform.TaskID]bool{},
		throttledSince: map[platform.TaskID]time.Time{},
		relaxBackoffs:  map[platform.WorkerID]*relaxBackoff{},
	}
}

// Observe records one measurement.
func (c *Controller) Observe(m Measurement) {
	v := c.victims[m.Victim]
	if v == nil || v.worker != m.Worker {
		fresh := &victim{class: m.Class, worker: m.Worker, ineffectiveAt: map[platform.ClassName]time.Time{}}
		if v != nil {
			fresh.movedAt = v.movedAt
		}
		v = fresh
		c.victims[m.Victim] = v
	}
	v.ratio = m.Ratio
	switch {
	case m.Ratio > 1:
		v.misses++
		v.healthy = 0
	case m.Ratio < healthyRatio:
		v.healthy++
		v.misses = 0
	default:
		v.misses, v.healthy = 0, 0
	}
	if v.misses >= missesToMitigate {
		c.active[m.Victim] = true
	}
	if v.mitigation != nil && m.MeasuredAt.After(v.mitigation.startedAt) {
		v.mitigation.measurements++
		v.mitigation.ratioAfter += (m.Ratio - v.mitigation.ratioAfter) / float64(v.mitigation.measurements)
	}
}

// Forget deletes the state of a task that ended. A service task that was moved before
// keeps its state, since moveCooldown applies to its next replica too.
func (c *Controller) Forget(id platform.TaskID) {
	delete(c.throttledSince, id)
	if v := c.victims[id]; v != nil && v.movedAt.IsZero() {
		delete(c.victims, id)
	}
}

// Step returns the actions to take now. It sets throttles and moves in the cache and
// deducts evictions from the budget.
func (c *Controller) Step(now time.Time, cache *place.Cache, model InterferenceModel, budget *place.EvictionBudget) []Action {
	s := step{controller: c, now: now, cache: cache, model: model, budget: budget}
	for _, id := range c.activeVictims() {
		v := c.victims[id]
		s.handleVictim(id, v)
		if v.mitigation == nil && v.misses < missesToMitigate {
			delete(c.active, id)
		}
	}
	s.relaxThrottles()
	s.moveLongThrottled()
	return s.actions
}

// activeVictims returns the active services, the highest ratio first.
func (c *Controller) activeVictims() []platform.TaskID {
	ids := make([]platform.TaskID, 0, len(c.active))
	for id := range c.active {
		if c.victims[id] == nil {
			delete(c.active, id)
			continue
		}
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		a, b := c.victims[ids[i]].ratio, c.victims[ids[j]].ratio
		if a != b {
			return a > b
		}
		return ids[i] < ids[j]
	})
	return ids
}
