package scheduler

import "time"

// JobStats sums up how the tasks of a job were served under this owner. Lines about single
// tasks are bounded, so this is what tells of every job.
type JobStats struct {
	// Starts counts the starts of tasks that workers have accepted.
	Starts int
	// FirstStart is for how long the task that was started first had waited, and LongestWait
	// the longest wait for a start, that of a task that was stopped or lost included.
	FirstStart, LongestWait time.Duration
	// Stops counts the attempts that were stopped before the job was over, and StoppedRan is for
	// how long they had run.
	Stops      int
	StoppedRan time.Duration
}

// addStart counts a start of a task that had waited for a time.
func (r *JobStats) addStart(waited time.Duration) {
	if r.Starts == 0 {
		r.FirstStart = waited
	}
	r.Starts++
	r.LongestWait = max(r.LongestWait, waited)
}

// addStop counts an attempt that was stopped after it had run for a time.
func (r *JobStats) addStop(ran time.Duration) {
	r.Stops++
	r.StoppedRan += ran
}
