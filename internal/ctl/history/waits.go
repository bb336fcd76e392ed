package history

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/siskinvane/siskinvane/internal/process/event"
)

// Waits measures, from the logs of any hosts, how long jobs of each size, queue and failure
// domain wait, which of them are refused, and which tasks are stopped.
type Waits struct {
	jobs map[string]*jobWaits
	// domains maps the hosts' names to their failure domains.
	domains  map[string]string
	refusals []refusalLine
	// causes counts the lines on waiting steps, by job and cause.
	causes map[jobCause]*CauseRow
	stops  map[string]*stopped
	// stopReasons are the reasons of stops whose attempts have not ended.
	stopReasons map[attemptName]string
	// droppedLines counts the lines that the rate limit of a log has dropped, by event.
	droppedLines map[int]int
}

// jobWaits is what the logs contain about one job. Times are zero if they are not known.
type jobWaits struct {
	queue, host string
	// tasks counts the tasks of all steps and occurrences; zero if it is not known.
	tasks               int
	accepted, refused   time.Time
	open, endless       bool
	state               string
	tookMS, objectiveMS float64
	// firstStartMS is for how long the task that was started first had waited, and longestWaitMS
	// the longest wait of a task for a start, in milliseconds; started tells whether they are
	// known.
	started                     bool
	firstStartMS, longestWaitMS float64
	// stops counts the attempts that were stopped before the job was over, after stoppedRanMS in
	// all.
	stops        int
	stoppedRanMS float64
}

// attemptName identifies an attempt of a task.
type attemptName struct {
	task   string
	number int
}

type jobCause struct{ job, cause string }

type refusalLine struct {
	job, reason     string
	retryAfterMS    float64
	retryAfterKnown bool
}

// stopped counts the stops for one reason.
type stopped struct {
	ordered int
	ranMS   []float64
}

// NewWaits returns a Waits without any log lines.
func NewWaits() *Waits {
	return &Waits{
		jobs: map[string]*jobWaits{}, domains: map[string]string{}, causes: map[jobCause]*CauseRow{},
		stops: map[string]*stopped{}, stopReasons: map[attemptName]string{}, droppedLines: map[int]int{},
	}
}

// AddLog reads one log. Lines about a task have to come in the order of time.
func (w *Waits) AddLog(source string, in io.Reader) error {
	return forEachLine(source, in, func(host string, text []byte) {
		// Decoding is most of the work, and lines of other programs need none.
		if !bytes.Contains(text, []byte(`"event"`)) {
			return
		}
		var fields map[string]any
		if json.Unmarshal(text, &fields) == nil {
			w.addLine(host, fields)
		}
	})
}

func (w *Waits) addLine(host string, fields map[string]any) {
	number := int(numberField(fields, "event"))
	if n := int(numberField(fields, "left_out")); n > 0 {
		w.droppedLines[number] += n
	}
	at, _ := time.Parse(time.RFC3339Nano, stringField(fields, "time"))
	switch number {
	case event.ProcessStarted.Number:
		if domain := stringField(fields, "failure_domain"); domain != "" {
			w.domains[host] = domain
		}
	case event.JobAccepted.Number:
		w.addAccepted(at, host, fields)
	case event.JobRefused.Number:
		w.addRefused(at, host, fields)
	case event.JobOutcomeUnknown.Number:
		j := w.job(fields)
		j.addCaller(host, fields)
		j.open = true
	case event.JobEnded.Number:
		w.job(fields).addEnd(fields)
	case event.JobCancelled.Number:
		w.job(fields).state = "cancelled"
	case event.TaskStarted.Number:
		w.addStart(fields)
	case event.StepWaiting.Number:
		w.addWaiting(fields)
	case event.StopOrdered.Number:
		w.addStop(fields)
	case event.AttemptEnded.Number:
		w.addStopped(fields)
	}
}

func (w *Waits) job(fields map[string]any) *jobWaits { return w.jobOf(stringField(fields, "job")) }

func (w *Waits) jobOf(id string) *jobWaits {
	j, known := w.jobs[id]
	if !known {
		j = &jobWaits{}
		w.jobs[id] = j
	}
	return j
}

// addCaller takes in what a line on a submission tells: the host that the caller has reached
// first, and the job's queue and size.
func (j *jobWaits) addCaller(host string, fields map[string]any) {
	j.host = cmp.Or(j.host, host)
	j.queue = cmp.Or(j.queue, stringField(fields, "queue"))
	j.tasks = cmp.Or(j.tasks, int(numberField(fields, "tasks")))
}

