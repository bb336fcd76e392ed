package owner

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/event"
	"github.com/siskinvane/siskinvane/internal/process/place"
	"github.com/siskinvane/siskinvane/internal/process/pressure"
	"github.com/siskinvane/siskinvane/internal/process/record"
)

const (
	// unthrottledPercent is the throttle value of an unthrottled attempt.
	unthrottledPercent = 100
	// maxThrottlesPerRound bounds the throttle calls to one worker in one round.
	maxThrottlesPerRound = 4
)

// planEvictions asks the planner for evictions and throttles and returns the
// records of the evictions. Throttles are not recorded: the planner keeps the
// desired values and callWorker calls the workers until they have accepted them.
// The caller is inside follower.View.
func (o *Owner) planEvictions() []record.Record {
	now := o.config.Now()
	var records []record.Record
	for _, a := range o.placement.planner.NextActions(now) {
		fields := logrus.Fields{"task": a.Task, "worker": a.Worker, "reason": a.Reason}
		if a.Kind == pressure.Throttle {
			fields["percent"] = a.Percent
			event.TaskThrottled.Log(o.config.Logger, fields)
			continue
		}
		t := o.table.Task(a.Task)
		if t == nil || t.State != record.Running || t.Worker != a.Worker {
			continue
		}
		event.TaskEvicted.Log(o.config.Logger, fields)
		records = append(records, record.Record{Transition: &record.Transition{
			Task: a.Task, Attempt: t.Attempt, State: record.Checkpointing, Reason: a.Reason, AtMillis: now.UnixMilli(),
		}})
	}
	return records
}

// throttleCall is a throttle call to make.
type throttleCall struct {
	platform.TaskAttempt
	percent int
}

// dueThrottles returns the throttles that a worker has not accepted yet, at most
// maxThrottlesPerRound. It also drops the accepted throttles of attempts that the
// planner no longer has. The caller is inside follower.View and holds mu.
func (o *Owner) dueThrottles(t term, w *workerState) []throttleCall {
	view := o.placement.planner.Cache().Worker(w.id)
	if view == nil || !w.contact.Callable(o.config.Now()) {
		return nil
	}
	var due []throttleCall
	view.EachResident(func(r *place.Resident) {
		id := platform.TaskAttempt{Task: r.Task, Attempt: r.Attempt}
		if r.Service != "" || len(due) == maxThrottlesPerRound || r.EffectiveCPUPercent() == w.acceptedThrottle(id, r.SavedAt, t, view) {
			return
		}
		if current := o.table.Task(r.Task); current != nil && current.State == record.Running && current.Attempt == r.Attempt {
			due = append(due, throttleCall{id, r.EffectiveCPUPercent()})
		}
	})
	for id := range w.acceptedThrottles {
		if r := o.placement.planner.Cache().Resident(id.Task); r == nil || r.Attempt != id.Attempt {
			delete(w.acceptedThrottles, id)
		}
	}
	return due
}

// acceptedThrottle returns the throttle that the worker last accepted for an
// attempt. It is 0, meaning unknown, for an attempt that shares the worker with a
// service and started before the term: an earlier owner may have throttled it.
// The caller holds mu.
func (w *workerState) acceptedThrottle(id platform.TaskAttempt, runningSince time.Time, t term, view *place.WorkerView) int {
	if percent, ok := w.acceptedThrottles[id]; ok {
		return percent
	}
	if runningSince.Before(t.claimed) && len(view.Victims) > 0 {
		return 0
	}
	return unthrottledPercent
}

// sendThrottle makes one throttle call and stores the throttle if it was
// accepted, or if the worker does not know the attempt.
func (o *Owner) sendThrottle(ctx context.Context, t term, w *workerState, call throttleCall) error {
	reply, err := w.control.Throttle(ctx, platform.ThrottleRequest{
		TaskAttempt: call.TaskAttempt, Fence: o.fence(t), Percent: call.percent,
	})
	if err != nil {
		return err
	}
	o.recordAnswer(w, reply.Result)
	o.mu.Lock()
	defer o.mu.Unlock()
	if reply.Result == platform.Accepted || reply.Result == platform.RefusedUnknown {
		if w.acceptedThrottles == nil {
			w.acceptedThrottles = map[platform.TaskAttempt]int{}
		}
		w.acceptedThrottles[call.TaskAttempt] = call.percent
	}
	return nil
}
