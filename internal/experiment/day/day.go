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

// Plan is the configuration of a simulated day.
type Plan struct {
	Hosts   int `json:"hosts"`
	Workers int `json:"workers"`
	// NarrowHosts is the number of hosts, counted from the first one, whose network
	// link is too narrow for a preferred owner of the shard.
	NarrowHosts int `json:"narrow_hosts,omitempty"`
	// Seconds is how long callers submit jobs, QuietSeconds the time after that in
	// which all jobs must end.
	Seconds       int     `json:"seconds"`
	QuietSeconds  int     `json:"quiet_seconds"`
	JobsPerSecond float64 `json:"jobs_per_second"`
	// PayloadBytes is the size of the payload that each start order carries. Zero stands
	// for a few bytes.
	PayloadBytes int `json:"payload_bytes,omitempty"`
	// LongRunningShare is the fraction of jobs that run until their callers cancel them.
	LongRunningShare float64 `json:"long_running_share,omitempty"`
	// LongRunningStaySeconds is added to the time after which their callers cancel them.
	LongRunningStaySeconds int `json:"long_running_stay_seconds,omitempty"`
	// ServingShare is the fraction of jobs whose tasks serve users, until their callers
	// cancel them after ServingStaySeconds or up to half as long again. Their latency without
	// fillers swings between ServingLoadLow and ServingLoadHigh, as shares of their target.
	ServingShare       float64 `json:"serving_share,omitempty"`
	ServingStaySeconds int     `json:"serving_stay_seconds,omitempty"`
	ServingLoadLow     float64 `json:"serving_load_low,omitempty"`
	ServingLoadHigh    float64 `json:"serving_load_high,omitempty"`
	// FillerShare is the fraction of batch jobs whose tasks fill.
	FillerShare float64 `json:"filler_share,omitempty"`
	// GangShare is the fraction of steps that become gangs in addition to those drawn as such.
	GangShare float64 `json:"gang_share,omitempty"`
	// CrashingShare is the fraction of jobs with tasks that crash the workers that start
	// them.
	CrashingShare float64 `json:"crashing_share,omitempty"`
	// LeavingShare is the fraction of callers that leave before their submission is answered, and
	// cancel the job.
	LeavingShare float64 `json:"leaving_share,omitempty"`
	// LinkKBPerSecond is the bandwidth, in 1000 bytes per second and direction, of each
	// host's link to the workers. Zero stands for no limit.
	LinkKBPerSecond float64 `json:"link_kb_per_second,omitempty"`
	Faults          []Fault `json:"faults,omitempty"`
	// RandomFaults is the number of faults drawn in addition to Faults.
	RandomFaults int `json:"random_faults,omitempty"`
	// RandomReductions is the number of reductions of workers' capacities drawn in
	// addition to Faults.
	RandomReductions int `json:"random_reductions,omitempty"`
	// Seed seeds the generators of jobs, callers and faults.
	Seed uint64 `json:"-"`
}

// Report summarizes what callers and workers observed.
type Report struct {
	Jobs, Accepted, Done, Failed, Cancelled, Refused, Unknown int
	Tasks                                                     int
	// CrashingJobs is the number of accepted jobs with tasks that crash their workers,
	// CrashingFailed that of those that ended failed.
	CrashingJobs, CrashingFailed int
	// CrashesCaused is the number of workers' crashes that tasks have caused, RunsLost the
	// number of attempts that were running on workers when these crashed for any reason.
	CrashesCaused, RunsLost int
	// Violations describes the violated guarantees.
	Violations []string
	// Waiting describes the tasks that waited although they could run, and the hosts that
	// counted too few pending jobs.
	Waiting []string
	// WaitingAtEnd are those of Waiting that go on finishTime after the last submission.
	WaitingAtEnd []string
	// WaitingAtFinish are the tasks that had waited finishTime after the last submission,
	// whatever faults were active then.
	WaitingAtFinish []string
	// LongestWait is the longest time for which a task waited although it could run, at any
	// load. For batch tasks there is no bound on it while half of the processors are in use.
	LongestWait IdleWait
	// RanOn is the longest time for which a task ran on after the cancellation of its job
	// was acknowledged.
	RanOn time.Duration
	// Half and Most are the median and the 95th percentile of the time from a job's
	// submission until a host reported it as ended.
	Half, Most time.Duration
	// Middle is the mean of the middle half of these times. Unlike Half it does not jump where
	// no job ends for a while.
	Middle time.Duration
	Faults []Fault
	// NextStart is the time from each fault to the next task start, or -1 if no task
	// started after it.
	NextStart []time.Duration
}

