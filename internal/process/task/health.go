package task

import (
	"slices"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
)

const (
	// SuspectAfterKinds is the number of different kinds of work that must fail on a
	// worker, with no task finished between these failures, before the worker is suspect.
	SuspectAfterKinds = 3
	// UnrunnableAfterWorkers is the number of workers, none of them suspect, on which a
	// batch task must fail before the task is considered unrunnable.
	UnrunnableAfterWorkers = 3
	// MaxFailingWorkers bounds the workers whose failures are recorded.
	MaxFailingWorkers = 512
)

// failingWorkers lists, for each worker with failures, the kinds of work that failed
// there since the last success. A kind is a template or a service.
type failingWorkers map[platform.WorkerID][]string

// workKind returns the kind of work of a job.
func workKind(j *record.Job) string {
	if j.Service != "" {
		return "service " + string(j.Service)
	}
	return "template " + string(j.Template)
}

// recordTransition updates the failures for a transition. It must be called before
// the transition is applied.
func (f failingWorkers) recordTransition(t *Task, tr *record.Transition) {
	switch {
	case tr.State == record.Finished:
		delete(f, t.Worker)
	case tr.End == record.EndFailed || tr.State == record.Failed:
		f.addFailure(t.Worker, workKind(t.job.Spec))
	}
}

func (f failingWorkers) addFailure(w platform.WorkerID, kind string) {
	if len(f[w]) < SuspectAfterKinds && !slices.Contains(f[w], kind) {
		f[w] = append(f[w], kind)
	}
	if len(f) > MaxFailingWorkers {
		f.dropOneExcept(w)
	}
}

// dropOneExcept drops a worker with the fewest failed kinds, other than keep.
func (f failingWorkers) dropOneExcept(keep platform.WorkerID) {
	var dropped platform.WorkerID
	for w, kinds := range f {
		if w == keep {
			continue
		}
		if dropped == "" || len(kinds) < len(f[dropped]) || (len(kinds) == len(f[dropped]) && w < dropped) {
			dropped = w
		}
	}
	delete(f, dropped)
}

func (f failingWorkers) digest() uint64 {
	var sum uint64
	for w, kinds := range f {
		sum ^= itemHash(workerFailures{Worker: w, Kinds: kinds})
	}
	return sum
}

// workerFailures is the encoded form of one entry of failingWorkers.
type workerFailures struct {
	Worker platform.WorkerID `cbor:"1,keyasint"`
	Kinds  []string          `cbor:"2,keyasint"`
}

// Suspect reports whether the worker fails all work that it starts: SuspectAfterKinds
// kinds of work have failed there and none has finished since.
func (t *Table) Suspect(w platform.WorkerID) bool { return len(t.failing[w]) >= SuspectAfterKinds }

// UnrunnableAfterFailure reports whether a batch task becomes unrunnable with one more
// failure, on worker w: it has then failed on UnrunnableAfterWorkers workers that are
// not suspect, so that the task and not a worker is the cause. Tasks of services never
// do.
func (t *Table) UnrunnableAfterFailure(task *Task, w platform.WorkerID) bool {
	if task.Spec().Service != "" || t.Suspect(w) {
		return false
	}
	n := 1
	for _, other := range task.FailedOn {
		if other != w && !t.Suspect(other) {
			n++
		}
	}
	return n >= UnrunnableAfterWorkers
}
