package day

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/process/pause"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// Plan describes a day.
type Plan struct {
	Hosts   int `json:"hosts"`
	Workers int `json:"workers"`
	// Seconds is how long callers hand jobs in, QuietSeconds the time afterwards
	// until which all jobs have to be over.
	Seconds       int     `json:"seconds"`
	QuietSeconds  int     `json:"quiet_seconds"`
	JobsPerSecond float64 `json:"jobs_per_second"`
	Faults        []Fault `json:"faults,omitempty"`
	// RandomFaults is how many more faults are drawn.
	RandomFaults int `json:"random_faults,omitempty"`
	// Seed draws jobs, callers and faults.
	Seed uint64 `json:"-"`
}

// Report tells what callers and workers saw.
type Report struct {
	Jobs, Accepted, Done, Failed, Cancelled, Refused, Unknown int
	Tasks                                                     int
	// Violations are broken promises.
	Violations []string
	// Half and Most are the time until a job was shown as over for half of them and
	// for nineteen of twenty.
	Half, Most time.Duration
	Faults     []Fault
	// NextStart is the time from each fault to the next start of a task, or -1.
	NextStart []time.Duration
}

// startTime is the time that the hosts get before callers come.
const startTime = 2 * time.Second

// waveLook is the time between two looks whether all waves of upkeep are over.
const waveLook = 500 * time.Millisecond

// Run plays a day.
func Run(p Plan, logger *logrus.Logger) (Report, error) {
	random := rand.New(rand.NewPCG(p.Seed, 0))
	length := time.Duration(p.Seconds) * time.Second
	faults := append(slices.Clone(p.Faults), Random(random, p.RandomFaults, p.Hosts, p.Workers, length)...)
	w := newWorld(p.Hosts, p.Workers, logger)
	for _, h := range w.hosts {
		if err := h.start(); err != nil {
			return Report{}, err
		}
	}
	time.Sleep(startTime)
	var struck sync.WaitGroup
	for _, f := range faults {
		struck.Go(func() { w.apply(f) })
	}
	end := length + time.Duration(p.QuietSeconds)*time.Second
	ctx, cancel := context.WithTimeout(context.Background(), end)
	defer cancel()
	callers := w.load(ctx, p, random)
	struck.Wait()
	for w.cluster.OpenWaves() > 0 && ctx.Err() == nil {
		_ = pause.For(ctx, waveLook)
	}
	for _, h := range w.live() {
		h.kill()
	}
	r := summarize(w, callers)
	r.Faults = faults
	for _, f := range faults {
		at := startTime + time.Duration(f.AtMS)*time.Millisecond
		r.NextStart = append(r.NextStart, w.cluster.NextStart(at))
	}
	return r, nil
}

// load lets callers come until the day is over and waits for them.
func (w *world) load(ctx context.Context, p Plan, random *rand.Rand) []*caller {
	var callers []*caller
	var done sync.WaitGroup
	for number := range int(float64(p.Seconds) * p.JobsPerSecond) {
		c := newCaller(w, number+1, rand.New(rand.NewPCG(p.Seed, uint64(number+1))))
		callers = append(callers, c)
		done.Go(func() { c.run(ctx) })
		time.Sleep(time.Duration(random.ExpFloat64() / p.JobsPerSecond * float64(time.Second)))
	}
	done.Wait()
	return callers
}

// summarize counts what happened.
func summarize(w *world, callers []*caller) Report {
	r := Report{Jobs: len(callers), Tasks: w.cluster.Starts(), Violations: w.cluster.Violations()}
	if n := w.cluster.OpenWaves(); n > 0 {
		r.Violations = append(r.Violations, fmt.Sprintf("LATE: %d waves of upkeep are not over", n))
	}
	var took []time.Duration
	for _, c := range callers {
		r.Violations = append(r.Violations, c.faults...)
		count(&r.Accepted, c.accepted)
		count(&r.Cancelled, c.cancelled)
		count(&r.Refused, c.refused)
		count(&r.Unknown, c.unknown)
		count(&r.Done, c.over == job.Done)
		count(&r.Failed, c.over == job.Failed)
		if c.over.Final() {
			took = append(took, c.took)
		}
		if c.accepted && !c.cancelled && !c.over.Final() {
			r.Violations = append(r.Violations, fmt.Sprintf("LOST: job %s was accepted and is not over", c.id))
		}
		if c.refused && !c.accepted && !c.unknown && w.cluster.Started(c.id) {
			r.Violations = append(r.Violations, fmt.Sprintf("REFUSED: job %s was refused and has run", c.id))
		}
	}
	if len(took) > 0 {
		slices.Sort(took)
		r.Half, r.Most = took[len(took)/2], took[len(took)*19/20]
	}
	return r
}

func count(n *int, yes bool) {
	if yes {
		*n++
	}
}

// Print writes the report as a table.
func (r Report) Print(out io.Writer) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	rows := []struct {
		name  string
		value any
	}{
		{"jobs", r.Jobs}, {"accepted", r.Accepted}, {"done", r.Done}, {"failed", r.Failed}, {"cancelled", r.Cancelled},
		{"refused at least once", r.Refused}, {"left open at least once", r.Unknown}, {"tasks started", r.Tasks},
		{"time until over, half", r.Half.Round(time.Millisecond)}, {"time until over, 19 of 20", r.Most.Round(time.Millisecond)},
		{"faults", len(r.Faults)}, {"broken promises", len(r.Violations)},
	}
	for _, row := range rows {
		fmt.Fprintf(t, "%s\t%v\n", row.name, row.value)
	}
	for i, f := range r.Faults {
		fmt.Fprintf(t, "%s of host %d, worker %d, at %v for %v\tnext start after %v\n", f.Kind, f.Host, f.Worker,
			time.Duration(f.AtMS)*time.Millisecond, time.Duration(f.ForMS)*time.Millisecond, r.NextStart[i].Round(time.Millisecond))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if len(r.Violations) == 0 {
		return nil
	}
	_, err := fmt.Fprintln(out, strings.Join(r.Violations, "\n"))
	return err
}
