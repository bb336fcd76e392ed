package place

import (
	"errors"
	"fmt"
	"math/bits"
	"math/rand/v2"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/interference"
)

const (
	// firstBucketMilliCPU is the width of the first index bucket in thousandths of
	// a core. Each bucket ends at twice the upper bound of the one before.
	firstBucketMilliCPU = 125
	// bucketCount is the number of index buckets.
	bucketCount = 24
)

// ErrOverCapacity reports a task that exceeds the worker's free capacity.
var ErrOverCapacity = errors.New("worker lacks capacity for the task")

// ErrAlreadyPlaced reports a task that is in the cache already.
var ErrAlreadyPlaced = errors.New("task is already placed on a worker")

// Cache holds a view of every worker and updates it incrementally: a placed task
// is assumed, then confirmed when its assignment is read back from the log, or
// forgotten. Workers are indexed by free processor time, so that a placement
// examines only few of them. A Cache is not safe for concurrent use.
type Cache struct {
	workers map[platform.WorkerID]*WorkerView
	tasks   map[platform.TaskID]*Resident
	// buckets holds the listed workers by free processor time, see bucketOf.
	buckets  [bucketCount][]*WorkerView
	replicas map[platform.ServiceName]*replicaCounts
	// teamSizes holds, by team, the sum of the sizes that count against its quota.
	teamSizes map[platform.TeamName]platform.Resources
	quotas    map[platform.TeamName]platform.Resources
}

// replicaCounts holds the number of a service's replicas by rack and by failure
// domain.
type replicaCounts struct {
	racks   map[platform.RackID]int
	domains map[platform.FailureDomain]int
}

// NewCache returns a cache without workers.
func NewCache() *Cache {
	return &Cache{
		workers:   map[platform.WorkerID]*WorkerView{},
		tasks:     map[platform.TaskID]*Resident{},
		replicas:  map[platform.ServiceName]*replicaCounts{},
		teamSizes: map[platform.TeamName]platform.Resources{},
	}
}

// SetWorker adds a worker or replaces its info.
func (c *Cache) SetWorker(info WorkerInfo) {
	w := c.workerView(info.ID)
	c.unindex(w)
	c.addWorkerReplicas(w, -1)
	w.WorkerInfo = info
	c.addWorkerReplicas(w, 1)
	w.listed = true
	c.index(w)
}

// RemoveWorker takes a worker off the list of placement candidates. Its
// residents are counted until they are forgotten.
func (c *Cache) RemoveWorker(id platform.WorkerID) {
	w := c.workers[id]
	if w == nil {
		return
	}
	c.unindex(w)
	w.listed = false
	if len(w.residents) == 0 {
		delete(c.workers, id)
	}
}

// Worker returns the view of a listed worker, or nil. The caller must not
// modify it.
func (c *Cache) Worker(id platform.WorkerID) *WorkerView {
	w := c.workers[id]
	if w == nil || !w.listed {
		return nil
	}
	return w
}

// Len returns the number of listed workers.
func (c *Cache) Len() int {
	n := 0
	for _, b := range c.buckets {
		n += len(b)
	}
	return n
}

// EachWorker calls f for every listed worker, in the order of the index.
func (c *Cache) EachWorker(f func(*WorkerView)) {
	for _, b := range c.buckets {
		for _, w := range b {
			f(w)
		}
	}
}

// Resident returns the task's entry, or nil. The caller must not modify it.
func (c *Cache) Resident(id platform.TaskID) *Resident { return c.tasks[id] }

// ResidentCount returns the number of tasks in the cache.
func (c *Cache) ResidentCount() int { return len(c.tasks) }

// EachResident calls f for every task in the cache in no particular order. f may
// call ForgetTask for the task that it is called with.
func (c *Cache) EachResident(f func(*Resident)) {
	for _, r := range c.tasks {
		f(r)
	}
}