func (w *Waits) addAccepted(at time.Time, host string, fields map[string]any) {
	j := w.job(fields)
	j.addCaller(host, fields)
	j.endless = fields["endless"] == true
	if j.accepted.IsZero() || at.Before(j.accepted) {
		j.accepted = at
	}
}

func (w *Waits) addRefused(at time.Time, host string, fields map[string]any) {
	r := refusalLine{job: stringField(fields, "job"), reason: reasonDetail.ReplaceAllString(stringField(fields, "reason"), "")}
	r.retryAfterMS, r.retryAfterKnown = fields["retry_after_ms"].(float64)
	w.refusals = append(w.refusals, r)
	if r.job == "" {
		return
	}
	j := w.jobOf(r.job)
	j.addCaller(host, fields)
	if j.refused.IsZero() || at.Before(j.refused) {
		j.refused = at
	}
}

// addStart takes in the start of a task. The job's last line tells the same of all its tasks; lines
// on tasks may be left out.
func (w *Waits) addStart(fields map[string]any) {
	id, _, _ := strings.Cut(stringField(fields, "task"), ".")
	j, waited := w.jobOf(id), numberField(fields, "waited_ms")
	if !j.started {
		j.started, j.firstStartMS = true, waited
	}
	j.longestWaitMS = max(j.longestWaitMS, waited)
}

// addEnd takes in a job's last line.
func (j *jobWaits) addEnd(fields map[string]any) {
	j.state, j.tookMS, j.objectiveMS = stringField(fields, "state"), numberField(fields, "took_ms"), numberField(fields, "objective_ms")
	j.tasks = cmp.Or(j.tasks, int(numberField(fields, "tasks")))
	if numberField(fields, "starts") > 0 {
		j.started, j.firstStartMS = true, numberField(fields, "first_start_ms")
		j.longestWaitMS = max(j.longestWaitMS, numberField(fields, "longest_wait_ms"))
	}
	j.stops, j.stoppedRanMS = int(numberField(fields, "stops")), numberField(fields, "stopped_ran_ms")
}

// waitCauses are the fields of a line on a waiting step that count workers, by reason.
var waitCauses = []string{"unusable", "set_aside", "no_room", "unfit", "unpermitted", "harmful", "occupied"}

// addWaiting counts a line on a waiting step, of which there is one a second, under the reason
// that holds for most workers, unless something else keeps all tasks from starting.
func (w *Waits) addWaiting(fields map[string]any) {
	cause := ""
	switch {
	case numberField(fields, "entries_age_ms") > 0:
		cause = "entries too old"
	case numberField(fields, "unheard") > 0:
		cause = "unheard"
	case fields["no_order"] == true:
		cause = "no start order"
	default:
		most := 0.0
		for _, name := range waitCauses {
			if n := numberField(fields, name); n > most {
				cause, most = name, n
			}
		}
	}
	key := jobCause{stringField(fields, "job"), cmp.Or(cause, "unknown")}
	row, known := w.causes[key]
	if !known {
		row = &CauseRow{}
		w.causes[key] = row
	}
	row.Lines++
	row.TaskSeconds += numberField(fields, "waiting")
}

func (w *Waits) addStop(fields map[string]any) {
	reason := stringField(fields, "reason")
	s, known := w.stops[reason]
	if !known {
		s = &stopped{}
		w.stops[reason] = s
	}
	s.ordered++
	w.stopReasons[attemptOf(fields)] = reason
}

func attemptOf(fields map[string]any) attemptName {
	return attemptName{stringField(fields, "task"), int(numberField(fields, "attempt"))}
}

// addStopped adds the time for which a stopped attempt had run.
func (w *Waits) addStopped(fields map[string]any) {
	name := attemptOf(fields)
	reason, ordered := w.stopReasons[name]
	if ordered && stringField(fields, "how") == "stopped" {
		w.stops[reason].ranMS = append(w.stops[reason].ranMS, numberField(fields, "ran_ms"))
	}
	delete(w.stopReasons, name)
}

// sizeClasses are the upper bounds of the classes of jobs by their number of tasks; the last
// class has none.
var sizeClasses = []int{7, 19, 49}

