package history

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/siskinvane/siskinvane/internal/process/event"
)

// Losses counts, from the logs of any hosts, why jobs were not served within their
// objective.
type Losses struct {
	jobs map[string]*jobOutcome
}

// jobOutcome is what the logs contain about one job.
type jobOutcome struct {
	queue, refused, unknown string
	accepted, endless       bool
	endState                string
	tookMS, objectiveMS     float64
	// waitedMS is the longest wait of a task for a worker, in milliseconds.
	waitedMS             float64
	failed, starts, ends int
	// lost and stopped count the job's attempts by reason.
	lost, stopped map[string]int
}

// NewLosses returns a Losses without any log lines.
func NewLosses() *Losses { return &Losses{jobs: map[string]*jobOutcome{}} }

// AddLog reads one log.
func (l *Losses) AddLog(source string, in io.Reader) error {
	return forEachLine(source, in, func(_ string, text []byte) {
		var fields map[string]any
		// A line that can't be decoded is not a log line.
		if json.Unmarshal(text, &fields) == nil {
			l.addEvent(fields)
		}
	})
}

// addEvent adds the fields of a log line that names a job or a task.
func (l *Losses) addEvent(fields map[string]any) {
	id := stringField(fields, "job")
	if id == "" {
		id, _, _ = strings.Cut(stringField(fields, "task"), ".")
	}
	if id == "" {
		return
	}
	o, known := l.jobs[id]
	if !known {
		o = &jobOutcome{lost: map[string]int{}, stopped: map[string]int{}}
		l.jobs[id] = o
	}
	o.queue = cmp.Or(o.queue, stringField(fields, "queue"))
	switch int(numberField(fields, "event")) {
	case event.JobAccepted.Number:
		o.accepted = true
		o.endless = o.endless || fields["endless"] == true
	case event.JobRefused.Number:
		o.refused = reasonDetail.ReplaceAllString(stringField(fields, "reason"), "")
	case event.JobOutcomeUnknown.Number:
		o.unknown = "outcome open"
	case event.JobEnded.Number:
		o.endState, o.tookMS, o.objectiveMS = stringField(fields, "state"), numberField(fields, "took_ms"), numberField(fields, "objective_ms")
	case event.TaskStarted.Number:
		o.starts++
		o.waitedMS = max(o.waitedMS, numberField(fields, "waited_ms"))
	case event.StepWaiting.Number:
		o.waitedMS = max(o.waitedMS, numberField(fields, "waited_ms"))
	case event.AttemptEnded.Number:
		o.ends++
		if stringField(fields, "how") == "failed" {
			o.failed++
		}
	case event.AttemptLost.Number:
		o.lost[stringField(fields, "reason")]++
	case event.StopOrdered.Number:
		o.stopped[stringField(fields, "reason")]++
	}
}

// reasonDetail matches the part of a refusal that differs between jobs refused for the
// same reason, e.g. the time for which the store has not answered.
var reasonDetail = regexp.MustCompile(`:.*$`)

// noLoss is the cause of jobs that are not losses.
const noLoss = ""

// cause returns the most likely reason why the job missed its objective, or noLoss.
func (o *jobOutcome) cause() string {
	switch {
	case !o.accepted && o.refused != "":
		return "refused: " + o.refused
	case !o.accepted:
		return cmp.Or(o.unknown, noLoss)
	case o.endless, o.endState == "cancelled":
		return noLoss
	case o.endState == "":
		return o.unfinishedCause()
	case o.objectiveMS == 0 || o.tookMS <= o.objectiveMS:
		return noLoss
	}
	return "late: " + o.lateCause()
}

// unfinishedCause returns the cause of a job whose end is not in the logs: how far it
// got.
func (o *jobOutcome) unfinishedCause() string {
	switch {
	case o.starts == 0:
		return "not over: nothing started"
	case o.ends < o.starts:
		return "not over: tasks without an end"
	}
	return "not over: the next tasks have not started"
}

// lateCause returns why a job ended late. A wait for a worker takes precedence
// if it lasted at least half of the time over the objective.
func (o *jobOutcome) lateCause() string {
	switch {
	case o.waitedMS >= (o.tookMS-o.objectiveMS)/2:
		return "waited for a worker"
	case len(o.lost) > 0:
		return "attempt lost, " + slices.Sorted(maps.Keys(o.lost))[0]
	case o.failed > 0:
		return "attempts failed"
	case len(o.stopped) > 0:
		return "stopped, " + slices.Sorted(maps.Keys(o.stopped))[0]
	}
	return "ran longer than estimated"
}

// Row counts the jobs of one cause.
type Row struct {
	Cause string `json:"cause"`
	Jobs  int    `json:"jobs"`
	// Queues counts the jobs by queue.
	Queues map[string]int `json:"queues"`
	// ExcessMS is the median of the time over the objective, for jobs that ended late.
	ExcessMS float64 `json:"excess_ms,omitzero"`
}

// Rows returns the causes, those with the most jobs first, and the number of all jobs
// in the logs.
func (l *Losses) Rows() ([]Row, int) {
	rows := map[string]*Row{}
	excess := map[string][]float64{}
	for _, o := range l.jobs {
		cause := o.cause()
		if cause == noLoss {
			continue
		}
		r, ok := rows[cause]
		if !ok {
			r = &Row{Cause: cause, Queues: map[string]int{}}
			rows[cause] = r
		}
		r.Jobs++
		r.Queues[o.queue]++
		if o.endState != "" {
			excess[cause] = append(excess[cause], o.tookMS-o.objectiveMS)
		}
	}
	var list []Row
	for cause, r := range rows {
		if values := excess[cause]; len(values) > 0 {
			slices.Sort(values)
			r.ExcessMS = values[len(values)/2]
		}
		list = append(list, *r)
	}
	slices.SortFunc(list, func(a, b Row) int { return cmp.Or(b.Jobs-a.Jobs, strings.Compare(a.Cause, b.Cause)) })
	return list, len(l.jobs)
}

// Print writes the causes as a table.
func (l *Losses) Print(out io.Writer) error {
	rows, total := l.Rows()
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "jobs\tshare\tover by, half\tcause\tby queue\n")
	for _, r := range rows {
		excess := "-"
		if r.ExcessMS > 0 {
			excess = fmt.Sprintf("%.0f ms", r.ExcessMS)
		}
		fmt.Fprintf(t, "%d\t%.1f%%\t%s\t%s\t%s\n", r.Jobs, 100*float64(r.Jobs)/float64(total), excess, r.Cause, formatQueues(r.Queues))
	}
	fmt.Fprintf(t, "%d\t\t\tjobs in all\t\n", total)
	return t.Flush()
}

// formatQueues lists the numbers of jobs in the order of the queues' names.
func formatQueues(counts map[string]int) string {
	var list []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		list = append(list, fmt.Sprintf("%s %d", cmp.Or(name, "unknown"), counts[name]))
	}
	return strings.Join(list, ", ")
}