// AssumeTask counts a task as running on r.Worker before its assignment is read
// back from the log. It fails and changes nothing if the worker is not listed,
// the task is in the cache already (ErrAlreadyPlaced) or the worker lacks
// capacity (ErrOverCapacity).
func (c *Cache) AssumeTask(r Resident) error {
	w := c.Worker(r.Worker)
	if w == nil {
		return fmt.Errorf("assume task %s: worker %s is not listed", r.Task, r.Worker)
	}
	if c.tasks[r.Task] != nil {
		return fmt.Errorf("assume task %s: %w", r.Task, ErrAlreadyPlaced)
	}
	if dim := r.Size.Exceeded(w.Free()); dim != "" {
		return fmt.Errorf("assume task %s on worker %s, which is short of %s: %w", r.Task, r.Worker, dim, ErrOverCapacity)
	}
	r.Assumed = true
	c.insert(r)
	return nil
}

// ConfirmTask counts a task whose assignment is in the log, replacing an assumed
// entry. The log is authoritative, so capacity is not checked.
func (c *Cache) ConfirmTask(r Resident) {
	if old := c.tasks[r.Task]; old != nil {
		if old.Attempt == r.Attempt && old.Worker == r.Worker && old.Size == r.Size {
			old.Assumed, old.Running = false, r.Running
			return
		}
		c.ForgetTask(r.Task)
	}
	r.Assumed = false
	c.insert(r)
}

// ForgetTask removes a task whose attempt has ended or whose assumed assignment
// was not recorded.
func (c *Cache) ForgetTask(id platform.TaskID) {
	r := c.tasks[id]
	if r == nil {
		return
	}
	w := c.workers[r.Worker]
	c.unindex(w)
	c.addReplica(w, r, -1)
	w.removeResident(r)
	delete(c.tasks, id)
	c.teamSizes[r.Team] = c.teamSizes[r.Team].Sub(r.quotaSize())
	if w.listed {
		c.index(w)
	} else if len(w.residents) == 0 {
		delete(c.workers, w.ID)
	}
}

// ObserveUsage sets the last observed usage of a task. Zero usage is ignored.
func (c *Cache) ObserveUsage(id platform.TaskID, usage platform.Resources) {
	r := c.tasks[id]
	if r == nil || usage == (platform.Resources{}) {
		return
	}
	w := c.workers[r.Worker]
	c.unindex(w)
	w.Usage = w.Usage.Sub(r.Usage).Add(usage)
	w.Excess = w.Excess.Sub(r.excess())
	r.Usage = usage
	w.Excess = w.Excess.Add(r.excess())
	if w.listed {
		c.index(w)
	}
}

// SetThrottle sets the share of its reserved processors, in percent, that a task
// may use.
func (c *Cache) SetThrottle(id platform.TaskID, percent int) {
	r := c.tasks[id]
	if r == nil {
		return
	}
	w := c.workers[r.Worker]
	w.Neighbours = interference.AddNeighbour(w.Neighbours, r.Class, -r.neighbourAmount())
	r.CPUPercent = percent
	w.Neighbours = interference.AddNeighbour(w.Neighbours, r.Class, r.neighbourAmount())
}

// MarkEvicting marks a task that has been asked to checkpoint and end.
func (c *Cache) MarkEvicting(id platform.TaskID) {
	if r := c.tasks[id]; r != nil {
		r.Evicting = true
	}
}

// SetQuotas limits the sum of the declared sizes of each team's tasks in this
// cache's shard to the team's share. A team without an entry has a share of
// zero; nil lifts all limits. Slots are not limited. The caller must not modify
// shares afterwards.
func (c *Cache) SetQuotas(shares map[platform.TeamName]platform.Resources) { c.quotas = shares }

// quotaExceeded returns the dimension in which r would exceed its team's share,
// or "".
func (c *Cache) quotaExceeded(r *Request) string {
	if c.quotas == nil {
		return ""
	}
	share := c.quotas[r.Team]
	sum := c.teamSizes[r.Team].Add(r.quotaSize())
	sum.Slots = 0
	return sum.Exceeded(share)
}

