// Package history analyses the logs of any number of hosts: it reconstructs the
// history of one job, and counts why jobs missed their objectives.
package history

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/siskinvane/siskinvane/internal/process/event"
	"github.com/siskinvane/siskinvane/internal/process/logring"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// Line is one log line. siskinctl prints it as JSON under the names of the fields.
type Line struct {
	At time.Time
	// Source names the log that contains the line.
	Source string
	Event  int
	Text   string
	// Fields are the remaining fields of the log line.
	Fields map[string]any
	// Context is set if the line is not about the job itself: a host, an owner or the
	// store became available or unavailable meanwhile.
	Context bool
	// Repeats counts the further lines of the same kind that directly follow; Last is
	// the time of the last one.
	Repeats int
	Last    time.Time
}

// History collects the log lines about one job.
type History struct {
	id    job.ID
	lines []Line
	// UnreadableLines counts lines that are not log lines. DroppedLines counts those
	// that the rate limit of a log has dropped.
	UnreadableLines, DroppedLines int
}

// New returns an empty history of a job.
func New(id job.ID) *History { return &History{id: id} }

// maxLineBytes bounds a log line. Lines of siskinvane's programs are below 2 KiB.
const maxLineBytes = 1 << 20

// AddLog reads one log. source names the log in the result, see forEachLine.
func (h *History) AddLog(source string, in io.Reader) error {
	return forEachLine(source, in, h.addLine)
}

// forEachLine calls visit with each line of a log. visit must not retain the slice. Where the
// logs of several hosts were merged, each line has its host before the JSON object, as the
// last word of a prefix; it replaces source for this line.
func forEachLine(source string, in io.Reader, visit func(source string, text []byte)) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text, lineSource := scanner.Bytes(), source
		if start := bytes.IndexByte(text, '{'); start > 0 {
			if words := bytes.Fields(text[:start]); len(words) > 0 {
				lineSource = string(words[len(words)-1])
			}
			text = text[start:]
		}
		visit(lineSource, text)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read log %s: %w", source, err)
	}
	return nil
}

// addLine adds a line about the job or its context, and counts unreadable and dropped
// lines.
func (h *History) addLine(source string, text []byte) {
	// Most lines are about other jobs. This check avoids the cost of decoding them.
	if !bytes.Contains(text, []byte(h.id)) && !mayBeContext(text) && !bytes.Contains(text, []byte(`"left_out"`)) {
		return
	}
	var fields map[string]any
	if err := json.Unmarshal(text, &fields); err != nil {
		h.UnreadableLines++
		return
	}
	l := Line{Source: source, Text: stringField(fields, "msg"), Event: int(numberField(fields, "event")), Fields: fields}
	l.At, _ = time.Parse(time.RFC3339Nano, stringField(fields, "time"))
	l.Last = l.At
	h.DroppedLines += int(numberField(fields, "left_out"))
	switch {
	case h.isAboutJob(fields):
	case slices.Contains(contextEvents, l.Event):
		l.Context = true
	default:
		return
	}
	for _, name := range []string{"msg", "event", "time", "level", "left_out"} {
		delete(fields, name)
	}
	h.lines = append(h.lines, l)
}

func (h *History) isAboutJob(fields map[string]any) bool {
	return stringField(fields, "job") == string(h.id) || strings.HasPrefix(stringField(fields, "task"), string(h.id)+".")
}

// contextEvents are the numbers of events that affect many jobs together.
var contextEvents = []int{
	event.ProcessStarted.Number, event.ProcessDraining.Number, event.OwnershipGained.Number, event.OwnershipLost.Number,
	event.OwnershipReleased.Number, event.StoreLost.Number, event.StoreRegained.Number, logring.DroppedEvent,
}

// contextEventMarkers are the JSON texts by which addLine finds a context event in a
// line that is not decoded yet.
var contextEventMarkers = func() [][]byte {
	var markers [][]byte
	for _, n := range contextEvents {
		markers = append(markers, fmt.Appendf(nil, `"event":%d`, n))
	}
	return markers
}()

func mayBeContext(text []byte) bool {
	return slices.ContainsFunc(contextEventMarkers, func(marker []byte) bool { return bytes.Contains(text, marker) })
}

func stringField(fields map[string]any, name string) string {
	s, _ := fields[name].(string)
	return s
}

func numberField(fields map[string]any, name string) float64 {
	n, _ := fields[name].(float64)
	return n
}

// Lines returns the job's lines in the order of time, with the context events from
// its first line to its last. Consecutive lines of the same kind are merged.
func (h *History) Lines() []Line {
	sorted := slices.Clone(h.lines)
	slices.SortStableFunc(sorted, func(a, b Line) int { return a.At.Compare(b.At) })
	first := slices.IndexFunc(sorted, isJobLine)
	if first < 0 {
		return nil
	}
	last := len(sorted)
	for !isJobLine(sorted[last-1]) {
		last--
	}
	// If the job has not ended, later context events may explain why no further line
	// followed.
	if !h.hasEnded(sorted[:last]) {
		last = len(sorted)
	}
	var lines []Line
	for _, l := range sorted[first:last] {
		if n := len(lines); n > 0 && lines[n-1].isRepeatedBy(l) {
			lines[n-1].Repeats++
			lines[n-1].Last = l.At
			lines[n-1].Fields = l.Fields
			continue
		}
		lines = append(lines, l)
	}
	return lines
}

func isJobLine(l Line) bool { return !l.Context }

// isRepeatedBy reports whether next says again that the same step waits for workers.
func (l Line) isRepeatedBy(next Line) bool {
	return l.Event == next.Event && l.Source == next.Source && (next.Event == event.StepWaiting.Number &&
		l.Fields["step"] == next.Fields["step"] && l.Fields["occurrence"] == next.Fields["occurrence"])
}

// hasEnded reports whether lines contain the end or the cancellation of the job.
func (h *History) hasEnded(lines []Line) bool {
	return slices.ContainsFunc(lines, func(l Line) bool {
		return l.Event == event.JobEnded.Number || l.Event == event.JobCancelled.Number
	})
}
