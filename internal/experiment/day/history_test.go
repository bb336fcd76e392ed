package day

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/ctl/history"
	"github.com/siskinvane/siskinvane/internal/process/event"
	"github.com/siskinvane/siskinvane/internal/process/run"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// dayLog runs a day in virtual time and returns its log.
func dayLog(t *testing.T, p Plan) string {
	t.Helper()
	var log bytes.Buffer
	synctest.Test(t, func(t *testing.T) {
		_, err := Run(p, run.NewLogger(&log, "info"))
		must.NoError(t, err)
		time.Sleep(time.Minute)
	})
	return log.String()
}

// logLine holds the fields of a log line that the tests examine.
type logLine struct {
	Event  int    `json:"event"`
	Job    job.ID `json:"job"`
	Task   string `json:"task"`
	Reason string `json:"reason"`
}

// findJob returns the job of the first line for which match reports true.
func findJob(t *testing.T, log string, match func(logLine) bool) job.ID {
	t.Helper()
	for _, text := range strings.Split(strings.TrimSpace(log), "\n") {
		var l logLine
		must.NoError(t, json.Unmarshal([]byte(text), &l))
		if match(l) {
			id, _, _ := strings.Cut(l.Task, ".")
			return job.ID(max(string(l.Job), id))
		}
	}
	t.Fatal("no log line matches")
	return ""
}

// unfinishedJob returns a job with an ended task that has not itself ended.
func unfinishedJob(t *testing.T, log string) job.ID {
	t.Helper()
	ended := map[job.ID]bool{}
	findJob(t, log+`{"event":-1}`, func(l logLine) bool {
		if l.Event == event.JobEnded.Number || l.Event == event.JobCancelled.Number {
			ended[l.Job] = true
		}
		return l.Event == -1
	})
	return findJob(t, log, func(l logLine) bool {
		id, _, _ := strings.Cut(l.Task, ".")
		return l.Event == event.AttemptEnded.Number && !ended[job.ID(id)]
	})
}

var eventNumber = regexp.MustCompile(`\b7\d{3}\b`)

// documentedEvents returns the event numbers that a section of docs/OPERATIONS.md
// mentions.
func documentedEvents(t *testing.T, section string) []int {
	t.Helper()
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	must.NoError(t, err)
	_, rest, found := strings.Cut(string(page), "#### "+section+"\n")
	must.True(t, found)
	rest, _, _ = strings.Cut(rest, "\n###")
	var numbers []int
	for _, text := range eventNumber.FindAllString(rest, -1) {
		n, err := strconv.Atoi(text)
		must.NoError(t, err)
		numbers = append(numbers, n)
	}
	return numbers
}

// TestFailedRequestsAreExplained reproduces the three kinds of failed requests that
// docs/OPERATIONS.md describes. The job's history, found by its identifier alone, must
// contain the events that the page names and the cause.
func TestFailedRequestsAreExplained(t *testing.T) {
	cases := []struct {
		section string
		plan    Plan
		// pick selects a job of this kind from the log.
		pick  func(t *testing.T, log string) job.ID
		cause string
		// absent lists events that the page mentions as missing.
		absent []int
	}{
		{
			section: "Refused under load",
			plan:    Plan{Hosts: 3, Workers: 2, Seconds: 20, QuietSeconds: 30, JobsPerSecond: 12, Seed: 5},
			pick: func(t *testing.T, log string) job.ID {
				refused, accepted := map[job.ID]bool{}, map[job.ID]bool{}
				return findJob(t, log, func(l logLine) bool {
					refused[l.Job] = refused[l.Job] || l.Event == event.JobRefused.Number
					accepted[l.Job] = accepted[l.Job] || l.Event == event.JobAccepted.Number
					return l.Event == event.StepWaiting.Number && refused[l.Job] && accepted[l.Job]
				})
			},
			cause: "for a worker",
		},
		{
			section: "Lost with its worker and run again late",
			plan: Plan{
				Hosts: 3, Workers: 4, Seconds: 10, QuietSeconds: 30, JobsPerSecond: 4, Seed: 2,
				Faults: []Fault{{AtMS: 4000, Kind: LoseWorker, Worker: 1}},
			},
			pick: func(t *testing.T, log string) job.ID {
				return findJob(t, log, func(l logLine) bool { return l.Event == event.AttemptLost.Number && l.Reason == "lease over" })
			},
			cause: "attempts given up: lease over",
		},
		{
			section: "Never shown as done",
			plan: Plan{
				Hosts: 3, Workers: 4, Seconds: 10, QuietSeconds: 30, JobsPerSecond: 4, Seed: 3,
				Faults: []Fault{{AtMS: 4000, ForMS: 600_000, Kind: StoreDown, Host: AllHosts}},
			},
			pick:   unfinishedJob,
			cause:  "accepted and not over in these logs",
			absent: []int{event.JobEnded.Number},
		},
	}
	for _, c := range cases {
		t.Run(c.section, func(t *testing.T) {
			log := dayLog(t, c.plan)
			h := history.New(c.pick(t, log))
			must.NoError(t, h.AddLog("log", strings.NewReader(log)))
			seen := map[int]bool{}
			for _, l := range h.Lines() {
				seen[l.Event] = true
			}
			for _, n := range documentedEvents(t, c.section) {
				absent := false
				for _, a := range c.absent {
					absent = absent || a == n
				}
				must.Eq(t, !absent, seen[n], must.Sprintf("event %d", n))
			}
			must.StrContains(t, fmt.Sprint(h.Summary()), c.cause)
		})
	}
}
