package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
	"github.com/siskinvane/siskinvane/internal/scheduler/length"
)

// jobState is a job that has not ended, or whose end is not recorded yet.
type jobState struct {
	id        job.ID
	sub       *job.Submission
	progress  job.Progress
	started   bool
	cancelled bool
	// recorded is the last state in the log.
	recorded job.State
	// parts are the parts of the progress that the log has.
	parts job.Parts
	// refused is set while the log lacks a change of the job since the store has refused it.
	refused bool
	// endNote is reported once the job's end is in the log, and so visible to callers.
	endNote *JobEndedNote
	// occurrences are those that are held, sorted by number; see occurrences.go.
	occurrences []occurrence
	// next is the lowest occurrence that was not looked at yet.
	next int
	// doneOccurrences counts the occurrences that are held although all their tasks are done.
	doneOccurrences int
	// firstObjectiveMS is the latency objective of occurrence 0, in Unix milliseconds, or zero
	// if this owner has not held it.
	firstObjectiveMS int64
	// remaining counts the tasks of all occurrences that are not done.
	remaining int
	// acceptedMS is when the job was accepted, in Unix milliseconds. If this owner
	// learned of the job immediately, it uses its own time of day, since the times of day
	// of hosts may differ by seconds.
	acceptedMS int64
	// liveAttempts counts the attempts of the job's tasks that may be running; idleSince is
	// since when there are none.
	liveAttempts int
	idleSince    Instant
	// beforeTakeover is set for jobs that an earlier owner may have worked on.
	beforeTakeover bool
	stats          JobStats
}

// stepRun is a step of one occurrence.
type stepRun struct {
	job        *jobState
	spec       *job.Step
	occurrence int
	stepIndex  int
	tasks      []*task
	remaining  int
	// blockedBy counts the steps that must be done first.
	blockedBy  int
	dependents []*stepRun
	// kind groups tasks that are expected to take similarly long.
	kind length.TaskKind
	// longestRun is the longest run time of a task that is done.
	longestRun time.Duration
	// criticalPath is the expected length of the longest chain of dependent work that
	// starts with this step.
	criticalPath time.Duration
	// beginMS is when the occurrence was submitted or due, and objectiveMS when callers
	// must see it as done for it to meet its latency objective, in Unix milliseconds.
	beginMS, objectiveMS int64
	// advice is set if the advice service has to permit workers.
	advice *advice
	// startable are the tasks that wait for a worker.
	startable []*task
	queued    bool
	// triedAll is set once each startable task was tried on every worker; workers that
	// changed since then are in the dirty set, after the first triedChanges changes.
	triedAll     bool
	triedChanges int
	// waitingNotedAt is when a WaitingNote for the step was last added.
	waitingNotedAt Instant
}

// task is one task of a step.
type task struct {
	step  *stepRun
	index int
	// number is the task's number in job.Progress.
	number     int
	done       bool
	failures   job.Attempts
	checkpoint string
	// lastAttempt is the highest attempt number used.
	lastAttempt platform.Attempt
	// seenRunning is set once an earlier owner's attempt was seen running.
	seenRunning bool
	// liveAttempts are the attempts that may be running.
	liveAttempts []*attempt
	// queued is set while the task is among its step's startable tasks.
	queued bool
	// queuedAt is when the task was last queued.
	queuedAt Instant
	// stoppedAt is when the task last lost an attempt.
	stoppedAt Instant
	// refusals counts the start orders refused in a row; the next one may go out at retryAt.
	refusals int
	retryAt  Instant
	// crashChange is the journal's number of the task's last crash, or zero.
	crashChange uint64
	// stalls counts the attempts that were stopped because they made no progress.
	stalls int
	// heldSince is since when a worker with room was left out for the task because others
	// had just started there, or zero.
	heldSince Instant
}

func (t *task) ref() job.TaskRef {
	return job.TaskRef{Job: t.step.job.id, Occurrence: t.step.occurrence, Step: t.step.stepIndex, Index: t.index}
}

// ownerOverlap is how long an earlier owner may still start tasks of jobs that were
// accepted after its shard was taken over: it is told of new jobs until its last join
// of the store's group is 0.8 s old, and learns of the takeover by its next record at
// the latest.
const ownerOverlap = 1500 * time.Millisecond

// AddJob adds a job that has just been written to the log; see AddReadJob.
func (s *Shard) AddJob(now Instant, e job.Entry) { s.AddReadJob(now, now, e) }

