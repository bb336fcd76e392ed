// Package reservation keeps room on workers for tasks that find none. Small tasks fit into
// every gap, so without reservations a large one waits for as long as small ones arrive. It
// answers the load of tasks of uneven sizes that compete for little room.
//
// A reservation names a worker and the time at which the room there is expected to be free.
// Until then tasks of others that end before, or that leave the reserved room free, may still
// start there. The number of reservations and their length are bounded, so small tasks do not
// wait for long either. The package does no I/O and reads no clock. It is not safe for
// concurrent use.
package reservation

import (
	"slices"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
)

// Instant is a reading of a monotonic clock.
type Instant = time.Duration

const (
	// Horizon is how far ahead the room of a reservation may be expected.
	Horizon = 4 * time.Second
	// maxOverdue is how long after that the reservation is kept if there is still no room: ends
	// are predicted roughly.
	maxOverdue = 2 * time.Second
	// endMargin is how long before the room is needed another task has to end.
	endMargin = 100 * time.Millisecond
	// workersPerReservation is the number of workers for each of which there may be one
	// reservation, and workersPerOverdue replaces it for steps that are overdue.
	workersPerReservation = 16
	workersPerOverdue     = 48
)

// End is the expected end of something that runs on a worker.
type End struct {
	At   Instant
	Size platform.Resources
}

// ReadyAt returns when a worker with the given free room will have room for a task, if that is
// before the horizon. The ends may be in any order and are sorted.
func ReadyAt(now Instant, size, free platform.Resources, ends []End) (Instant, bool) {
	if size.Fits(free) {
		return now, true
	}
	slices.SortFunc(ends, func(a, b End) int { return int(a.At - b.At) })
	for _, e := range ends {
		if e.At > now+Horizon {
			break
		}
		if free = free.Add(e.Size); size.Fits(free) {
			return max(now, e.At), true
		}
	}
	return 0, false
}

// Reservation is room that is kept on a worker for a task of a step.
type Reservation[W, S comparable] struct {
	Worker W
	Step   S
	Size   platform.Resources
	// Priority is that of the step's job; a lower number is more urgent.
	Priority int
	// Ready is when the room is expected to be free.
	Ready Instant
	// made is when the reservation was made.
	made Instant
}

// expires returns until when a reservation is kept.
func (r *Reservation[W, S]) expires() Instant { return r.Ready + maxOverdue }

// Book holds the reservations of a shard.
type Book[W, S comparable] struct {
	byWorker map[W]*Reservation[W, S]
	byStep   map[S]int
	// restUntil is until when a step gets no reservation.
	restUntil map[S]Instant
}

// NewBook returns a book without reservations.
func NewBook[W, S comparable]() *Book[W, S] {
	return &Book[W, S]{byWorker: map[W]*Reservation[W, S]{}, byStep: map[S]int{}, restUntil: map[S]Instant{}}
}

// Left returns how many more reservations there may be on the given number of workers. Fewer are
// made for steps that are overdue, since those in time lose the room.
func (b *Book[W, S]) Left(workers int, overdue bool) int {
	divisor := workersPerReservation
	if overdue {
		divisor = workersPerOverdue
	}
	return max(1, workers/divisor) - len(b.byWorker)
}

// Count returns the number of reservations of a step.
func (b *Book[W, S]) Count(step S) int { return b.byStep[step] }

// Len returns the number of reservations.
func (b *Book[W, S]) Len() int { return len(b.byWorker) }

// On returns the reservation on a worker, or nil.
func (b *Book[W, S]) On(worker W) *Reservation[W, S] { return b.byWorker[worker] }

// MayReserve reports whether a step may get a reservation now.
func (b *Book[W, S]) MayReserve(now Instant, step S) bool { return now >= b.restUntil[step] }

// Rest keeps a step from getting a reservation until the given time.
func (b *Book[W, S]) Rest(step S, until Instant) { b.restUntil[step] = until }

// Add makes a reservation on a worker that has none.
func (b *Book[W, S]) Add(now Instant, r Reservation[W, S]) {
	r.made = now
	b.byWorker[r.Worker] = &r
	b.byStep[r.Step]++
}

func (b *Book[W, S]) remove(r *Reservation[W, S]) {
	delete(b.byWorker, r.Worker)
	if b.byStep[r.Step]--; b.byStep[r.Step] <= 0 {
		delete(b.byStep, r.Step)
	}
}

// Used ends the reservation on a worker after a task of its step was placed there, and reports
// whether there was one.
func (b *Book[W, S]) Used(worker W, step S) bool {
	r := b.byWorker[worker]
	if r == nil || r.Step != step {
		return false
	}
	b.remove(r)
	return true
}

// Update ends the reservations that are over: those that have expired, those on workers that
// may not take tasks any more, and those of steps with fewer waiting tasks than reservations, the
// last to be ready first. wanted returns the number of waiting tasks of a step. Update returns the
// workers whose reservations it has ended.
func (b *Book[W, S]) Update(now Instant, usable func(W) bool, wanted func(S) int) (freed []W) {
	for _, r := range b.byWorker {
		switch {
		case !usable(r.Worker):
			b.remove(r)
			freed = append(freed, r.Worker)
		case now >= r.expires():
			b.remove(r)
			freed = append(freed, r.Worker)
			b.Rest(r.Step, now+(now-r.made))
		}
	}
	for step, until := range b.restUntil {
		if now >= until {
			delete(b.restUntil, step)
		}
	}
	for step, n := range b.byStep {
		if surplus := n - wanted(step); surplus > 0 {
			freed = append(freed, b.removeLast(step, surplus)...)
		}
	}
	return freed
}

// removeLast ends the n reservations of a step that are the last to be ready, and returns their
// workers.
func (b *Book[W, S]) removeLast(step S, n int) (freed []W) {
	var own []*Reservation[W, S]
	for _, r := range b.byWorker {
		if r.Step == step {
			own = append(own, r)
		}
	}
	slices.SortFunc(own, func(a, b *Reservation[W, S]) int { return int(b.Ready - a.Ready) })
	for _, r := range own[:n] {
		b.remove(r)
		freed = append(freed, r.Worker)
	}
	return freed
}

// Allows reports whether a task of a step may start on a worker with the given free room: the
// worker is not reserved for another step, the task leaves the reserved room free, ends before
// it is needed, or has a higher priority.
func (b *Book[W, S]) Allows(worker W, step S, priority int, size, free platform.Resources, endsBy func() Instant) bool {
	r := b.byWorker[worker]
	if r == nil || r.Step == step || priority < r.Priority {
		return true
	}
	return leaves(size, r.Size, free) || endsBy()+endMargin <= r.Ready
}

// leaves reports whether a task takes nothing of what is reserved. Of a resource of which it needs
// nothing there may be too little.
func leaves(size, reserved, free platform.Resources) bool {
	fits := func(size, reserved, free int64) bool { return size == 0 || size+reserved <= free }
	return fits(size.MilliCPU, reserved.MilliCPU, free.MilliCPU) && fits(size.MemoryMB, reserved.MemoryMB, free.MemoryMB) &&
		fits(size.Accelerators, reserved.Accelerators, free.Accelerators)
}