// startupTime is the time between the start of the hosts and the first job.
const startupTime = 2 * time.Second

// declarationsStream selects the random numbers that versions of the declarations are drawn
// from, and the other streams are added to a caller's number for those that its job's crashes,
// additional gangs, colocation and its leaving are drawn from. The streams of callers are numbered from 1.
const (
	declarationsStream = 1 << 32
	crashingStream     = 1 << 33
	gangStream         = 1 << 34
	colocationStream   = 1 << 35
	leavingStream      = 1 << 36
)

// reductionsStream selects the random numbers that reductions of capacities are drawn from.
const reductionsStream = 1<<32 + 1

// wavePollInterval is the interval between two checks whether all upkeep waves have
// ended.
const wavePollInterval = 500 * time.Millisecond

// Run simulates a day: it starts the hosts, injects the faults while callers submit
// jobs, and waits for jobs and upkeep waves to end within the quiet time.
func Run(p Plan, logger *logrus.Logger) (Report, error) {
	random := rand.New(rand.NewPCG(p.Seed, 0))
	duration := time.Duration(p.Seconds) * time.Second
	faults := append(slices.Clone(p.Faults), DrawFaults(random, p.RandomFaults, p.Hosts, p.Workers, duration)...)
	faults = append(faults, DrawReductions(rand.New(rand.NewPCG(p.Seed, reductionsStream)), p.RandomReductions, p.Workers, duration)...)
	sim := newSimulation(p.Hosts, p.Workers, logger)
	sim.linkBytesPerSecond = p.LinkKBPerSecond * 1000
	sim.narrowHosts = p.NarrowHosts
	sim.colocate(p)
	for _, h := range sim.hosts {
		if err := h.start(); err != nil {
			return Report{}, err
		}
	}
	time.Sleep(startupTime)
	var injections sync.WaitGroup
	for _, f := range faults {
		injections.Go(func() { sim.inject(f) })
	}
	end := duration + time.Duration(p.QuietSeconds)*time.Second
	ctx, cancel := context.WithTimeout(context.Background(), end)
	defer cancel()
	declaring, stopDeclaring := context.WithCancel(ctx)
	defer stopDeclaring()
	var background sync.WaitGroup
	background.Go(func() { sim.changeDeclarations(declaring, rand.New(rand.NewPCG(p.Seed, declarationsStream))) })
	var staleDeclarations []string
	background.Go(func() { staleDeclarations = sim.checkDeclarations(declaring) })
	var waiting *waitingCheck
	background.Go(func() { waiting = sim.checkWaiting(declaring) })
	callers := sim.runCallers(ctx, p, random)
	injections.Wait()
	for sim.cluster.OpenWaves() > 0 && ctx.Err() == nil {
		_ = pause.For(ctx, wavePollInterval)
	}
	stopDeclaring()
	background.Wait()
	for _, h := range sim.runningHosts() {
		h.kill()
	}
	r := summarize(sim, callers)
	r.Violations = append(r.Violations, staleDeclarations...)
	r.Violations = append(r.Violations, sim.evacuations.violations...)
	r.Waiting, r.WaitingAtEnd, r.LongestWait = waiting.violations, waiting.atEnd, waiting.longest
	r.WaitingAtFinish = waiting.atFinish
	r.Faults = faults
	for _, f := range faults {
		at := startupTime + time.Duration(f.AtMS)*time.Millisecond
		r.NextStart = append(r.NextStart, sim.cluster.NextStart(at))
	}
	return r, nil
}

// callerGaps draws the times between the callers, and from the last one to the end of traffic.
func callerGaps(p Plan, random *rand.Rand) []time.Duration {
	gaps := make([]time.Duration, int(float64(p.Seconds)*p.JobsPerSecond))
	for i := range gaps {
		gaps[i] = time.Duration(random.ExpFloat64() / p.JobsPerSecond * float64(time.Second))
	}
	return gaps
}

