package scheduler

import (
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// journal collects the jobs and workers whose changes have to be recorded in the log.
type journal struct {
	// lastChange numbers the latest change, lastRecorded the latest one in the log.
	lastChange   uint64
	lastRecorded uint64
	dirty        map[job.ID]*jobState
	// urgent is set while the end of a job, the end of an attempt, an enrollment or a change
	// of the models waits to be recorded: only then can callers be told, the end be
	// acknowledged, the worker's leases be extended or the next owner know of the change.
	urgent bool
	// enrolled are the workers to be recorded for later owners, unenrolled those whose
	// record later owners no longer need.
	enrolled   map[platform.WorkerID]*workerState
	unenrolled map[platform.WorkerID]bool
	// listed are the workers that the log may list as enrolled.
	listed map[platform.WorkerID]bool
	// models is set while the learned models contain a change that the next owner has to
	// know.
	models bool
	// refusedJobs and refusedWorkers are those whose record the store has refused for what it
	// contains, with the time from which on it is tried again unless a change comes first.
	refusedJobs    map[job.ID]Instant
	refusedWorkers map[platform.WorkerID]Instant
}

// refusalDelay is the delay before a record that the store has refused is tried again without
// a change of its content.
const refusalDelay = 10 * time.Second

// retryRefused has the refused records tried again whose delay is over.
func (s *Shard) retryRefused() {
	for id, at := range s.journal.refusedJobs {
		j, ok := s.jobs[id]
		if ok && s.now < at {
			continue
		}
		delete(s.journal.refusedJobs, id)
		if ok {
			s.journal.markDirty(j)
		}
	}
	for id, at := range s.journal.refusedWorkers {
		w, ok := s.workers[id]
		if ok && s.now < at {
			continue
		}
		delete(s.journal.refusedWorkers, id)
		if ok && (w.enrolled || w.enrolling) {
			s.journal.enroll(w)
		}
	}
}

func (l *journal) enroll(w *workerState) {
	l.enrolled[w.info.ID] = w
	l.listed[w.info.ID] = true
	delete(l.unenrolled, w.info.ID)
	l.urgent = true
}

func (l *journal) unenroll(id platform.WorkerID) {
	delete(l.enrolled, id)
	l.unenrolled[id] = true
}

func (l *journal) markModels() { l.models, l.urgent = true, true }

func (l *journal) markDirty(j *jobState) {
	l.lastChange++
	l.dirty[j.id] = j
	l.urgent = l.urgent || j.progress.State.Final()
}

// Change is the progress of a job that has to be recorded.
type Change struct {
	ID       job.ID
	Progress job.Progress
	// Parts are the parts of the progress that the log has, and once the change is recorded
	// those that it has then.
	Parts job.Parts
	// job is the job, which the shard may have forgotten since.
	job *jobState
}

// Unrecorded holds the changes that are not in the log yet.
type Unrecorded struct {
	Changes []Change
	// Enrolled are workers on which tasks may run.
	Enrolled []job.Enrollment
	// Unenrolled are workers on which no task can run any more.
	Unenrolled []platform.WorkerID
	// Models is set if the learned models have to be recorded.
	Models bool
	// refusedJobs and refusedWorkers are those of which a record was refused.
	refusedJobs    map[job.ID]bool
	refusedWorkers map[platform.WorkerID]bool
	// closed are the workers that were closed for these records.
	closed []*workerState
	// PastTerms are the terms of earlier owners if the ownership record has to be written again
	// with them, or nil. They need not be returned if that fails.
	PastTerms []job.PastTerm
	// Through is the number of the last change; it counts as recorded once the changes
	// are in the log.
	Through uint64
}

// Urgent reports whether a record should be written immediately: of the end of a job, for
// which a caller may be waiting, of the end of an attempt, which its worker repeats
// until it is acknowledged, of an enrollment, without which leases are not extended, or of
// models that the next owner must not be without.
func (s *Shard) Urgent() bool { return s.journal.urgent }

// Refuse notes that the store has refused a record of a job, or else of a worker, for what it
// contains. What the record tells does not count as recorded then, and is not tried again before
// it changes or refusalDelay is over.
func (u *Unrecorded) Refuse(id job.ID, worker platform.WorkerID) {
	switch {
	case id != "":
		if u.refusedJobs == nil {
			u.refusedJobs = map[job.ID]bool{}
		}
		u.refusedJobs[id] = true
	case worker != "":
		if u.refusedWorkers == nil {
			u.refusedWorkers = map[platform.WorkerID]bool{}
		}
		u.refusedWorkers[worker] = true
	}
}

// TakeUnrecorded returns the changes that have to be recorded and removes them from the
// journal. nowMS is the time of day in Unix milliseconds.
func (s *Shard) TakeUnrecorded(nowMS int64) Unrecorded {
	s.retryRefused()
	u := Unrecorded{Through: s.journal.lastChange, Models: s.journal.models, PastTerms: s.takePastTerms(s.now)}
	for id, j := range s.journal.dirty {
		if j.progress.State.Final() && j.progress.EndedMS == 0 {
			j.progress.EndedMS = nowMS
		}
		j.progress.Revision++
		u.Changes = append(u.Changes, Change{ID: id, Progress: cloneProgress(j.progress), Parts: j.parts, job: j})
	}
	for _, w := range s.journal.enrolled {
		e := job.Enrollment{
			Worker: w.info.ID, Addr: w.info.Addr.String(), Service: w.info.Service, Capacity: w.info.Capacity,
			Claim: s.claim, Run: w.run, Lost: w.takeLost(), StrayLeases: s.strayLeft(s.now, w), OpenStarts: s.openStarts(s.now, w),
		}
		if refs := s.mayRun(w); w.silentFor(s.now) >= closeDelay && len(refs) <= maxMayRun && s.attemptsKnown(s.now, w) {
			if !w.closed {
				u.closed = append(u.closed, w)
			}
			w.closed, e.Closed, e.MayRun = true, true, refs
		}
		u.Enrolled = append(u.Enrolled, e)
	}
	for id := range s.journal.unenrolled {
		u.Unenrolled = append(u.Unenrolled, id)
	}
	clear(s.journal.dirty)
	clear(s.journal.enrolled)
	clear(s.journal.unenrolled)
	s.journal.models, s.journal.urgent = false, false
	return u
}

// MarkRecorded marks changes as being in the log.
func (s *Shard) MarkRecorded(u Unrecorded) {
	s.journal.lastRecorded = max(s.journal.lastRecorded, u.Through)
	for _, e := range u.Enrolled {
		if u.refusedWorkers[e.Worker] {
			s.journal.refusedWorkers[e.Worker] = s.now + refusalDelay
			continue
		}
		delete(s.journal.refusedWorkers, e.Worker)
		// A worker whose record is to be deleted needs another one first.
		if w, ok := s.workers[e.Worker]; ok && !s.journal.unenrolled[e.Worker] {
			s.dirty.add(w)
			w.enrolled, w.recordedRun, w.closed = w.info.Addr.String() == e.Addr, e.Run, e.Closed
			w.stray.recorded, w.openStartsRecorded = e.StrayLeases > 0, len(e.OpenStarts) > 0
			if e.Run == w.run {
				w.enrolling = false
			}
		}
	}
	for _, id := range u.Unenrolled {
		if w := s.workers[id]; w == nil || !w.enrolled && !w.enrolling {
			delete(s.journal.listed, id)
		}
	}
	for _, c := range u.Changes {
		j, ok := s.jobs[c.ID]
		if !ok {
			continue
		}
		if j.refused = u.refusedJobs[c.ID]; j.refused {
			j.parts = j.parts.Unknown(c.Parts)
			s.journal.refusedJobs[c.ID] = s.now + refusalDelay
			continue
		}
		delete(s.journal.refusedJobs, c.ID)
		j.parts, j.recorded = c.Parts, c.Progress.State
		if j.endNote != nil && j.recorded.Final() {
			s.notes.JobsEnded = append(s.notes.JobsEnded, *j.endNote)
			j.endNote = nil
		}
		s.forgetJob(j)
	}
}

// ReturnUnrecorded returns changes to the journal that could not be appended to the
// log. untouched is set if none of the records is in the log, so that the workers that they
// close can be used.
func (s *Shard) ReturnUnrecorded(u Unrecorded, untouched bool) {
	for _, w := range u.closed {
		w.closed = !untouched
	}
	for _, c := range u.Changes {
		c.job.parts = c.job.parts.Unknown(c.Parts)
		s.journal.markDirty(c.job)
	}
	for _, e := range u.Enrolled {
		if w, ok := s.workers[e.Worker]; ok {
			s.journal.enroll(w)
		}
	}
	for _, id := range u.Unenrolled {
		if w, ok := s.workers[id]; !ok || !w.enrolled && !w.enrolling {
			s.journal.unenroll(id)
		}
	}
	if u.Models {
		s.journal.markModels()
	}
}

// forgetJob drops a job whose end is recorded and none of whose attempts may still run.
func (s *Shard) forgetJob(j *jobState) {
	if j.recorded.Final() && j.liveAttempts == 0 {
		delete(s.jobs, j.id)
	}
}
