// Package worker simulates a worker for tests and trials. A simulated worker runs
// tasks under leases, reports on them and opens endpoints for the services placed
// on it. Time comes from Config.Clock, and faults are injected by a script.
package worker

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/telemetry"
	"github.com/siskinvane/siskinvane/internal/standin/interference"
)

// Clock returns the time since a fixed instant. All workers of a test share one
// clock, so that their runs can be compared.
type Clock func() time.Duration

const (
	// checkpointDuration is the time that writing a checkpoint takes.
	checkpointDuration = time.Second
	// failDelay is the time from the start of an attempt to its injected failure.
	failDelay = 500 * time.Millisecond
	// samplePeriod is the time between samples of usage and latency.
	samplePeriod = 5 * time.Second
	maxSamples   = 12
	// fenceRetention is how long a fence of an attempt is kept at least.
	fenceRetention = time.Hour
	// maxHistory bounds the ended runs kept. It is also the number of fences from
	// which on those older than fenceRetention are deleted.
	maxHistory = 1 << 16
)

// Config describes a worker.
type Config struct {
	ID             platform.WorkerID
	Rack           platform.RackID
	Domain         platform.FailureDomain
	Capacity       platform.Resources
	MaxConnections int64
	Clock          Clock
	// Lag is the age of the usage figures in a report.
	Lag time.Duration
	// Seed determines the actual demand of tasks, see DemandOf.
	Seed uint64
	// Interference defines how tasks slow down their neighbours; nil means not at
	// all.
	Interference *interference.Table
	// OpenEndpoint opens an endpoint for a service attempt and returns its
	// address and a function that closes it. If nil, services get no endpoint.
	OpenEndpoint func(r platform.StartRequest) (netip.AddrPort, func(), error)
	// Tracing records a span for each start call. It may be nil.
	Tracing *telemetry.Tracing
}

// Worker is a simulated worker. From returns its control interface, which
// implements platform.Worker. It is safe for concurrent use.
type Worker struct {
	config Config
	// Executions counts the requests executed by the worker's endpoints.
	Executions Executions
	// Faults are the injected faults.
	Faults Faults

	mu             sync.Mutex
	bootCount      int
	bootedAt       time.Duration
	simulatedUntil time.Duration
	lastSampleAt   time.Duration
	generation     uint64
	attempts       map[platform.TaskID]*attempt
	fenced         map[platform.TaskID]attemptFence
	epochs         map[platform.ShardID]platform.Epoch
	capacity       platform.Resources
	leaving        bool
	samples        []sample
	endedRuns      []Run
	droppedRuns    int
	wasted         time.Duration
	deferredCalls  []func()
}

// attemptFence is the highest attempt of a task that the worker refuses to start,
// and when it was last set.
type attemptFence struct {
	attempt platform.Attempt
	at      time.Duration
}

// New returns a worker without tasks.
func New(c Config) *Worker {
	w := &Worker{config: c, capacity: c.Capacity}
	w.boot(c.Clock())
	return w
}

// boot resets the worker to an empty state under a new boot identifier. The caller
// holds mu.
func (w *Worker) boot(at time.Duration) {
	w.bootCount++
	w.bootedAt, w.simulatedUntil, w.lastSampleAt = at, at, at
	w.generation = 1
	w.attempts = map[platform.TaskID]*attempt{}
	w.fenced = map[platform.TaskID]attemptFence{}
	w.epochs = map[platform.ShardID]platform.Epoch{}
	w.samples = nil
}

// ID returns the worker's identifier.
func (w *Worker) ID() platform.WorkerID { return w.config.ID }

func (w *Worker) bootID() string { return fmt.Sprintf("%s-%d", w.config.ID, w.bootCount) }

// now returns the time on the worker's own clock, which starts at zero with each
// boot.
func (w *Worker) now() platform.WorkerTime {
	return platform.WorkerTime(w.config.Clock() - w.bootedAt)
}

// SetLeaving sets whether the worker is leaving. A leaving worker refuses to start
// attempts.
func (w *Worker) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = leaving
	w.generation++
}

// Kill ends all attempts immediately. The worker answers no call until Restart.
func (w *Worker) Kill() {
	w.Faults.setDown(true)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advanceToNow()
	for _, a := range w.attempts {
		w.endAttempt(a, platform.PhaseLapsed, w.config.Clock())
	}
	w.deferredCalls = nil
}

// Restart ends all attempts and starts the worker with a new boot.
func (w *Worker) Restart() {
	w.Kill()
	w.mu.Lock()
	w.boot(w.config.Clock())
	w.mu.Unlock()
	w.Faults.setDown(false)
}

// Pause makes calls fail without an answer; Resume executes them late. Attempts run
// on until their leases expire.
func (w *Worker) Pause() { w.Faults.setPaused(true) }

// Resume ends a pause and executes the calls that arrived in the meantime. Leases
// that expired during the pause have lapsed by then.
func (w *Worker) Resume() {
	w.mu.Lock()
	w.advanceToNow()
	delayed := w.deferredCalls
	w.deferredCalls = nil
	w.mu.Unlock()
	w.Faults.setPaused(false)
	for _, call := range delayed {
		call()
	}
}

// Run is the execution of one attempt. Its times are those of Config.Clock.
type Run struct {
	platform.TaskAttempt
	Worker platform.WorkerID
	Size   platform.Resources
	Began  time.Duration
	// Ended and Phase are zero while the attempt runs.
	Ended time.Duration
	Phase platform.TaskPhase
}

// EndedRuns returns the ended runs of all boots, starting with number from, and the
// number of the next run to end. Runs beyond the retained history are left out.
func (w *Worker) EndedRuns(from int) (runs []Run, next int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advanceToNow()
	at := max(0, from-w.droppedRuns)
	return append([]Run(nil), w.endedRuns[at:]...), w.droppedRuns + len(w.endedRuns)
}

// ActiveRuns returns the runs that have not ended.
func (w *Worker) ActiveRuns() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advanceToNow()
	var out []Run
	for _, a := range w.attempts {
		if a.phase == platform.PhaseRunning {
			out = append(out, a.toRun(w.config.ID))
		}
	}
	return out
}

// Capacity returns the total size of tasks that the worker can run.
func (w *Worker) Capacity() platform.Resources {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.capacity
}

// Wasted returns the processor time of batch work that was lost, because its attempt
// ended without finishing and without a checkpoint.
func (w *Worker) Wasted() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advanceToNow()
	return w.wasted
}
