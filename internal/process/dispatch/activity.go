package dispatch

import (
	"errors"
	"fmt"
	"math"
	"strings"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/process/event"
	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// reportActivity logs and counts what the shard has decided and observed since the last
// call.
func (d *Dispatcher) reportActivity() {
	d.mu.Lock()
	n := d.shard.TakeNotes()
	d.mu.Unlock()
	for _, note := range n.Started {
		d.timer("job.waited").Update(note.Waited)
		d.timer("job.start_answered").Update(note.Answer)
		event.TaskStarted.Log(d.Logger, logrus.Fields{
			"task": note.Task.String(), "attempt": note.Attempt, "worker": note.Worker,
			"waited_ms": note.Waited.Milliseconds(), "answer_ms": note.Answer.Milliseconds(),
		})
	}
	d.reportEnded(n.Ended)
	for _, note := range n.JobsEnded {
		d.counter("jobs." + note.State.String()).Inc(1)
		event.JobEnded.Log(d.Logger, logrus.Fields{
			"job": note.Job, "state": note.State.String(), "took_ms": note.TookMS, "objective_ms": note.ObjectiveMS, "tasks": note.Tasks,
			"starts": note.Starts, "first_start_ms": note.FirstStart.Milliseconds(), "longest_wait_ms": note.LongestWait.Milliseconds(),
			"stops": note.Stops, "stopped_ran_ms": note.StoppedRan.Milliseconds(),
		})
	}
	d.reportProblems(n)
}

// reportProblems logs and counts slowed, stopped, lost and waiting tasks and workers
// set aside.
func (d *Dispatcher) reportProblems(n scheduler.Notes) {
	for _, note := range n.Restarts {
		d.counter("workers.restarted").Inc(1)
		event.WorkerRestarted.Log(d.Logger, logrus.Fields{
			"worker": note.Worker, "run": note.Run, "before": note.Before, "silent_ms": note.Silent.Milliseconds(), "stray_leases_ms": note.StrayLeases.Milliseconds(),
		})
	}
	for _, note := range n.Unproven {
		d.counter("starts.unproven").Inc(1)
		event.StartUnproven.Log(d.Logger, logrus.Fields{
			"task": note.Task.String(), "attempt": note.Attempt, "worker": note.Worker, "verdict": note.Verdict.String(),
			"clock_ms": note.Clock.Milliseconds(), "lists_age_ms": note.ListsAge.Milliseconds(),
		})
	}
	for _, note := range n.Throttled {
		d.counter("attempts.paced").Inc(1)
		event.TaskPaced.Log(d.Logger, logrus.Fields{"task": note.Task.String(), "worker": note.Worker, "percent": note.Percent})
	}
	d.reportStopped(n.Stopped)
	for _, note := range n.Lost {
		d.counter("attempts.lost").Inc(1)
		d.counter("attempts.lost_" + strings.ReplaceAll(note.Reason, " ", "_")).Inc(1)
		event.AttemptLost.Log(d.Logger, logrus.Fields{
			"task": note.Task.String(), "attempt": note.Attempt, "worker": note.Worker, "reason": note.Reason, "silent_ms": note.Silent.Milliseconds(),
		})
	}
	for _, note := range n.Crashes {
		d.counter("attempts.crashed").Inc(1)
		event.WorkerLostUnderTask.Log(d.Logger, logrus.Fields{
			"task": note.Task.String(), "worker": note.Worker, "over": note.Over, "started": note.Started, "settled": note.Settled, "blamed": note.Blamed,
			"explained": note.Explained, "crashes": note.Crashes, "given_up": note.GivenUp,
		})
	}
	for _, note := range n.Trials {
		d.counter("attempts.on_trial").Inc(1)
		event.TaskOnTrial.Log(d.Logger, logrus.Fields{"task": note.Task.String(), "worker": note.Worker, "headroom": math.Round(note.Headroom*100) / 100})
	}
	for _, note := range n.Unheard {
		d.gauge("workers.unheard").Update(int64(note.Unheard))
		event.WorkersUnheard.Log(d.Logger, logrus.Fields{
			"after_ms": note.After.Milliseconds(), "enrolled": note.Enrolled, "answered": note.Answered, "quorum": note.Quorum,
			"unheard": note.Unheard, "named": note.Named, "without_entry": note.WithoutEntry, "restarted": note.Restarted, "oldest_claim": note.OldestClaim,
		})
	}
	for _, note := range n.SetAside {
		d.counter("workers.set_aside").Inc(1)
		event.WorkerSetAside.Log(d.Logger, logrus.Fields{"worker": note.Worker, "reason": note.Reason, "for_ms": note.For.Milliseconds()})
	}
	for _, note := range n.Evacuations {
		e := event.EvacuationObeyed
		if note.Workers == 0 {
			e = event.EvacuationNowhere
		}
		e.Log(d.Logger, logrus.Fields{"domain": note.Domain, "workers": note.Workers, "running": note.Attempts})
	}
	for _, note := range n.Reserved {
		d.counter("workers.reserved").Inc(1)
		event.WorkerReserved.Log(d.Logger, logrus.Fields{
			"job": note.Job, "occurrence": note.Occurrence, "step": note.Step, "worker": note.Worker, "milli_cpu": note.Size.MilliCPU, "memory_mb": note.Size.MemoryMB,
			"waited_ms": note.Waited.Milliseconds(), "ready_ms": note.Ready.Milliseconds(),
		})
	}
	for _, note := range n.LateAdvice {
		d.counter("advice.late").Inc(1)
		event.AdviceLate.Log(d.Logger, logrus.Fields{
			"job": note.Job, "step": note.Step, "workers": note.Workers, "took_ms": note.Took.Milliseconds(), "valid_ms": note.Validity.Milliseconds(),
		})
	}
	for _, note := range n.Held {
		d.counter("steps.held").Inc(1)
		event.StepWaiting.Log(d.Logger, logrus.Fields{
			"job": note.Job, "occurrence": note.Occurrence, "step": note.Step, "waiting": note.Waiting, "waited_ms": note.Waited.Milliseconds(),
			"idle_ms": note.Idle.Milliseconds(), "evacuated": note.Evacuated, "unusable": note.Unusable, "set_aside": note.SetAside, "no_room": note.NoRoom, "unfit": note.Unfit,
			"unpermitted": note.Unpermitted, "harmful": note.Harmful, "lacking_headroom": math.Round(note.LackingHeadroom*100) / 100,
			"occupied": note.Occupied, "open_start": note.OpenStart, "unheard": note.Unreconciled,
			"milli_cpu": note.Size.MilliCPU, "memory_mb": note.Size.MemoryMB, "largest_gap": note.LargestGap, "free": note.Free,
			"entries_age_ms": note.EntriesAge.Milliseconds(), "no_order": note.HeldUp, "mostly_free": note.MostlyFree,
		})
	}
}

// maxNoteLines is the number of notes of one kind that get a log line each in one report. Jobs make
// as many stops and ends at once as they have tasks, so the others are counted by job.
const maxNoteLines = 100

// noteGroup are notes that share a log line.
type noteGroup struct {
	job job.ID
	// kind is the reason of stops or the kind of ends.
	kind string
}

// reportStopped logs and counts the tasks that were ordered to stop.
func (d *Dispatcher) reportStopped(notes []scheduler.StoppedNote) {
	d.counter("attempts.stopped").Inc(int64(len(notes)))
	further := map[noteGroup]int{}
	for i, note := range notes {
		if i >= maxNoteLines {
			further[noteGroup{note.Task.Job, note.Reason}]++
			continue
		}
		event.StopOrdered.Log(d.Logger, logrus.Fields{
			"task": note.Task.String(), "attempt": note.Attempt, "worker": note.Worker, "reason": note.Reason,
		})
	}
	for g, count := range further {
		event.StopsOrdered.Log(d.Logger, logrus.Fields{"job": g.job, "reason": g.kind, "stops": count})
	}
}

// reportEnded logs and counts the attempts whose ends workers have listed.
func (d *Dispatcher) reportEnded(notes []scheduler.EndedNote) {
	kinds, further := map[fleet.EndKind]int64{}, map[noteGroup]int{}
	for i, note := range notes {
		kinds[note.Kind]++
		if i >= maxNoteLines {
			further[noteGroup{note.Task.Job, string(note.Kind)}]++
			continue
		}
		event.AttemptEnded.Log(d.Logger, logrus.Fields{
			"task": note.Task.String(), "attempt": note.Attempt, "worker": note.Worker, "how": note.Kind, "ran_ms": note.Ran.Milliseconds(),
		})
	}
	for kind, count := range kinds {
		d.counter("attempts.ended_" + string(kind)).Inc(count)
	}
	for g, count := range further {
		event.AttemptsEnded.Log(d.Logger, logrus.Fields{"job": g.job, "how": g.kind, "attempts": count})
	}
}

// reportWaiting updates the gauges of tasks that wait for a worker, by priority, and of what goes
// on in evacuated failure domains.
func (d *Dispatcher) reportWaiting() {
	d.mu.Lock()
	tasks := d.shard.Waiting()
	evacuations := d.shard.Evacuations()
	d.mu.Unlock()
	workers, running := 0, 0
	for _, e := range evacuations {
		workers += e.Workers
		running += e.Attempts
	}
	d.gauge("evacuations.workers").Update(int64(workers))
	d.gauge("evacuations.running").Update(int64(running))
	for priority := range tasks {
		if d.waitingGauges[priority] == nil {
			d.waitingGauges[priority] = metrics.GetOrRegisterGauge(fmt.Sprintf("tasks.waiting_priority_%d", priority), d.Metrics)
		}
	}
	for priority, gauge := range d.waitingGauges {
		gauge.Update(int64(tasks[priority]))
	}
}

// reportOrders updates the gauges of the orders in flight.
func (d *Dispatcher) reportOrders() {
	d.mu.Lock()
	window, starts := int64(d.starts.size), int64(d.starts.inFlight)
	stopWindow, stops, waiting := int64(d.stops.size), int64(d.stops.inFlight), int64(d.stops.waiting)
	d.mu.Unlock()
	d.gauge("starts.window").Update(window)
	d.gauge("starts.in_flight").Update(starts)
	d.gauge("stops.window").Update(stopWindow)
	d.gauge("stops.in_flight").Update(stops)
	d.gauge("stops.waiting").Update(waiting)
	d.gauge("throttles.in_flight").Update(int64(d.throttles.load()))
}

func (d *Dispatcher) gauge(name string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(name, d.Metrics)
}

func (d *Dispatcher) timer(name string) metrics.Timer {
	return metrics.GetOrRegisterTimer(name, d.Metrics)
}

func (d *Dispatcher) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, d.Metrics)
}

// countRefusedStart counts a start order that a worker refused or did not answer, or that was not sent.
func (d *Dispatcher) countRefusedStart(v fleet.Verdict, err error) {
	switch {
	case errors.Is(err, platform.ErrOutcomeUnknown):
		d.counter("starts.unanswered").Inc(1)
	case err != nil:
		d.counter("starts.unsent").Inc(1)
	default:
		d.counter("starts.refused_" + v.String()).Inc(1)
	}
}