// workerView returns the worker's view and creates it if needed. A new view is
// not listed.
func (c *Cache) workerView(id platform.WorkerID) *WorkerView {
	w := c.workers[id]
	if w == nil {
		w = &WorkerView{
			WorkerInfo:     WorkerInfo{ID: id},
			services:       map[platform.ServiceName]int{},
			residents:      map[platform.TaskID]*Resident{},
			bucketPosition: -1,
		}
		c.workers[id] = w
	}
	return w
}

func (c *Cache) insert(r Resident) {
	w := c.workerView(r.Worker)
	c.unindex(w)
	if r.Usage == (platform.Resources{}) {
		r.Usage = r.Size
	}
	c.tasks[r.Task] = &r
	w.addResident(&r)
	c.addReplica(w, &r, 1)
	c.teamSizes[r.Team] = c.teamSizes[r.Team].Add(r.quotaSize())
	if w.listed {
		c.index(w)
	}
}

// addWorkerReplicas adds n to the replica counts for every replica on w. Callers
// subtract before they change the rack or failure domain of w and add afterwards.
func (c *Cache) addWorkerReplicas(w *WorkerView, n int) {
	for _, r := range w.residents {
		c.addReplica(w, r, n)
	}
}

// addReplica adds n to the replica counts of r's service at w.
func (c *Cache) addReplica(w *WorkerView, r *Resident, n int) {
	if r.Service == "" {
		return
	}
	s := c.replicas[r.Service]
	if s == nil {
		s = &replicaCounts{racks: map[platform.RackID]int{}, domains: map[platform.FailureDomain]int{}}
		c.replicas[r.Service] = s
	}
	s.racks[w.Rack] += n
	s.domains[w.Domain] += n
}

// bucketOf returns the index bucket of an amount of free processor time. Buckets
// grow by powers of two.
func bucketOf(freeMilliCPU int64) int {
	if freeMilliCPU <= 0 {
		return 0
	}
	return min(bits.Len64(uint64(freeMilliCPU)/firstBucketMilliCPU), bucketCount-1)
}

// index adds w to the bucket of its free processor time.
func (c *Cache) index(w *WorkerView) {
	w.bucket = bucketOf(w.Free().MilliCPU)
	w.bucketPosition = len(c.buckets[w.bucket])
	c.buckets[w.bucket] = append(c.buckets[w.bucket], w)
}

// unindex removes w from its bucket, if it is in one. It must be called before
// the free processor time of w changes.
func (c *Cache) unindex(w *WorkerView) {
	if w.bucketPosition < 0 {
		return
	}
	b := c.buckets[w.bucket]
	last := b[len(b)-1]
	b[w.bucketPosition] = last
	last.bucketPosition = w.bucketPosition
	b[len(b)-1] = nil
	c.buckets[w.bucket] = b[:len(b)-1]
	w.bucketPosition = -1
}

// visitWorkers calls visit for the workers whose free processor time may suffice
// for size, until visit returns false. It starts at a random worker, so that
// repeated calls examine different ones.
func (c *Cache) visitWorkers(size platform.Resources, rng *rand.Rand, visit func(*WorkerView) bool) {
	first := bucketOf(size.MilliCPU)
	total := 0
	for _, b := range c.buckets[first:] {
		total += len(b)
	}
	if total == 0 {
		return
	}
	start := rng.IntN(total)
	if c.visitRange(first, start, total, visit) {
		c.visitRange(first, 0, start, visit)
	}
}

// visitRange calls visit for the workers with indexes from ≤ i < until, counted
// over the buckets from first on. It returns false if visit did.
func (c *Cache) visitRange(first, from, until int, visit func(*WorkerView) bool) bool {
	base := 0
	for _, b := range c.buckets[first:] {
		lo, hi := max(from-base, 0), min(until-base, len(b))
		for i := lo; i < hi; i++ {
			if !visit(b[i]) {
				return false
			}
		}
		base += len(b)
	}
	return true
}
