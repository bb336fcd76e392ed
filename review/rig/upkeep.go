package main

import (
	"fmt"
	"time"
)

// upkeepOfServing declares a wave of upkeep for the machines that a step's tasks run on. The
// step lasts, writes checkpoints and may miss one task.
func upkeepOfServing(s *System, trouble bool) (verdict, error) {
	const (
		id      = "a000000000000001"
		tasks   = 3
		mayMiss = 1
		startMS = 1500
	)
	p := payload{StartMS: startMS, Saves: true}
	if err := s.submit(id, p, step{Count: tasks, CPU: 4000, MemMB: 8000, LongRunning: true, Checkpointing: true, MayMiss: mayMiss, AntiAffinity: 1}); err != nil {
		return nil, err
	}
	var machines []*Worker
	for i := range tasks {
		w := s.awaitRun(fmt.Sprintf("%s.0.0.%d", id, i), 2*startMS*time.Millisecond, 20*time.Second)
		if w == nil {
			return nil, fmt.Errorf("task %d does not run", i)
		}
		machines = append(machines, w)
	}
	if trouble {
		s.record.line("the operator declares wave 1: %d machines, at most 2 at once", len(machines))
		s.machines.DeclareWave(s.store, 1, 2, machines...)
	}
	time.Sleep(40 * time.Second)
	return tooManyAway(s.record, tasks, mayMiss, startMS*time.Millisecond), nil
}

// tooManyAway returns the stops and upkeeps that have ended a task at work while so many other
// tasks of its step were away as it may miss. Only those count as away that such an order has
// ended and that are not at work again.
func tooManyAway(r *Record, tasks, mayMiss int, startTime time.Duration) verdict {
	var v verdict
	runs := r.snapshot()
	for _, run := range runs {
		at := run.stopAt
		if at.IsZero() && run.how == "lost with its worker" {
			at = run.endedAt
		}
		if at.IsZero() || at.Before(run.startedAt.Add(startTime)) {
			continue
		}
		away := 0
		for i := range tasks {
			other := fmt.Sprintf("%s.0.0.%d", run.task[:16], i)
			if other != run.task && isAway(runs, other, at, startTime) {
				away++
			}
		}
		if away >= mayMiss {
			v = append(v, fmt.Sprintf("%s at work on %s is ended by an order at %s, while %d others of its step are away; it may miss %d",
				run.task, run.worker, r.at(at), away, mayMiss))
		}
	}
	return v
}

// isAway reports whether a task was away at a time because an order had ended it.
func isAway(runs []runRecord, task string, at time.Time, startTime time.Duration) bool {
	orderedAway := false
	for _, run := range runs {
		if run.task != task || run.startedAt.After(at) {
			continue
		}
		ended := run.stopAt
		if ended.IsZero() {
			ended = run.endedAt
		}
		switch {
		case !ended.IsZero() && !ended.After(at):
			orderedAway = !run.stopAt.IsZero() || run.how == "lost with its worker"
		case !at.Before(run.startedAt.Add(startTime)):
			return false
		}
	}
	return orderedAway
}