// AddReadJob adds a job from the log, unless it is known or has ended. The job was
// written to the log at the time since or later. Jobs that were accepted before the
// takeover or shortly after it may have attempts that this owner has no record of.
func (s *Shard) AddReadJob(now, since Instant, e job.Entry) {
	beforeTakeover := since < s.takenOverAt+ownerOverlap
	if _, known := s.jobs[e.ID]; known || e.Submission == nil || e.Progress.State.Final() {
		return
	}
	j := &jobState{
		id: e.ID, sub: e.Submission, progress: cloneProgress(e.Progress), parts: e.Parts,
		recorded: e.Progress.State, started: e.Progress.State == job.Running, beforeTakeover: beforeTakeover,
	}
	s.jobs[e.ID] = j
	j.acceptedMS = e.Submission.AcceptedMS
	if !beforeTakeover && s.nowMS > 0 {
		j.acceptedMS = s.nowMS
	}
	j.remaining = j.sub.Spec.OccurrenceCount()*j.sub.Spec.TasksPerOccurrence() - j.progress.Done.Len()
	if j.sub.Spec.Occurrences > 0 {
		s.periodic[j.id] = j
	} else {
		s.addOccurrence(now, j, 0)
		s.addStartDemand(j)
	}
	s.claimOrphans(now, j)
	if e.Cancelled {
		s.CancelJob(now, e.ID)
	}
	s.applyHeldEnds(now, j)
}

func cloneProgress(p job.Progress) job.Progress {
	c := p
	c.Done = p.Done.Clone()
	c.Failures, c.Checkpoints, c.Crashes = map[int]job.Attempts{}, map[int]string{}, map[int][]job.Crash{}
	maps.Copy(c.Crashes, p.Crashes)
	c.Settled, c.EarlierFailures = maps.Clone(p.Settled), maps.Clone(p.EarlierFailures)
	for n, f := range p.Failures {
		c.Failures[n] = f
	}
	for n, checkpoint := range p.Checkpoints {
		c.Checkpoints[n] = checkpoint
	}
	return c
}

// buildSteps creates the steps of an occurrence and restores their recorded progress.
func (j *jobState) buildSteps(occurrence int) []*stepRun {
	spec := &j.sub.Spec
	number := occurrence * spec.TasksPerOccurrence()
	steps := make([]*stepRun, 0, len(spec.Steps))
	for i := range spec.Steps {
		r := &stepRun{job: j, spec: &spec.Steps[i], occurrence: occurrence, stepIndex: i, blockedBy: len(spec.Steps[i].DependsOn)}
		number = r.addTasks(number)
		steps = append(steps, r)
	}
	linkSteps(steps)
	begin := j.acceptedMS
	if spec.Occurrences > 0 {
		begin = spec.DueMS(occurrence)
	}
	for _, r := range steps {
		r.beginMS = begin
		r.kind = length.TaskKind(string(j.sub.Queue) + "/" + r.spec.Image)
	}
	return steps
}

// estimateObjective estimates the critical paths and the latency objective of an
// occurrence from what its tasks have taken so far and from what similar tasks took.
func (s *Shard) estimateObjective(steps []*stepRun) {
	criticalPath := time.Duration(0)
	for _, r := range slices.Backward(steps) {
		r.criticalPath = 0
		for _, dependent := range r.dependents {
			r.criticalPath = max(r.criticalPath, dependent.criticalPath)
		}
		if r.remaining == 0 && r.longestRun > 0 {
			r.criticalPath += r.longestRun
		} else {
			r.criticalPath += max(r.longestRun, s.lengths.Predict(r.kind, r.spec.Estimate()))
		}
		criticalPath = max(criticalPath, r.criticalPath)
	}
	for _, r := range steps {
		sub := r.job.sub
		r.objectiveMS = r.beginMS + int64(sub.Stretch*float64(criticalPath.Milliseconds())) + sub.TargetMS
	}
	if first := steps[0]; first.occurrence == 0 {
		first.job.firstObjectiveMS = first.objectiveMS
	}
}

// addTasks creates the step's tasks, numbered from number on, and returns the next
// number.
func (r *stepRun) addTasks(number int) int {
	p := &r.job.progress
	for i := range r.spec.Tasks {
		t := &task{step: r, index: i, number: number, done: p.Done.Has(number), failures: p.Failures[number], checkpoint: p.Checkpoints[number]}
		r.tasks = append(r.tasks, t)
		if !t.done {
			r.remaining++
		}
		number++
	}
	if i := slices.IndexFunc(r.tasks, func(t *task) bool { return t.checkpoint != "" }); i >= 0 {
		// The members of a gang whose ends no owner has recorded have none of their own.
		r.tasks[i].saveCheckpoint(r.tasks[i].checkpoint)
	}
	return number
}

// linkSteps connects the steps of an occurrence along their dependencies.
func linkSteps(steps []*stepRun) {
	for _, r := range steps {
		for _, d := range r.spec.DependsOn {
			dependency := steps[d]
			dependency.dependents = append(dependency.dependents, r)
			if dependency.remaining == 0 {
				r.blockedBy--
			}
		}
	}
}

// enqueueStep queues the tasks of a step for workers if no dependency blocks it.
func (s *Shard) enqueueStep(now Instant, r *stepRun) {
	if r.blockedBy > 0 || r.remaining == 0 {
		return
	}
	for _, t := range r.tasks {
		s.enqueue(now, t)
	}
}

// enqueue queues a task for a worker, unless it is done or blocked, has an attempt that
// may be running, or its job has ended.
func (s *Shard) enqueue(now Instant, t *task) {
	r := t.step
	if t.queued || t.done || len(t.liveAttempts) > 0 || r.blockedBy > 0 || r.job.ended() {
		return
	}
	t.queued, t.queuedAt = true, now
	r.startable = append(r.startable, t)
	s.waiting.add(r)
}

