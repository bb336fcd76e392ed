// Package probe decides when a suspect worker, one that fails the tasks it starts, gets
// another task. The caller decides from the task table which workers are suspect, with
// the same result on every host; this package excludes suspect workers from placement
// and probes them with one task at a time. It does no I/O and is not safe for concurrent
// use.
package probe

import (
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
)

const (
	// MinBackoff is the time until an excluded worker gets its first probe. The time
	// doubles with each failed probe, up to MaxBackoff.
	MinBackoff = 30 * time.Second
	MaxBackoff = 10 * time.Minute
)

// suspectWorker is the state of a suspect worker.
type suspectWorker struct {
	nextProbe time.Time
	backoff   time.Duration
	// task is the probe in progress, or empty.
	task platform.TaskID
}

// Prober tracks the suspect workers and their probes.
type Prober struct {
	workers map[platform.WorkerID]*suspectWorker
}

// NewProber returns a Prober without suspect workers.
func NewProber() *Prober { return &Prober{workers: map[platform.WorkerID]*suspectWorker{}} }

// Excluded reports whether a worker is excluded from placement at the time now, and
// updates whether the worker is suspect. A suspect worker whose probe is due is not
// excluded until it has been assigned a task.
func (p *Prober) Excluded(id platform.WorkerID, suspect bool, now time.Time) bool {
	w := p.workers[id]
	if !suspect {
		delete(p.workers, id)
		return false
	}
	if w == nil {
		p.workers[id] = &suspectWorker{nextProbe: now.Add(MinBackoff), backoff: MinBackoff}
		return true
	}
	return w.task != "" || now.Before(w.nextProbe)
}

// Assigned records that a task was assigned to a worker. On a suspect worker without a
// probe the task becomes the probe.
func (p *Prober) Assigned(id platform.WorkerID, task platform.TaskID) {
	if w := p.workers[id]; w != nil && w.task == "" {
		w.task = task
	}
}

// Ended records that an attempt ended on a worker. A failed probe doubles the time until
// the next one; after any other end of a probe the next one may start immediately.
func (p *Prober) Ended(id platform.WorkerID, task platform.TaskID, failed bool, now time.Time) {
	w := p.workers[id]
	if w == nil || w.task != task {
		return
	}
	w.task = ""
	if failed {
		w.backoff = min(2*w.backoff, MaxBackoff)
		w.nextProbe = now.Add(w.backoff)
	}
}

// Forget removes a worker that no longer exists.
func (p *Prober) Forget(id platform.WorkerID) { delete(p.workers, id) }