// runCallers starts callers at random intervals, then waits until all have finished.
func (sim *simulation) runCallers(ctx context.Context, p Plan, random *rand.Rand) []*caller {
	var callers []*caller
	var done sync.WaitGroup
	for number, gap := range callerGaps(p, random) {
		c := newCaller(sim, number+1, p, rand.New(rand.NewPCG(p.Seed, uint64(number+1))))
		callers = append(callers, c)
		done.Go(func() { c.run(ctx) })
		time.Sleep(gap)
	}
	sim.trafficEndedAt.Store(int64(sim.now()))
	done.Wait()
	return callers
}

// summarize aggregates the results of callers and workers into a report.
func summarize(sim *simulation, callers []*caller) Report {
	r := Report{
		Jobs: len(callers), Tasks: sim.cluster.Starts(), Violations: sim.cluster.Violations(), RanOn: sim.cluster.RanOn(sim.now()),
		CrashesCaused: sim.cluster.CrashesCaused(), RunsLost: sim.cluster.RunsLost(),
	}
	if n := sim.cluster.OpenWaves(); n > 0 {
		r.Violations = append(r.Violations, fmt.Sprintf("LATE: %d waves of upkeep are not over", n))
	}
	var durations []time.Duration
	for _, c := range callers {
		r.Violations = append(r.Violations, c.violations...)
		incrementIf(&r.Accepted, c.accepted)
		incrementIf(&r.Cancelled, c.cancelled)
		incrementIf(&r.Refused, c.refused)
		incrementIf(&r.Unknown, c.outcomeUnknown)
		incrementIf(&r.Done, c.finalState == job.Done)
		incrementIf(&r.Failed, c.finalState == job.Failed)
		incrementIf(&r.CrashingJobs, c.crashing && c.accepted)
		incrementIf(&r.CrashingFailed, c.crashing && c.finalState == job.Failed)
		if c.finalState.Final() {
			durations = append(durations, c.duration)
		}
		if c.accepted && !c.cancelled && !c.finalState.Final() {
			r.Violations = append(r.Violations, fmt.Sprintf("LOST: job %s was accepted and is not over", c.id))
		}
		if c.refused && !c.accepted && !c.outcomeUnknown && sim.cluster.Started(c.id) {
			r.Violations = append(r.Violations, fmt.Sprintf("REFUSED: job %s was refused and has run", c.id))
		}
	}
	if len(durations) > 0 {
		slices.Sort(durations)
		r.Half, r.Most = durations[len(durations)/2], durations[len(durations)*19/20]
		r.Middle = mean(durations[len(durations)/4 : len(durations)-len(durations)/4])
	}
	return r
}

func incrementIf(n *int, condition bool) {
	if condition {
		*n++
	}
}

// Print writes the report as a table, followed by the violations.
func (r Report) Print(out io.Writer) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	rows := []struct {
		name  string
		value any
	}{
		{"jobs", r.Jobs}, {"accepted", r.Accepted}, {"done", r.Done}, {"failed", r.Failed}, {"cancelled", r.Cancelled},
		{"with crashing tasks", r.CrashingJobs}, {"of these failed", r.CrashingFailed},
		{"workers crashed by tasks", r.CrashesCaused}, {"attempts lost in crashes", r.RunsLost},
		{"refused at least once", r.Refused}, {"left open at least once", r.Unknown}, {"tasks started", r.Tasks},
		{"time until over, half", r.Half.Round(time.Millisecond)}, {"time until over, 19 of 20", r.Most.Round(time.Millisecond)},
		{"longest run after a cancellation", r.RanOn.Round(time.Millisecond)}, {"faults", len(r.Faults)}, {"broken promises", len(r.Violations)}, {"waited although there was room", len(r.Waiting)},
		{"longest wait although there was room", r.LongestWait},
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

// mean returns the mean of at least one duration.
func mean(list []time.Duration) time.Duration {
	var sum time.Duration
	for _, d := range list {
		sum += d
	}
	return sum / time.Duration(len(list))
}