// sizeClass returns the name of the class of a job with so many tasks.
func sizeClass(tasks int) string {
	low := 1
	for _, high := range sizeClasses {
		if tasks <= high {
			return strconv.Itoa(low) + "-" + strconv.Itoa(high)
		}
		low = high + 1
	}
	return strconv.Itoa(low) + "+"
}

// Spread describes a number of values by three of them.
type Spread struct {
	Count  int     `json:"count"`
	Median float64 `json:"median"`
	P95    float64 `json:"p95"`
	Max    float64 `json:"max"`
}

func spreadOf(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	slices.Sort(values)
	return Spread{Count: len(values), Median: values[len(values)/2], P95: values[len(values)*95/100], Max: values[len(values)-1]}
}

// format returns the values divided by unit.
func (s Spread) format(unit float64, decimals int) string {
	if s.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.*f %.*f %.*f", decimals, s.Median/unit, decimals, s.P95/unit, decimals, s.Max/unit)
}

// WaitRow describes the jobs of one size in one queue or failure domain. Times are in
// milliseconds, and zero if nothing is known.
type WaitRow struct {
	// Group is a queue, or a failure domain where jobs were submitted.
	Group string `json:"group"`
	// Size is the range of the jobs' numbers of tasks, or empty for jobs of any size.
	Size string `json:"size,omitempty"`
	// Endless is set if one of the jobs is long-running.
	Endless bool `json:"endless"`
	// Jobs counts the jobs that hosts have decided on, Accepted those that were accepted,
	// at once or later.
	Jobs     int `json:"jobs"`
	Accepted int `json:"accepted"`
	// Refused counts the jobs that were refused at least once, Returned those of them that
	// were accepted afterwards, and Open the jobs with an unknown outcome.
	Refused  int `json:"refused"`
	Returned int `json:"returned"`
	Open     int `json:"open"`
	// Done, Failed, Cancelled and Unfinished count the accepted jobs by their state.
	Done       int `json:"done"`
	Failed     int `json:"failed"`
	Cancelled  int `json:"cancelled"`
	Unfinished int `json:"unfinished"`
	// Late counts the done jobs over their objective; Against is the time that done jobs took
	// in multiples of their objective.
	Late    int    `json:"late"`
	Against Spread `json:"against_objective"`
	// ReturnAfter is the time from the first refusal of a job until it was accepted.
	ReturnAfter Spread `json:"return_after_ms"`
	// FirstStart is for how long the job's first started task had waited, and LongestWait the
	// longest wait of one of its tasks.
	FirstStart  Spread `json:"first_start_ms"`
	LongestWait Spread `json:"longest_wait_ms"`
	// Stops counts the attempts that were stopped before their job was over, and StoppedRanS is
	// for how long they had run in all, in seconds.
	Stops       int     `json:"stops"`
	StoppedRanS float64 `json:"stopped_ran_s"`
}

// Rows returns a row for each queue and size.
func (w *Waits) Rows() []WaitRow {
	return w.rowsBy(func(j *jobWaits) (string, string) {
		if j.tasks == 0 {
			return j.queue, "unknown"
		}
		return j.queue, sizeClass(j.tasks)
	})
}

// DomainRows returns a row for each failure domain whose hosts name it in their logs.
func (w *Waits) DomainRows() []WaitRow {
	return w.rowsBy(func(j *jobWaits) (string, string) { return w.domains[j.host], "" })
}

// rowsBy returns a row for each group and size, ordered by both. Jobs without a group are left
// out.
func (w *Waits) rowsBy(classify func(j *jobWaits) (group, size string)) []WaitRow {
	type key struct{ group, size string }
	groups := map[key][]*jobWaits{}
	for _, j := range w.jobs {
		if group, size := classify(j); group != "" {
			groups[key{group, size}] = append(groups[key{group, size}], j)
		}
	}
	var rows []WaitRow
	for k, jobs := range groups {
		rows = append(rows, newWaitRow(k.group, k.size, jobs))
	}
	slices.SortFunc(rows, func(a, b WaitRow) int {
		return cmp.Or(strings.Compare(a.Group, b.Group), cmp.Compare(sizeOrder(a.Size), sizeOrder(b.Size)))
	})
	return rows
}

// sizeOrder returns the lower bound of a class of sizes; a size that is not known comes last.
func sizeOrder(size string) int {
	n, err := strconv.Atoi(strings.TrimRight(strings.SplitN(size, "-", 2)[0], "+"))
	if err != nil {
		return 1 << 30
	}
	return n
}

