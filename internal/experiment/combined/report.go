package combined

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"sort"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/httpapi"
	"github.com/siskinvane/siskinvane/internal/process/placer"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/request/outcome"
	"github.com/siskinvane/siskinvane/internal/standin/oracle"
	"github.com/siskinvane/siskinvane/internal/standin/worker"
)

// Report is the result of a run. The counters of the second group must be zero.
type Report struct {
	Requests     int
	InsideTarget int
	Answered     int
	NotRun       int
	Unknown      int
	// Broken counts requests whose connection broke before the answer was complete.
	Broken        int
	Jobs          int
	Tasks         int
	TasksFinished int
	Faults        map[string]int

	RanTwice      int
	NotRunButRan  int
	WrongAnswer   int
	AnsweredUnrun int
	CutByStop     int
	TasksLost     int
	TaskRanTwice  int
	OverCapacity  int
	// Details describes the first maxDetails violations.
	Details []string
}

const maxDetails = 10

func (r *Report) countFault(fault string) {
	if r.Faults == nil {
		r.Faults = map[string]int{}
	}
	r.Faults[fault]++
}

// addViolation counts a violated guarantee and describes it in Details.
func (r *Report) addViolation(counter *int, format string, args ...any) {
	*counter++
	if len(r.Details) < maxDetails {
		r.Details = append(r.Details, fmt.Sprintf(format, args...))
	}
}

func (r *Report) violationCount() int {
	return r.RanTwice + r.NotRunButRan + r.WrongAnswer + r.AnsweredUnrun + r.CutByStop +
		r.TasksLost + r.TaskRanTwice + r.OverCapacity
}

func (r *Report) write(out io.Writer) {
	names := make([]string, 0, len(r.Faults))
	for n := range r.Faults {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		fmt.Fprintf(out, "fault: %s %d\n", n, r.Faults[n])
	}
	fmt.Fprintf(out, "requests %d: answered %d, not-run %d, unknown %d, connection broken %d\n",
		r.Requests, r.Answered, r.NotRun, r.Unknown, r.Broken)
	fmt.Fprintf(out, "answered inside target: %.2f %%\n", percentBase*float64(r.InsideTarget)/float64(max(r.Answered, 1)))
	fmt.Fprintf(out, "jobs %d, tasks %d, finished %d\n", r.Jobs, r.Tasks, r.TasksFinished)
	fmt.Fprintf(out, "must be zero: requests run twice %d, told not-run but ran %d, wrong answer %d, answered but not run %d, "+
		"cut off by planned stops %d, tasks lost %d, tasks run twice at a time %d, over capacity %d\n",
		r.RanTwice, r.NotRunButRan, r.WrongAnswer, r.AnsweredUnrun, r.CutByStop, r.TasksLost, r.TaskRanTwice, r.OverCapacity)
	for _, d := range r.Details {
		fmt.Fprintln(out, "broken:", d)
	}
}

// watchCapacity periodically checks that no worker runs more than its capacity allows.
func (r *run) watchCapacity() {
	for !r.loadStopped() {
		for _, w := range r.workers() {
			r.checkCapacity(w)
		}
		time.Sleep(pollPeriod)
	}
}

func (r *run) checkCapacity(w platform.Host) {
	ctx := context.Background()
	var report platform.Report
	var runs []worker.Run
	if r.apiClient.Call(ctx, w.Addr, "GET", worker.PathRuns, nil, &runs) != nil {
		return
	}
	if r.apiClient.Call(ctx, w.Addr, "GET", httpapi.PathReport, nil, &report) != nil {
		return
	}
	var sum platform.Resources
	for _, run := range runs {
		if run.Phase == "" {
			sum = sum.Add(run.Size)
		}
	}
	if dim := sum.Exceeded(report.Capacity); dim != "" {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.report.addViolation(&r.report.OverCapacity, "worker %s holds more than its %s", w.ID, dim)
	}
}

