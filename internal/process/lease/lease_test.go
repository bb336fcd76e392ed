package lease

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/outage"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/process/task"
)

var claimedAt = time.Unix(1000, 0)

// newTable returns a table whose task j/0 is in state s on worker w in boot b1.
func newTable(t *testing.T, s record.State, cancelled bool) *task.Table {
	tb := task.NewTable()
	apply := func(r record.Record) { must.NoError(t, tb.Apply(0, r)) }
	apply(record.Record{Job: &record.Job{ID: "j", Template: "t", Count: 1, Size: platform.Resources{Slots: 1}}})
	at := claimedAt.UnixMilli()
	for _, next := range []record.State{record.Assigned, record.Running, record.Checkpointing} {
		if s < next {
			break
		}
		apply(record.Record{Transition: &record.Transition{Task: "j/0", Attempt: 1, State: next, Worker: "w", Boot: "b1", AtMillis: at}})
	}
	if cancelled {
		apply(record.Record{Cancel: &record.Cancel{Job: "j"}})
	}
	return tb
}

func reportOf(boot string, tasks ...platform.TaskReport) *platform.Report {
	return &platform.Report{Worker: "w", Boot: boot, Now: platform.WorkerTime(time.Hour), Tasks: tasks}
}

func taskReport(id platform.TaskID, a platform.Attempt, p platform.TaskPhase) platform.TaskReport {
	return platform.TaskReport{TaskAttempt: platform.TaskAttempt{Task: id, Attempt: a}, Phase: p}
}

func TestDecide(t *testing.T) {
	all := outage.Permission{MayAssign: true, MayStart: true, MayRenew: true}
	running := taskReport("j/0", 1, platform.PhaseRunning)
	cases := []struct {
		name       string
		state      record.State
		cancelled  bool
		report     *platform.Report
		permission outage.Permission
		// silent is the time since the worker's last answer.
		silent time.Duration
		want   string
	}{
		{"assigned, not reported", record.Assigned, false, reportOf("b1"), all, 0, "start"},
		{"assigned, starts not allowed", record.Assigned, false, reportOf("b1"), outage.Permission{MayRenew: true}, 0, ""},
		{"assigned, nothing allowed", record.Assigned, false, reportOf("b1"), outage.Permission{}, 0, "wait"},
		{"assigned, runs", record.Assigned, false, reportOf("b1", running), all, 0, "running renew"},
		{"assigned, cancelled", record.Assigned, true, reportOf("b1"), all, 0, "stop"},
		{"running", record.Running, false, reportOf("b1", running), all, 0, "renew"},
		{"running, missing from the report", record.Running, false, reportOf("b1"), all, 0, "stop"},
		{"running, cancelled", record.Running, true, reportOf("b1", running), all, 0, "stop"},
		{"running, finished", record.Running, false, reportOf("b1", taskReport("j/0", 1, platform.PhaseFinished)), all, 0, "finished"},
		{"finished, nothing allowed", record.Running, false, reportOf("b1", taskReport("j/0", 1, platform.PhaseFinished)), outage.Permission{}, 0, "finished"},
		{"running, failed", record.Running, false, reportOf("b1", taskReport("j/0", 1, platform.PhaseFailed)), all, 0, "queued"},
		{"running, worker restarted", record.Running, false, reportOf("b2"), all, 0, "queued"},
		{"checkpointing", record.Checkpointing, false, reportOf("b1", running), all, 0, "stop"},
		{"later attempt reported", record.Running, false, reportOf("b1", taskReport("j/0", 2, platform.PhaseRunning)), all, 0, "stop"},
		{"running attempt of another shard", record.Running, false, reportOf("b1", running, taskReport("x/0", 1, platform.PhaseRunning)), all, 0, "renew"},
		{"ended task unknown here", record.Running, false, reportOf("b1", running, taskReport("x/0", 1, platform.PhaseFinished)), all, 0, "renew forget"},
		{"silent", record.Running, false, reportOf("b1", running), all, SilenceTimeout + 1, "wait"},
		{"never reached", record.Running, false, nil, all, 0, "wait"},
		{"silent until the lease lapsed", record.Running, false, reportOf("b1", running), all, CallExpiry + TTL + ClockMargin + 1, "queued"},
		{"silent, almost lapsed", record.Running, false, reportOf("b1", running), all, CallExpiry + TTL + ClockMargin, "wait"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var contact Contact
			now := claimedAt.Add(time.Second)
			if c.report != nil {
				contact.RecordReport(c.report, now)
				contact.RecordAnswer(now, true)
				contact.CalledAt = now
			}
			got := Decide(Input{
				Worker: "w", Table: newTable(t, c.state, c.cancelled), Contact: &contact,
				Permission: c.permission, ClaimedAt: claimedAt, Now: now.Add(c.silent),
			})
			must.Eq(t, c.want, actionNames(got))
		})
	}
}

// actionNames lists the actions in a fixed order.
func actionNames(a Actions) string {
	out := ""
	add := func(n int, name string) {
		for range n {
			if out != "" {
				out += " "
			}
			out += name
		}
	}
	for _, r := range a.Records {
		add(1, r.State.String())
	}
	add(len(a.Starts), "start")
	add(len(a.Stops), "stop")
	add(len(a.Renewals), "renew")
	add(len(a.Forget), "forget")
	add(len(a.Deferrals), "wait")
	return out
}

func TestLapsedAt(t *testing.T) {
	const afterCall = CallExpiry + TTL + ClockMargin
	at := func(d time.Duration) time.Time { return claimedAt.Add(d) }
	cases := []struct {
		name    string
		contact Contact
		want    time.Time
	}{
		{"never reached", Contact{}, at(outage.StaleOwnerTimeout + afterCall)},
		{"called, no answer", Contact{CalledAt: at(time.Minute)}, at(outage.StaleOwnerTimeout + afterCall)},
		{"called late, no answer", Contact{CalledAt: at(time.Hour)}, at(time.Hour + afterCall)},
		{"earlier owners fenced off", Contact{CalledAt: at(time.Second), FencedAt: at(time.Second)}, at(time.Second + afterCall)},
		{"fenced by a call that was answered late", Contact{CalledAt: at(time.Second), FencedAt: at(time.Minute)}, at(time.Minute + TTL + ClockMargin)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { must.Eq(t, c.want, c.contact.LapsedAt(claimedAt)) })
	}
}

// TestRestartClearsFencing: a new boot of a worker accepts calls of earlier
// owners until it has accepted one under the present epoch, so the lease bound
// must count earlier owners again.
func TestRestartClearsFencing(t *testing.T) {
	var c Contact
	c.RecordReport(reportOf("b1"), claimedAt)
	c.RecordAnswer(claimedAt, true)
	c.RecordReport(reportOf("b2"), claimedAt.Add(time.Second))
	must.True(t, c.FencedAt.IsZero())
}