func newWaitRow(group, size string, jobs []*jobWaits) WaitRow {
	r := WaitRow{Group: group, Size: size, Jobs: len(jobs)}
	var against, returnAfter, first, longest []float64
	for _, j := range jobs {
		r.Endless = r.Endless || j.endless
		r.addOutcome(j)
		if j.state == "done" && j.objectiveMS > 0 {
			against = append(against, j.tookMS/j.objectiveMS)
		}
		if j.returned() {
			returnAfter = append(returnAfter, float64(j.accepted.Sub(j.refused).Milliseconds()))
		}
		if j.started {
			first, longest = append(first, j.firstStartMS), append(longest, j.longestWaitMS)
		}
		r.Stops += j.stops
		r.StoppedRanS += j.stoppedRanMS / 1000
	}
	r.Against, r.ReturnAfter = spreadOf(against), spreadOf(returnAfter)
	r.FirstStart, r.LongestWait = spreadOf(first), spreadOf(longest)
	return r
}

// returned reports whether a job was accepted after it had been refused.
func (j *jobWaits) returned() bool {
	return !j.refused.IsZero() && j.accepted.After(j.refused)
}

// addOutcome counts what became of a job.
func (r *WaitRow) addOutcome(j *jobWaits) {
	if !j.refused.IsZero() {
		r.Refused++
	}
	if j.returned() {
		r.Returned++
	}
	if j.open {
		r.Open++
	}
	if j.accepted.IsZero() {
		return
	}
	r.Accepted++
	switch j.state {
	case "done":
		r.Done++
		if j.objectiveMS > 0 && j.tookMS > j.objectiveMS {
			r.Late++
		}
	case "failed":
		r.Failed++
	case "cancelled":
		r.Cancelled++
	default:
		r.Unfinished++
	}
}

// RefusalRow describes the refusals for one reason.
type RefusalRow struct {
	Reason string `json:"reason"`
	// Refusals counts the answers, Jobs the jobs, and Never those that were not accepted later.
	Refusals int `json:"refusals"`
	Jobs     int `json:"jobs"`
	Never    int `json:"never"`
	// RetryAfter describes the times in milliseconds after which callers should come back,
	// where the lines name them.
	RetryAfter Spread `json:"retry_after_ms"`
}

// RefusalRows returns a row for each reason, the most frequent first.
func (w *Waits) RefusalRows() []RefusalRow {
	rows, jobs, retries := map[string]*RefusalRow{}, map[string]map[string]bool{}, map[string][]float64{}
	for _, line := range w.refusals {
		r, known := rows[line.reason]
		if !known {
			r = &RefusalRow{Reason: line.reason}
			rows[line.reason], jobs[line.reason] = r, map[string]bool{}
		}
		r.Refusals++
		if line.retryAfterKnown {
			retries[line.reason] = append(retries[line.reason], line.retryAfterMS)
		}
		if line.job != "" && !jobs[line.reason][line.job] {
			jobs[line.reason][line.job] = true
			r.Jobs++
			if w.jobs[line.job].accepted.IsZero() {
				r.Never++
			}
		}
	}
	var list []RefusalRow
	for reason, r := range rows {
		r.RetryAfter = spreadOf(retries[reason])
		list = append(list, *r)
	}
	slices.SortFunc(list, func(a, b RefusalRow) int {
		return cmp.Or(cmp.Compare(b.Refusals, a.Refusals), strings.Compare(a.Reason, b.Reason))
	})
	return list
}

// CauseRow describes the lines on waiting steps of one queue with one cause.
type CauseRow struct {
	Queue string `json:"queue"`
	Cause string `json:"cause"`
	Lines int    `json:"lines"`
	// TaskSeconds is roughly the time that tasks have waited, after their first second.
	TaskSeconds float64 `json:"task_seconds"`
}

// CauseRows returns why steps have waited for a second or more, the longest time first.
func (w *Waits) CauseRows() []CauseRow {
	rows := map[CauseRow]*CauseRow{}
	for key, counted := range w.causes {
		name := CauseRow{Cause: key.cause}
		if j := w.jobs[key.job]; j != nil {
			name.Queue = j.queue
		}
		row, known := rows[name]
		if !known {
			row = &name
			rows[name] = row
		}
		row.Lines += counted.Lines
		row.TaskSeconds += counted.TaskSeconds
	}
	var list []CauseRow
	for _, row := range rows {
		list = append(list, *row)
	}
	slices.SortFunc(list, func(a, b CauseRow) int {
		return cmp.Or(cmp.Compare(b.TaskSeconds, a.TaskSeconds), strings.Compare(a.Queue, b.Queue), strings.Compare(a.Cause, b.Cause))
	})
	return list
}