// ended reports whether no task of the job may start any more.
func (j *jobState) ended() bool { return j.cancelled || j.progress.State.Final() }

// CancelJob ends a job whose cancellation is in the log.
func (s *Shard) CancelJob(now Instant, id job.ID) {
	j, ok := s.jobs[id]
	if !ok || j.ended() {
		return
	}
	j.cancelled = true
	s.endJob(now, j, job.Cancelled)
}

// endJob sets a job's final state and stops its attempts.
func (s *Shard) endJob(now Instant, j *jobState, state job.State) {
	j.progress.State = state
	j.endNote = &JobEndedNote{
		Job: j.id, State: state, TookMS: s.nowMS - j.acceptedMS, ObjectiveMS: j.objectiveMS(),
		Tasks: j.sub.Spec.OccurrenceCount() * j.sub.Spec.TasksPerOccurrence(), JobStats: j.stats,
	}
	s.journal.markDirty(j)
	for _, r := range j.allSteps() {
		r.startable = nil
		for _, t := range r.tasks {
			t.queued = false
			s.stopAttempts(now, t, reasonJobOver)
		}
	}
}

// objectiveMS returns the latency objective of the job's first occurrence, counted from
// the job's acceptance, or zero if this owner does not know it.
func (j *jobState) objectiveMS() int64 {
	if j.firstObjectiveMS == 0 {
		return 0
	}
	return j.firstObjectiveMS - j.acceptedMS
}

// stopAttempts stops all attempts of a task.
func (s *Shard) stopAttempts(now Instant, t *task, reason string) {
	for _, a := range t.liveAttempts {
		s.stopAttempt(now, a, reason)
	}
}

// completeTask records that an attempt of a task has finished. The members of a gang
// finish together, so the end of one is the end of all.
func (s *Shard) completeTask(now Instant, t *task) {
	if !t.step.spec.Gang {
		s.markDone(now, t)
		return
	}
	for _, member := range t.step.tasks {
		s.markDone(now, member)
	}
}

func (s *Shard) markDone(now Instant, t *task) {
	if t.done {
		return
	}
	t.done = true
	s.dequeue(t)
	r, j := t.step, t.step.job
	j.progress.Done.Add(t.number)
	delete(j.progress.Checkpoints, t.number)
	delete(j.progress.Crashes, t.number)
	s.journal.markDirty(j)
	r.remaining--
	j.remaining--
	if r.remaining == 0 {
		steps, _ := j.findOccurrence(r.occurrence)
		s.estimateObjective(steps)
		if allDone(steps) {
			j.doneOccurrences++
		}
		for _, dependent := range r.dependents {
			dependent.blockedBy--
			s.enqueueStep(now, dependent)
		}
	}
	if j.remaining == 0 && !j.ended() {
		s.endJob(now, j, job.Done)
	}
}

// countFailure counts a failed attempt and fails the job after too many. A gang fails
// as a whole, once for each shared attempt number.
func (s *Shard) countFailure(now Instant, t *task, attempt platform.Attempt) {
	j := t.step.job
	if t.step.spec.Gang {
		t = t.step.tasks[0]
	}
	if t.done || j.ended() || t.step.spec.LongRunning || j.countsFailure(t, attempt) {
		return
	}
	t.failures = append(slices.Clone(t.failures), attempt)
	if len(t.failures) > job.MaxListedFailures {
		earliest := slices.Min(t.failures)
		t.failures = slices.DeleteFunc(t.failures, func(a platform.Attempt) bool { return a == earliest })
		if j.progress.EarlierFailures == nil {
			j.progress.EarlierFailures = map[int]int{}
		}
		j.progress.EarlierFailures[t.number]++
	}
	j.progress.Failures[t.number] = t.failures
	s.journal.markDirty(j)
	if j.sub.MaxFailures > 0 && len(t.failures)+j.progress.EarlierFailures[t.number] >= j.sub.MaxFailures {
		s.endJob(now, j, job.Failed)
	}
}

// countsFailure reports whether a failed attempt of a task was counted before. One that is
// earlier than all that are listed was, if any was left out: workers list ends in order, and
// those of so long ago are acknowledged.
func (j *jobState) countsFailure(t *task, attempt platform.Attempt) bool {
	return slices.Contains(t.failures, attempt) || j.progress.EarlierFailures[t.number] > 0 && attempt < slices.Min(t.failures)
}

// markStarted records that a worker has started a task of a job. An order alone does not
// count: it may be withdrawn or refused, and the job then still waits.
func (s *Shard) markStarted(j *jobState) {
	if j.started {
		return
	}
	j.started = true
	if j.progress.State == job.Queued {
		j.progress.State = job.Running
		s.journal.markDirty(j)
	}
}

// State returns the state of a job to report to callers, and whether the shard still
// has the job. A final state is reported only once it is recorded.
func (s *Shard) State(id job.ID) (job.State, bool) {
	j, ok := s.jobs[id]
	if !ok {
		return 0, false
	}
	if j.progress.State.Final() && !j.recorded.Final() {
		return job.Running, true
	}
	return j.progress.State, true
}
