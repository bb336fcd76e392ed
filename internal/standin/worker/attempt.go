package worker

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/siskinvane/siskinvane/internal/platform"
)

// attempt is the simulated state of one attempt of a task.
type attempt struct {
	request       platform.StartRequest
	demand        Demand
	phase         platform.TaskPhase
	startedAt     time.Duration
	endedAt       time.Duration
	leaseExpiry   time.Duration
	endpoint      netip.AddrPort
	closeEndpoint func()
	reason        string
	cpuPercent    int
	// workDone is the work completed so far. It includes resumedWork, the work
	// restored from the checkpoint that the attempt started from.
	workDone, resumedWork time.Duration
	// stopAt is when a stopping attempt ends, or zero if no stop was requested.
	stopAt           time.Duration
	checkpointOnStop bool
	checkpoint       string
	// willFail marks an attempt that fails failDelay after its start.
	willFail bool
}

func (a *attempt) id() platform.TaskAttempt {
	return platform.TaskAttempt{Task: a.request.Task, Attempt: a.request.Attempt}
}

func (a *attempt) toRun(w platform.WorkerID) Run {
	r := Run{TaskAttempt: a.id(), Worker: w, Size: a.request.Size, Began: a.startedAt}
	if a.phase != platform.PhaseRunning {
		r.Ended, r.Phase = a.endedAt, a.phase
	}
	return r
}

// Demand is the actual resource demand of a task, which may differ from the
// declared one and is not visible to the scheduler.
type Demand struct {
	// Work is the processor time that a batch task takes without interference.
	Work time.Duration
	// Usage is the resources that the task uses while it runs.
	Usage platform.Resources
}

// Bounds of the ratio of actual to declared demand.
const (
	minDemandFactor = 0.3
	maxDemandFactor = 4.0
)

// DemandOf returns the actual demand of the task that r starts. It is a pure
// function of the declared demand, the seed, and the template and service. Seed
// zero returns the declared demand.
func DemandOf(seed uint64, r platform.StartRequest) Demand {
	if seed == 0 {
		return Demand{Work: r.Work, Usage: r.Size}
	}
	kind := string(r.Template) + "/" + string(r.Service)
	usage := r.Size
	usage.MilliCPU = int64(float64(usage.MilliCPU) * demandFactor(seed, kind, "cpu"))
	usage.MemoryMB = int64(float64(usage.MemoryMB) * demandFactor(seed, kind, "memory"))
	return Demand{Work: time.Duration(float64(r.Work) * demandFactor(seed, kind, "work")), Usage: usage}
}

// demandFactor returns the ratio of actual to declared demand of one resource,
// between minDemandFactor and maxDemandFactor. Half of the ratios are below 1.
func demandFactor(seed uint64, kind, resource string) float64 {
	h := xxhash.Sum64String(fmt.Sprintf("%d %s %s", seed, kind, resource))
	x := float64(h>>11) / (1 << 53)
	if x < 0.5 {
		return minDemandFactor + 2*x*(1-minDemandFactor)
	}
	return 1 + (2*x-1)*(maxDemandFactor-1)
}

// checkpointID returns the identifier of a checkpoint. It encodes the work done,
// so that any worker can resume from it.
func checkpointID(a *attempt) string {
	return fmt.Sprintf("%s@%d:%d", a.request.Task, a.request.Attempt, a.workDone.Milliseconds())
}

// checkpointWork returns the work encoded in a checkpoint identifier, or zero if
// there is none.
func checkpointWork(checkpoint string) time.Duration {
	var millis int64
	if i := strings.LastIndexByte(checkpoint, ':'); i >= 0 {
		if _, err := fmt.Sscanf(checkpoint[i+1:], "%d", &millis); err != nil {
			return 0
		}
	}
	return time.Duration(millis) * time.Millisecond
}