// awaitJobs waits until every acknowledged job has finished, within Command.Settle for
// all of them, and counts the finished and the lost tasks.
func (r *run) awaitJobs() {
	deadline := time.Now().Add(r.command.Settle)
	for _, j := range r.jobs {
		r.report.Jobs++
		r.report.Tasks += j.tasks
		finished := r.awaitJob(j, deadline)
		r.report.TasksFinished += finished
		if finished < j.tasks {
			r.report.addViolation(&r.report.TasksLost, "job %s: %d of %d tasks finished", j.id, finished, j.tasks)
		}
	}
}

// awaitJob waits until all tasks of a job have finished or the deadline has passed, and
// returns the number of finished tasks.
func (r *run) awaitJob(j job, deadline time.Time) int {
	finished := 0
	for i := 0; ; i++ {
		var reply placer.JobReply
		h := r.hosts[i%len(r.hosts)]
		path := placer.PathJob + "?job=" + url.QueryEscape(string(j.id))
		if r.apiClient.Call(context.Background(), h.Control, "GET", path, nil, &reply) == nil {
			finished = 0
			for _, t := range reply.Tasks {
				if t.State == record.Finished.String() {
					finished++
				}
			}
		}
		if finished >= j.tasks || time.Now().After(deadline) {
			return finished
		}
		time.Sleep(pollPeriod)
	}
}

// checkResults checks the answers that callers got against what the workers ran.
func (r *run) checkResults() error {
	executions := map[string]int{}
	var runs []worker.Run
	for _, w := range r.workers() {
		var counts map[string]int
		var workerRuns []worker.Run
		if err := r.apiClient.Call(context.Background(), w.Addr, "GET", worker.PathExecutions, nil, &counts); err != nil {
			return fmt.Errorf("read executions of %s: %w", w.ID, err)
		}
		if err := r.apiClient.Call(context.Background(), w.Addr, "GET", worker.PathRuns, nil, &workerRuns); err != nil {
			return fmt.Errorf("read runs of %s: %w", w.ID, err)
		}
		for id, n := range counts {
			executions[id] += n
		}
		runs = append(runs, workerRuns...)
	}
	if err := oracle.CheckRuns(runs); err != nil {
		r.report.addViolation(&r.report.TaskRanTwice, "%v", err)
	}
	for _, res := range r.results {
		r.checkResult(res, executions[res.id])
	}
	return nil
}

func (r *run) checkResult(res callResult, executions int) {
	report := &r.report
	report.Requests++
	switch {
	case res.err != nil:
		report.Broken++
		if r.cutByPlannedStop(res) {
			report.addViolation(&report.CutByStop, "request %s at %s: %v", res.id, res.host, res.err)
		}
	case res.outcome == outcome.NotRun:
		report.NotRun++
		if executions > 0 {
			report.addViolation(&report.NotRunButRan, "request %s at %s ran %d times", res.id, res.host, executions)
		}
	case res.outcome == outcome.Unknown:
		report.Unknown++
	default:
		report.Answered++
		if res.duration <= r.command.Bound {
			report.InsideTarget++
		}
		if !res.bodyMatches {
			report.addViolation(&report.WrongAnswer, "request %s at %s: status %d", res.id, res.host, res.status)
		}
		if executions == 0 {
			report.addViolation(&report.AnsweredUnrun, "request %s at %s", res.id, res.host)
		}
	}
	if res.isWrite && executions > 1 {
		report.addViolation(&report.RanTwice, "request %s at %s ran %d times", res.id, res.host, executions)
	}
}

// plannedStopTimeout is the maximum duration of a planned stop.
const plannedStopTimeout = 10 * time.Second

// cutByPlannedStop reports whether a request whose connection broke was in progress
// during a planned stop of its entry.
func (r *run) cutByPlannedStop(res callResult) bool {
	for _, stop := range r.plannedStops {
		end := res.sentAt.Add(res.duration)
		if stop.host == res.host && end.After(stop.at) && res.sentAt.Before(stop.at.Add(plannedStopTimeout)) {
			return true
		}
	}
	return false
}