// StopRow describes the stops for one reason.
type StopRow struct {
	Reason string `json:"reason"`
	// Ordered counts the orders, Ended the attempts that ended as stopped.
	Ordered int `json:"ordered"`
	Ended   int `json:"ended"`
	// Ran describes how long these attempts had run, in milliseconds, and RanSeconds is the sum
	// in seconds. What their checkpoints have saved of it is not in the logs.
	Ran        Spread  `json:"ran_ms"`
	RanSeconds float64 `json:"ran_s"`
}

// StopRows returns a row for each reason, the most frequent first.
func (w *Waits) StopRows() []StopRow {
	var list []StopRow
	for reason, s := range w.stops {
		sum := 0.0
		for _, ran := range s.ranMS {
			sum += ran
		}
		list = append(list, StopRow{Reason: reason, Ordered: s.ordered, Ended: len(s.ranMS), Ran: spreadOf(s.ranMS), RanSeconds: sum / 1000})
	}
	slices.SortFunc(list, func(a, b StopRow) int {
		return cmp.Or(cmp.Compare(b.Ordered, a.Ordered), strings.Compare(a.Reason, b.Reason))
	})
	return list
}

// Print writes the measurements as tables.
func (w *Waits) Print(out io.Writer) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	const columns = "jobs\taccepted\trefused\treturned\topen\tdone\tlate\tfailed\tcancelled\tunfinished\ttime/objective\tfirst start, s\tlongest wait, s\tstops\tran before, s\treturned after, s\n"
	fmt.Fprint(t, "queue\ttasks\t"+columns)
	for _, r := range w.Rows() {
		name := r.Group
		if r.Endless {
			name += " (endless)"
		}
		fmt.Fprintf(t, "%s\t%s\t%s", name, r.Size, r.format())
	}
	if rows := w.DomainRows(); len(rows) > 0 {
		fmt.Fprint(t, "\nfailure domain\t\t"+columns)
		for _, r := range rows {
			fmt.Fprintf(t, "%s\t\t%s", r.Group, r.format())
		}
	}
	fmt.Fprint(t, "\nrefused because\trefusals\tjobs\tnever accepted\tretry after, s\n")
	for _, r := range w.RefusalRows() {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%s\n", r.Reason, r.Refusals, r.Jobs, r.Never, r.RetryAfter.format(1000, 1))
	}
	fmt.Fprint(t, "\nwaited because\tqueue\tlines\ttask-seconds\n")
	for _, r := range w.CauseRows() {
		fmt.Fprintf(t, "%s\t%s\t%d\t%.0f\n", r.Cause, cmp.Or(r.Queue, "unknown"), r.Lines, r.TaskSeconds)
	}
	fmt.Fprint(t, "\nstopped because\torders\tended\tran, s\tsum, s\n")
	for _, r := range w.StopRows() {
		fmt.Fprintf(t, "%s\t%d\t%d\t%s\t%.0f\n", r.Reason, r.Ordered, r.Ended, r.Ran.format(1000, 1), r.RanSeconds)
	}
	fmt.Fprint(t, "\nThree figures are the median, the 95th percentile and the maximum.\n")
	for _, number := range slices.Sorted(maps.Keys(w.droppedLines)) {
		fmt.Fprintf(t, "%d lines of event %d were left out of the logs by their bound a second.\n", w.droppedLines[number], number)
	}
	return t.Flush()
}

// format returns the columns of a row's figures.
func (r *WaitRow) format() string {
	late := "-"
	if r.Done > 0 {
		late = fmt.Sprintf("%.1f%%", 100*float64(r.Late)/float64(r.Done))
	}
	return fmt.Sprintf("%d\t%d\t%d\t%d\t%d\t%d\t%s\t%d\t%d\t%d\t%s\t%s\t%s\t%d\t%.0f\t%s\n",
		r.Jobs, r.Accepted, r.Refused, r.Returned, r.Open, r.Done, late, r.Failed, r.Cancelled, r.Unfinished,
		r.Against.format(1, 2), r.FirstStart.format(1000, 2), r.LongestWait.format(1000, 2), r.Stops, r.StoppedRanS, r.ReturnAfter.format(1000, 1))
}
