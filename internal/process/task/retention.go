package task

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/siskinvane/siskinvane/internal/platform"
)

const (
	// MaxRetainedTasks bounds the tasks of ended batch jobs that a shard retains. The
	// job that ended last is retained whatever its size.
	MaxRetainedTasks = 1024
	// MaxPurgedIDs is the number of purged jobs whose identifiers are still rejected.
	MaxPurgedIDs = 4096
)

// endedJobs lists the retained batch jobs that have ended, in the order in which they
// ended.
type endedJobs struct {
	jobs  []*job
	tasks int
}

// retainIfEnded adds a job whose tasks are all final to the ended jobs and purges the
// oldest of these beyond the limit. It depends only on the records, so that replicas
// agree. Jobs of services are never purged, since their attempt numbers must keep
// growing.
func (t *Table) retainIfEnded(j *job) {
	if j.unfinished > 0 || j.EndOrder != 0 || j.Spec.Service != "" {
		return
	}
	j.EndOrder = t.stateChanges
	t.updateJobDigest(j)
	t.ended.jobs = append(t.ended.jobs, j)
	t.ended.tasks += int(j.Spec.Count)
	for t.ended.tasks > MaxRetainedTasks && len(t.ended.jobs) > 1 {
		t.purgeOldest()
	}
}

// reopen removes a job from the ended jobs.
func (t *Table) reopen(j *job) {
	if j.EndOrder == 0 {
		return
	}
	i := slices.Index(t.ended.jobs, j)
	t.ended.jobs = slices.Delete(t.ended.jobs, i, i+1)
	t.ended.tasks -= int(j.Spec.Count)
	j.EndOrder = 0
	t.updateJobDigest(j)
}

// purgeOldest removes the job that ended first, with its tasks.
func (t *Table) purgeOldest() {
	oldest := t.ended.jobs[0]
	t.ended.jobs = slices.Delete(t.ended.jobs, 0, 1)
	t.ended.tasks -= int(oldest.Spec.Count)
	for i := range oldest.Spec.Count {
		task := t.tasks[ID(oldest.Spec.ID, oldest.Spec.First+i)]
		t.index.remove(task)
		t.digest ^= task.hash
		delete(t.tasks, task.ID)
	}
	t.digest ^= oldest.hash
	t.purgedCount++
	delete(t.jobs, oldest.Spec.ID)
	t.purged.add(oldest.Spec.ID)
}

// PurgedJobs returns the number of jobs purged so far. EachChangedSince does not visit
// the tasks of purged jobs.
func (t *Table) PurgedJobs() uint64 { return t.purgedCount }

// RecentlyPurged reports whether a job with this identifier is among the last
// MaxPurgedIDs jobs that were purged.
func (t *Table) RecentlyPurged(id platform.JobID) bool { return t.purged.has(id) }

// purgedIDs holds the hashes of the identifiers of the last MaxPurgedIDs purged jobs.
type purgedIDs struct {
	order []uint64
	set   map[uint64]struct{}
	hash  uint64
}

func newPurgedIDs() purgedIDs { return purgedIDs{set: map[uint64]struct{}{}} }

func (p *purgedIDs) has(id platform.JobID) bool {
	_, found := p.set[xxhash.Sum64String(string(id))]
	return found
}

func (p *purgedIDs) add(id platform.JobID) {
	p.addHash(xxhash.Sum64String(string(id)))
	if len(p.order) > MaxPurgedIDs {
		p.hash ^= p.order[0]
		delete(p.set, p.order[0])
		p.order = slices.Delete(p.order, 0, 1)
	}
}

func (p *purgedIDs) addHash(h uint64) {
	p.order = append(p.order, h)
	p.set[h] = struct{}{}
	p.hash ^= h
}

func (p *purgedIDs) digest() uint64 { return p.hash }
