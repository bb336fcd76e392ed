package combined

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/httpapi"
	"github.com/siskinvane/siskinvane/internal/standin/logservice"
	"github.com/siskinvane/siskinvane/internal/standin/worker"
)

const (
	// Bounds of the duration of a fault and of the pause before the next one.
	minFaultDuration = time.Second
	maxFaultDuration = 16 * time.Second
	maxFaultPause    = 2 * time.Second
)

// fault is a kind of fault; begin injects it and returns the function that reverts it.
type fault struct {
	name  string
	begin func(r *run, random *rand.Rand) (end func())
}

// Faults of one group are injected one after another. The groups run concurrently, so
// that faults of different groups overlap.
var (
	logFaults = []fault{
		{"log down", logFault(logservice.FaultSet{Down: true})},
		{"log slow", logFault(logservice.FaultSet{DelayMillis: 400})},
		{"log answers lost", logFault(logservice.FaultSet{LoseAnswers: 5})},
		{"log reads repeated", logFault(logservice.FaultSet{DuplicateReads: 20})},
		{"host cut off from the log", cutHostFromLog},
	}
	workerFaults = []fault{
		{"worker killed", killWorker},
		{"worker paused", pauseWorker},
		{"worker answers lost", workerFault(worker.FaultScript{LoseAnswers: 4})},
		{"worker fails starts", workerFault(worker.FaultScript{FailStarts: true})},
		{"worker unreachable from a host", workerUnreachableFromHost},
	}
	processFaults = []fault{
		{"placer killed", signalRandomProcess("siskin-placer", syscall.SIGKILL)},
		{"placer stopped", signalRandomProcess("siskin-placer", syscall.SIGTERM)},
		{"placer paused", pauseRandomProcess("siskin-placer")},
		{"entry killed", signalRandomProcess("siskin-entry", syscall.SIGKILL)},
		{"entry stopped", stopEntry},
	}
)

// faultLoop injects random faults of a group one after another.
func (r *run) faultLoop(faults []fault, random *rand.Rand) {
	for deadline := time.Now().Add(r.command.For); time.Now().Before(deadline); {
		end := r.beginRandomFault(faults, random)
		time.Sleep(minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration))))
		end()
		time.Sleep(time.Duration(random.Int64N(int64(maxFaultPause))))
	}
}

func (r *run) beginRandomFault(faults []fault, random *rand.Rand) (end func()) {
	f := faults[random.IntN(len(faults))]
	r.mu.Lock()
	r.report.countFault(f.name)
	r.mu.Unlock()
	return f.begin(r, random)
}

// clearFaults clears all faults of the stand-ins.
func (r *run) clearFaults() {
	r.callStandin(r.logAddr, "PUT", logservice.PathFaults, logservice.FaultSet{})
	for _, w := range r.workers() {
		r.callStandin(w.Addr, "POST", worker.PathFaults, worker.FaultScript{})
	}
}

// callStandin calls a stand-in. Errors are ignored: the next fault calls again.
func (r *run) callStandin(addr netip.AddrPort, method, path string, in any) {
	_ = r.apiClient.Call(context.Background(), addr, method, path, in, nil)
}

// workers returns the workers on the host list, or nil if the list is unavailable.
func (r *run) workers() []platform.Host {
	var reply httpapi.HostsReply
	if r.apiClient.Call(context.Background(), r.hostListAddr, "GET", httpapi.PathHosts, nil, &reply) != nil {
		return nil
	}
	var out []platform.Host
	for _, h := range reply.Hosts {
		if h.Role == platform.RoleWorker {
			out = append(out, h)
		}
	}
	return out
}

func (r *run) randomWorker(random *rand.Rand) platform.Host {
	workers := r.workers()
	if len(workers) == 0 {
		return platform.Host{}
	}
	return workers[random.IntN(len(workers))]
}

func logFault(set logservice.FaultSet) func(*run, *rand.Rand) func() {
	return func(r *run, _ *rand.Rand) func() {
		r.callStandin(r.logAddr, "PUT", logservice.PathFaults, set)
		return func() { r.callStandin(r.logAddr, "PUT", logservice.PathFaults, logservice.FaultSet{}) }
	}
}

func cutHostFromLog(r *run, random *rand.Rand) func() {
	h := r.hosts[random.IntN(len(r.hosts))]
	return logFault(logservice.FaultSet{CutOff: []string{string(h.ID)}})(r, random)
}

func killWorker(r *run, random *rand.Rand) func() {
	w := r.randomWorker(random)
	r.callStandin(w.Addr, "POST", worker.PathKill, nil)
	return func() { r.callStandin(w.Addr, "POST", worker.PathRestart, nil) }
}

func pauseWorker(r *run, random *rand.Rand) func() {
	w := r.randomWorker(random)
	r.callStandin(w.Addr, "POST", worker.PathPause, nil)
	return func() { r.callStandin(w.Addr, "POST", worker.PathResume, nil) }
}

func workerFault(script worker.FaultScript) func(*run, *rand.Rand) func() {
	return func(r *run, random *rand.Rand) func() {
		w := r.randomWorker(random)
		r.callStandin(w.Addr, "POST", worker.PathFaults, script)
		return func() { r.callStandin(w.Addr, "POST", worker.PathFaults, worker.FaultScript{}) }
	}
}

func workerUnreachableFromHost(r *run, random *rand.Rand) func() {
	h := r.hosts[random.IntN(len(r.hosts))]
	return workerFault(worker.FaultScript{UnreachableFrom: []platform.HostID{h.ID}})(r, random)
}

func signalRandomProcess(program string, sig syscall.Signal) func(*run, *rand.Rand) func() {
	return func(r *run, random *rand.Rand) func() {
		r.signal(program, r.hosts[random.IntN(len(r.hosts))].ID, sig)
		return func() {}
	}
}

func pauseRandomProcess(program string) func(*run, *rand.Rand) func() {
	return func(r *run, random *rand.Rand) func() {
		id := r.hosts[random.IntN(len(r.hosts))].ID
		r.signal(program, id, syscall.SIGSTOP)
		return func() { r.signal(program, id, syscall.SIGCONT) }
	}
}

// plannedStop records when an entry was told to shut down.
type plannedStop struct {
	host platform.HostID
	at   time.Time
}

func stopEntry(r *run, random *rand.Rand) func() {
	id := r.hosts[random.IntN(len(r.hosts))].ID
	r.mu.Lock()
	r.plannedStops = append(r.plannedStops, plannedStop{host: id, at: time.Now()})
	r.mu.Unlock()
	r.signal("siskin-entry", id, syscall.SIGTERM)
	return func() {}
}

// signal sends a signal to the process that a pid file names. The script that starts
// the processes maintains these files.
func (r *run) signal(program string, id platform.HostID, sig syscall.Signal) {
	path := filepath.Join(r.command.Directory, "pids", fmt.Sprintf("%s-%s", program, id))
	data, err := os.ReadFile(path)
	if err != nil {
		return
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(data)))
	if err != nil || pid <= 1 {
		return
	}
	// The error is ignored: a process that is being replaced no longer exists.
	_ = syscall.Kill(pid, sig)
}
