package history

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/siskinvane/siskinvane/internal/process/event"
)

// minReportedGap is the shortest time without a line that Print describes. No job in
// the users' sites has an objective of less than a second.
const minReportedGap = time.Second

// Print writes the job's lines, a description of each gap between them, and the
// summary.
func (h *History) Print(out io.Writer) error {
	lines := h.Lines()
	var b strings.Builder
	if len(lines) == 0 {
		fmt.Fprintf(&b, "no line about job %s\n", h.id)
	}
	lastJobEvent := event.Event{}
	for i, l := range lines {
		if i > 0 {
			if gap := l.At.Sub(lines[i-1].Last); gap >= minReportedGap {
				fmt.Fprintf(&b, "%10s  -- %s: %s\n", "", formatSeconds(gap), describeGap(lastJobEvent.Number))
			}
		}
		if !l.Context {
			lastJobEvent.Number = l.Event
		}
		fmt.Fprintln(&b, formatLine(l, lines[0].At))
	}
	for _, s := range h.Summary() {
		fmt.Fprintf(&b, "=> %s\n", s)
	}
	if h.DroppedLines > 0 {
		fmt.Fprintf(&b, "%d lines were left out of the logs by their bound a second; gaps may be theirs\n", h.DroppedLines)
	}
	if h.UnreadableLines > 0 {
		fmt.Fprintf(&b, "%d lines could not be read\n", h.UnreadableLines)
	}
	_, err := io.WriteString(out, b.String())
	return err
}

func formatSeconds(d time.Duration) string { return fmt.Sprintf("%.3f s", d.Seconds()) }

// formatLine formats a line with its time since start. A dot marks context events.
func formatLine(l Line, start time.Time) string {
	marker := " "
	if l.Context {
		marker = "."
	}
	s := fmt.Sprintf("%+10.3f %s%d %-8s %s", l.At.Sub(start).Seconds(), marker, l.Event, l.Source, l.Text)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if name != "job" {
			s += fmt.Sprintf(" %s=%v", name, l.Fields[name])
		}
	}
	if l.Repeats > 0 {
		s += fmt.Sprintf(" (the last of %d lines in %s)", l.Repeats+1, formatSeconds(l.Last.Sub(l.At)))
	}
	return s
}

// describeGap says what a job waits for after an event of the job itself.
func describeGap(eventNumber int) string {
	switch eventNumber {
	case event.JobAccepted.Number:
		return "accepted, nothing has started"
	case event.JobRefused.Number:
		return "refused, the caller has not come back"
	case event.JobOutcomeUnknown.Number:
		return "the caller does not know whether it was taken"
	case event.TaskStarted.Number:
		return "running, no end is known"
	case event.StepWaiting.Number:
		return "no worker can take the tasks that wait"
	case event.AttemptLost.Number, event.StopOrdered.Number, event.AttemptEnded.Number:
		return "what comes next has not started"
	case event.StartNotAccepted.Number:
		return "no worker has accepted the task"
	}
	return "nothing is known"
}

// Summary summarizes how the job ended and what delayed it.
func (h *History) Summary() []string {
	s := jobSummary{lost: map[string]int{}, stopped: map[string]int{}}
	lines := h.Lines()
	for _, l := range lines {
		s.addLine(l)
	}
	if len(lines) == 0 {
		return nil
	}
	return s.describe(lines)
}

// jobSummary counts the events that decide the outcome and the duration of a job.
type jobSummary struct {
	accepted, end             *Line
	refused                   *Line
	cancelled                 bool
	unknownOutcomes           int
	starts, startsNotAccepted int
	failed                    int
	lost, stopped             map[string]int
	// longestWait is the line of the step that waited longest for workers.
	longestWait *Line
	context     []string
}

// addLine counts one line.
func (s *jobSummary) addLine(l Line) {
	switch l.Event {
	case event.JobAccepted.Number:
		if s.accepted == nil {
			s.accepted = &l
		}
	case event.JobRefused.Number:
		s.refused = &l
	case event.JobOutcomeUnknown.Number:
		s.unknownOutcomes++
	case event.JobCancelled.Number:
		s.cancelled = true
	case event.JobEnded.Number:
		s.end = &l
	case event.TaskStarted.Number:
		s.starts++
	case event.StartNotAccepted.Number:
		s.startsNotAccepted++
	case event.AttemptEnded.Number:
		if l.Fields["how"] == "failed" {
			s.failed++
		}
	case event.AttemptLost.Number:
		s.lost[stringField(l.Fields, "reason")]++
	case event.StopOrdered.Number:
		s.stopped[stringField(l.Fields, "reason")]++
	case event.StopsOrdered.Number:
		s.stopped[stringField(l.Fields, "reason")] += int(numberField(l.Fields, "stops"))
	case event.AttemptsEnded.Number:
		if l.Fields["how"] == "failed" {
			s.failed += int(numberField(l.Fields, "attempts"))
		}
	case event.StepWaiting.Number:
		if s.longestWait == nil || numberField(l.Fields, "waited_ms") > numberField(s.longestWait.Fields, "waited_ms") {
			s.longestWait = &l
		}
	}
	if l.Context {
		s.context = append(s.context, l.Text)
	}
}

// describe formats the summary, one sentence per line.
func (s *jobSummary) describe(lines []Line) []string {
	var out []string
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	switch last := lines[len(lines)-1]; {
	case s.end != nil:
		add("%s after %v ms, objective %v ms", stringField(s.end.Fields, "state"), s.end.Fields["took_ms"], s.end.Fields["objective_ms"])
	case s.cancelled:
		add("cancelled by its caller")
	case s.accepted != nil && s.accepted.Fields["endless"] == true:
		add("runs until its caller cancels it; the last line is %s after it was accepted", formatSeconds(last.Last.Sub(s.accepted.At)))
	case s.accepted != nil:
		add("accepted and not over in these logs; the last line is %s after it", formatSeconds(last.Last.Sub(s.accepted.At)))
	case s.refused != nil:
		add("refused, not run: %s", stringField(s.refused.Fields, "reason"))
		if wait := numberField(s.refused.Fields, "wait_ms"); wait > 0 {
			add("its wait was estimated at %v ms, %v ms were left; the caller was told to come back after %v ms",
				wait, s.refused.Fields["slack_ms"], s.refused.Fields["retry_after_ms"])
		}
	case s.unknownOutcomes > 0:
		add("never known to be taken: the outcome was open %d times", s.unknownOutcomes)
	}
	if s.starts+s.startsNotAccepted > 0 {
		add("%d starts, %d not accepted, %d failed", s.starts, s.startsNotAccepted, s.failed)
	}
	for _, reason := range slices.Sorted(maps.Keys(s.lost)) {
		add("%d attempts given up: %s", s.lost[reason], reason)
	}
	for _, reason := range slices.Sorted(maps.Keys(s.stopped)) {
		add("%d attempts stopped: %s", s.stopped[reason], reason)
	}
	if s.longestWait != nil {
		f := s.longestWait.Fields
		add("step %v waited %v ms for a worker: %v without room, %v unfit, %v where it would disturb, %v not heard yet",
			numberField(f, "step"), numberField(f, "waited_ms"), numberField(f, "no_room"), numberField(f, "unfit"), numberField(f, "harmful"), numberField(f, "unheard"))
	}
	slices.Sort(s.context)
	for _, text := range slices.Compact(slices.Clone(s.context)) {
		n := 0
		for _, other := range s.context {
			if other == text {
				n++
			}
		}
		add("meanwhile: %s (%d)", text, n)
	}
	return out
}
