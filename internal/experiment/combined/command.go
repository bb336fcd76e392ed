// Package combined tests the whole system under random faults: it compares the answers
// that callers and operators got with what the workers actually ran. A script starts
// the processes; this package generates load and faults.
package combined

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"path/filepath"
	"sort"
	"sync"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/httpapi"
	"github.com/siskinvane/siskinvane/internal/process/settings"
)

// Command is the subcommand "combined" of siskin-bench.
type Command struct {
	Out       io.Writer     `no-flag:"true"`
	Directory string        `long:"dir" required:"yes" value-name:"DIR" description:"settings files of the hosts; pid files lie in DIR/pids"`
	Seed      uint64        `long:"seed" default:"1" description:"seed of load and faults"`
	For       time.Duration `long:"for" default:"20s" description:"how long faults are brought about"`
	Settle    time.Duration `long:"settle" default:"180s" description:"how long all jobs may take to end afterwards"`
	Callers   int           `long:"callers" default:"8" description:"callers at a time"`
	Service   string        `long:"service" default:"diary" description:"service that is called"`
	Bound     time.Duration `long:"bound" default:"150ms" description:"latency target of the service"`
}

// templates lists the templates of bench/combined.json, with tasks of 1, 8 and 25 s.
var templates = []platform.TemplateName{"short", "medium", "long"}

// errViolation reports that the system violated a guarantee.
var errViolation = errors.New("a guarantee was violated")

// run holds the state of one run.
type run struct {
	command      *Command
	hosts        []settings.Host
	balancer     balancer
	apiClient    *httpapi.Client
	hostListAddr netip.AddrPort
	logAddr      netip.AddrPort
	stop         chan struct{}

	mu      sync.Mutex
	results []callResult
	jobs    []job
	report  Report
	// plannedStops lists the planned stops of entries.
	plannedStops []plannedStop
}

// Execute implements flags.Commander.
func (c *Command) Execute([]string) error {
	r, err := newRun(c)
	if err != nil {
		return err
	}
	if err := r.awaitEntries(); err != nil {
		return err
	}
	var work sync.WaitGroup
	work.Go(r.probeLoop)
	for i := range c.Callers {
		work.Go(func() { r.callLoop(rand.New(rand.NewPCG(c.Seed, uint64(i)))) })
	}
	work.Go(func() { r.submitLoop(rand.New(rand.NewPCG(c.Seed, 1<<32))) })
	work.Go(r.watchCapacity)
	var faults sync.WaitGroup
	for i, group := range [][]fault{logFaults, workerFaults, processFaults} {
		faults.Go(func() { r.faultLoop(group, rand.New(rand.NewPCG(c.Seed, 1<<33+uint64(i)))) })
	}
	faults.Wait()
	r.clearFaults()
	close(r.stop)
	work.Wait()
	r.awaitJobs()
	if err := r.checkResults(); err != nil {
		return err
	}
	r.report.write(c.Out)
	if r.report.violationCount() > 0 {
		return errViolation
	}
	return nil
}

func newRun(c *Command) (*run, error) {
	paths, err := filepath.Glob(filepath.Join(c.Directory, "*.json"))
	if err != nil || len(paths) == 0 {
		return nil, fmt.Errorf("no settings files in %s", c.Directory)
	}
	sort.Strings(paths)
	r := &run{command: c, stop: make(chan struct{})}
	for _, p := range paths {
		h, err := settings.Load(p)
		if err != nil {
			return nil, err
		}
		r.hosts = append(r.hosts, h)
	}
	r.hostListAddr, r.logAddr = r.hosts[0].HostList, r.hosts[0].Log
	r.apiClient, err = httpapi.NewClient(0)
	return r, err
}

// awaitEntries waits until every entry has answered a request.
func (r *run) awaitEntries() error {
	const timeout = 60 * time.Second
	for _, h := range r.hosts {
		deadline := time.Now().Add(timeout)
		for r.call(h, "GET", "warm-up").status != 200 {
			if time.Now().After(deadline) {
				return fmt.Errorf("entry %s did not answer the warm-up requests in time", h.ID)
			}
			time.Sleep(pollPeriod)
		}
	}
	return nil
}

const pollPeriod = 200 * time.Millisecond

// loadStopped reports whether the load generators must stop.
func (r *run) loadStopped() bool {
	select {
	case <-r.stop:
		return true
	default:
		return false
	}
}
