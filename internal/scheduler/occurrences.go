package scheduler

import (
	"cmp"
	"slices"

	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// Of a schedule, only occurrences that wait or run are held. Those that are done are known from
// the job's progress, and due ones beyond the limits from the times of the schedule.
const (
	// maxHeldOccurrences limits the occurrences of a job that are held.
	maxHeldOccurrences = 1000
	// maxHeldTasks limits their tasks. One occurrence may have that many, so a schedule takes no
	// more memory than a job without one.
	maxHeldTasks = 50_000
	// maxScheduledTasks limits the tasks held for all schedules. Each job may hold its share of
	// them in any case, and one occurrence.
	maxScheduledTasks = 100_000
	// maxDoneSpan limits the tasks between the first that is not done and the last that may
	// start. The progress record has a bit for each of them.
	maxDoneSpan = 500_000
)

// occurrence is one run of the steps of a job.
type occurrence struct {
	number int
	steps  []*stepRun
}

func compareOccurrence(o occurrence, number int) int { return cmp.Compare(o.number, number) }

// findOccurrence returns the steps of an occurrence, and whether it is held.
func (j *jobState) findOccurrence(number int) ([]*stepRun, bool) {
	i, held := slices.BinarySearchFunc(j.occurrences, number, compareOccurrence)
	if !held {
		return nil, false
	}
	return j.occurrences[i].steps, true
}

// allSteps returns the steps of the occurrences that are held.
func (j *jobState) allSteps() []*stepRun {
	var steps []*stepRun
	for _, o := range j.occurrences {
		steps = append(steps, o.steps...)
	}
	return steps
}

func allDone(steps []*stepRun) bool {
	return !slices.ContainsFunc(steps, func(r *stepRun) bool { return r.remaining > 0 })
}

// addOccurrence creates an occurrence that is not held, and returns its steps.
func (s *Shard) addOccurrence(now Instant, j *jobState, number int) []*stepRun {
	steps := j.buildSteps(number)
	i, _ := slices.BinarySearchFunc(j.occurrences, number, compareOccurrence)
	j.occurrences = slices.Insert(j.occurrences, i, occurrence{number, steps})
	s.estimateObjective(steps)
	for _, r := range steps {
		s.enqueueStep(now, r)
	}
	return steps
}

// isDone reports whether all tasks of an occurrence are recorded as done.
func (j *jobState) isDone(number int) bool {
	tasks := j.sub.Spec.TasksPerOccurrence()
	for n := max(number*tasks, j.progress.Done.Below); n < (number+1)*tasks; n++ {
		if !j.progress.Done.Has(n) {
			return false
		}
	}
	return true
}

// spanEnd returns the end of the occurrences that lie within the given number of tasks beyond the
// first task that is not done. That task's own occurrence is always among them.
func (j *jobState) spanEnd(tasks int) int {
	below, each := j.progress.Done.Below, j.sub.Spec.TasksPerOccurrence()
	return max(below/each+1, (below+tasks)/each)
}

// mayHold reports whether an occurrence that is not held may be created because a worker tells
// of it. An earlier owner may have come further than its last record of the job says.
func (j *jobState) mayHold(number int) bool {
	return number < j.spanEnd(2*maxDoneSpan) && !j.isDone(number)
}

// heldTasks returns the tasks of the occurrences that are held.
func (j *jobState) heldTasks() int { return len(j.occurrences) * j.sub.Spec.TasksPerOccurrence() }

// countDue returns the occurrences of a schedule that are due, from the first on.
func countDue(spec *job.Spec, nowMS int64) int {
	passed := nowMS - spec.FirstDueMS
	switch {
	case passed < 0:
		return 0
	case spec.IntervalMS == 0:
		return spec.Occurrences
	}
	return int(min(int64(spec.Occurrences), passed/spec.IntervalMS+1))
}

// scheduledTasks returns the tasks that are held for schedules, and the number of schedules
// that hold some or have an occurrence that is due.
func (s *Shard) scheduledTasks() (tasks, schedules int) {
	for _, j := range s.periodic {
		tasks += j.heldTasks()
		if len(j.occurrences) > 0 || j.next < countDue(&j.sub.Spec, s.nowMS) {
			schedules++
		}
	}
	return tasks, schedules
}

// addDueOccurrences drops the occurrences of schedules that are over and creates those that are
// due, as far as the limits allow.
func (s *Shard) addDueOccurrences(now Instant) {
	for id, j := range s.periodic {
		if j.ended() {
			delete(s.periodic, id)
		} else if j.doneOccurrences > 0 {
			j.dropDone()
		}
	}
	held, schedules := s.scheduledTasks()
	for _, j := range s.periodic {
		held += s.addDueOccurrencesOf(now, j, held, maxScheduledTasks/max(1, schedules))
	}
}

// addDueOccurrencesOf is addDueOccurrences for one job. held are the tasks of all schedules that
// are held, share those that the job may hold in any case. It returns the number of tasks added.
func (s *Shard) addDueOccurrencesOf(now Instant, j *jobState, held, share int) int {
	tasks, added, due := j.sub.Spec.TasksPerOccurrence(), 0, countDue(&j.sub.Spec, s.nowMS)
	for ; j.next < min(due, j.spanEnd(maxDoneSpan)); j.next++ {
		if _, known := j.findOccurrence(j.next); known || j.isDone(j.next) {
			continue
		}
		own := j.heldTasks() + tasks
		if n := len(j.occurrences); n > 0 && (n >= maxHeldOccurrences || own > maxHeldTasks || own > share && held+added+tasks > maxScheduledTasks) {
			break
		}
		s.addOccurrence(now, j, j.next)
		added += tasks
	}
	return added
}

// dropDone drops the occurrences whose tasks are done and have no attempt that may run, and what
// the progress holds of their attempts.
func (j *jobState) dropDone() {
	j.doneOccurrences = 0
	j.occurrences = slices.DeleteFunc(j.occurrences, func(o occurrence) bool {
		if !allDone(o.steps) {
			return false
		}
		for _, r := range o.steps {
			if slices.ContainsFunc(r.tasks, func(t *task) bool { return len(t.liveAttempts) > 0 }) {
				j.doneOccurrences++
				return false
			}
		}
		for _, r := range o.steps {
			for _, t := range r.tasks {
				delete(j.progress.Failures, t.number)
				delete(j.progress.EarlierFailures, t.number)
				delete(j.progress.Settled, t.number)
			}
		}
		return true
	})
}

// admitSchedule decides on a job with a schedule: its due occurrences have to be held, so it is
// refused while those of other schedules leave no memory for them.
func (s *Shard) admitSchedule(sub *job.Submission) Admission {
	tasks := sub.Spec.TasksPerOccurrence()
	due := min(countDue(&sub.Spec, s.nowMS), maxHeldOccurrences, max(1, maxHeldTasks/tasks))
	if held, _ := s.scheduledTasks(); due > 0 && held+due*tasks > maxScheduledTasks {
		return Admission{Reason: reasonDueWork, RetryAfter: maxRetryAfter}
	}
	return Admission{Admitted: true}
}
