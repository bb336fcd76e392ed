package node

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/process/keyed"
	"github.com/siskinvane/siskinvane/internal/process/pause"
	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
	"github.com/siskinvane/siskinvane/internal/standin/memstore"
	"github.com/siskinvane/siskinvane/internal/version/queue"
)

// takeoverFixture is a node without background loops, which takes over the shard only
// when the test calls takeOver. At each reading of the clock meanwhile, another host's
// records arrive: the submission of a new job and the cancellation of an old one.
type takeoverFixture struct {
	node  *Node
	store *memstore.Store
	// arrivals counts the readings at which records arrived; arriving is set during one,
	// and open while records arrive at all.
	arrivals       int
	arriving, open atomic.Bool
	// deliver lets the arrival of the given number arrive.
	deliver func(i int)
}

// maxArrivals is the number of old jobs.
const maxArrivals = 50

// arrivalWait is how long a reading of the clock waits until its records are applied.
const arrivalWait = 20 * time.Millisecond

func oldJob(i int) job.ID { return job.ID(fmt.Sprintf("%016x", 0x1000+i)) }
func newJob(i int) job.ID { return job.ID(fmt.Sprintf("%016x", 0x2000+i)) }

func newTakeoverFixture(t *testing.T) *takeoverFixture {
	t.Helper()
	f := &takeoverFixture{store: memstore.New()}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	started := time.Now()
	view := f.store.View("h1")
	n := &Node{
		Config: Config{
			Host: "h1", Logger: logger, Metrics: metrics.NewRegistry(), Retention: time.Minute, AppendBytes: memstore.MaxAppendBytes,
			Clock: func() time.Duration { f.arrive(); return time.Since(started) },
			Store: view, Registry: func() fleet.Registry { return noWorkers{} },
		},
		partition: store.Partition{Topic: JobTopic}, table: job.NewTable(), readToken: make(chan struct{}, 1), declared: make(chan struct{}),
	}
	n.storeHealth = newStoreHealth(logger, n.Clock)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.reader = keyed.NewReader(view, n.partition)
	f.node = n
	f.deliver = func(i int) {
		n.applyRecords([]store.Record{submissionRecord(t, newJob(i)), job.CancellationRecord(oldJob(i), 1)})
	}
	for i := range maxArrivals {
		_, err := view.Append(n.ctx, n.partition, []store.Record{submissionRecord(t, oldJob(i))}, nil)
		must.NoError(t, err)
	}
	must.NoError(t, n.Refresh(n.ctx))
	return f
}

func submissionRecord(t *testing.T, id job.ID) store.Record {
	t.Helper()
	r, err := job.SubmissionRecord(id, submission())
	must.NoError(t, err)
	return r
}

// arrive lets something arrive and waits until it is applied, or for arrivalWait if the
// node holds it back.
func (f *takeoverFixture) arrive() {
	if !f.open.Load() || !f.arriving.CompareAndSwap(false, true) {
		return
	}
	i := f.arrivals
	if i == maxArrivals {
		f.arriving.Store(false)
		return
	}
	f.arrivals++
	applied := make(chan struct{})
	go func() {
		defer close(applied)
		defer f.arriving.Store(false)
		f.deliver(i)
	}()
	select {
	case <-applied:
	case <-time.After(arrivalWait):
	}
}

// TestTakeoverMissesNoRecord guards against a cancellation or a submission that is
// applied while the host takes over and that its dispatcher never hears of.
func TestTakeoverMissesNoRecord(t *testing.T) {
	f := newTakeoverFixture(t)
	f.open.Store(true)
	must.NoError(t, f.node.takeOver(1))
	f.open.Store(false)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return !f.arriving.Load() })))
	must.Positive(t, f.arrivals)
	d := f.node.ownedDispatcher()
	for i := range f.arrivals {
		_, held := d.State(newJob(i))
		must.True(t, held, must.Sprintf("the dispatcher holds the job submitted at reading %d", i))
		must.Wait(t, wait.InitialSuccess(wait.Timeout(2*time.Second), wait.BoolFunc(func() bool {
			e, _ := f.node.table.Get(oldJob(i))
			return e.Progress.State == job.Cancelled
		})), must.Sprintf("the dispatcher ends the job cancelled at reading %d", i))
	}
	f.node.cancel()
	d.Abort()
	f.node.background.Wait()
}

// TestTakeoverMissesNoDeclarations guards against an owner with a version from before.
func TestTakeoverMissesNoDeclarations(t *testing.T) {
	f := newTakeoverFixture(t)
	f.deliver = func(i int) {
		// Versions that come later would hide that one was missed.
		if !f.node.OwnsShard() {
			f.node.putInForce(version(int64(i + 1)))
		}
	}
	f.open.Store(true)
	must.NoError(t, f.node.takeOver(1))
	f.open.Store(false)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return !f.arriving.Load() })))
	must.Positive(t, f.arrivals)
	d := f.node.ownedDispatcher()
	must.Eq(t, f.node.declaredVersion(), d.DeclaredVersion())
	f.node.cancel()
	d.Abort()
	f.node.background.Wait()
}

// TestTakeoverMissesNoEvacuation guards against an owner that starts tasks in a domain that was
// evacuated while its host took the shard over.
func TestTakeoverMissesNoEvacuation(t *testing.T) {
	f := newTakeoverFixture(t)
	n := f.node
	n.SetBounds(scheduler.Bounds{Evacuation: time.Second})
	f.deliver = func(i int) {
		// An evacuation that comes later would hide that one was missed.
		if i < 3 {
			n.evacuate(queue.Declared{Evacuated: []platform.FailureDomain{platform.FailureDomain(fmt.Sprint("d", i))}}, 0)
		}
	}
	f.open.Store(true)
	must.NoError(t, n.takeOver(1))
	f.open.Store(false)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return !f.arriving.Load() })))
	s := n.Status()
	must.True(t, s.Owner)
	must.Len(t, 1, s.Evacuated)
	must.Eq(t, n.Evacuated()[0], s.Evacuated[0].Domain)
	n.cancel()
	n.ownedDispatcher().Abort()
	n.background.Wait()
}

// TestTakeoverMissesNoBounds guards against an owner with the bounds from before.
func TestTakeoverMissesNoBounds(t *testing.T) {
	f := newTakeoverFixture(t)
	n := f.node
	workers := &answeringWorkers{runs: job.TaskRef{Job: oldJob(0)}}
	n.Workers = workers
	enrollment, err := job.EnrollmentRecord(job.Enrollment{Worker: "w0", Addr: "127.1.0.1:80", Service: "s", Claim: 1, Run: 1})
	must.NoError(t, err)
	n.applyRecords([]store.Record{enrollment})
	n.SetBounds(scheduler.Bounds{MaxLease: time.Second})
	f.deliver = func(i int) {
		if !n.OwnsShard() {
			n.SetBounds(scheduler.Bounds{MaxLease: time.Second + time.Duration(i+1)*100*time.Millisecond})
		}
	}
	f.open.Store(true)
	must.NoError(t, n.takeOver(1))
	f.open.Store(false)
	must.Wait(t, wait.InitialSuccess(wait.Timeout(2*time.Second), wait.BoolFunc(func() bool { return workers.leaseEnd.Load() > 0 })))
	lease := n.bounds().MaxLease
	must.Between(t, lease, time.Duration(workers.leaseEnd.Load()), lease+50*time.Millisecond)
	d := n.ownedDispatcher()
	n.cancel()
	d.Abort()
	n.background.Wait()
}

// answeringWorkers is one worker that runs the task of a job and answers at once. It
// implements fleet.Workers.
type answeringWorkers struct {
	runs  job.TaskRef
	stops atomic.Int32
	// leaseEnd is the last lease that was asked for. The worker's clock stands still at 1.
	leaseEnd atomic.Int64
}

// Start implements fleet.Workers.
func (*answeringWorkers) Start(context.Context, fleet.Worker, fleet.StartOrder) (fleet.Answer, error) {
	return fleet.Answer{Verdict: fleet.RefusedCapacity}, nil
}

// Stop implements fleet.Workers.
func (w *answeringWorkers) Stop(context.Context, fleet.Worker, fleet.StopOrder) (fleet.Answer, error) {
	w.stops.Add(1)
	return fleet.Answer{Verdict: fleet.Accepted}, nil
}

// Throttle implements fleet.Workers.
func (*answeringWorkers) Throttle(context.Context, fleet.Worker, fleet.ThrottleOrder) (fleet.Answer, error) {
	return fleet.Answer{Verdict: fleet.Accepted}, nil
}

// Renew implements fleet.Workers.
func (w *answeringWorkers) Renew(ctx context.Context, _ fleet.Worker, o fleet.RenewOrder) (fleet.RenewReply, error) {
	if o.Wait > 0 {
		_ = pause.For(ctx, time.Millisecond)
	}
	if o.LeaseEnd != 0 {
		w.leaseEnd.Store(int64(o.LeaseEnd))
	}
	return fleet.RenewReply{
		Verdict: fleet.Accepted, Clock: 1, Started: 1, Running: []fleet.Running{{Task: w.runs, Attempt: 1}},
	}, nil
}

// TestTakeoverStopsNoKnownTask guards against a new owner that hears of running tasks
// before it has loaded their jobs, and stops them all as unwanted.
func TestTakeoverStopsNoKnownTask(t *testing.T) {
	const jobs = 20_000
	f := newTakeoverFixture(t)
	n := f.node
	workers := &answeringWorkers{runs: job.TaskRef{Job: oldJob(0)}}
	n.Workers = workers
	enrollment, err := job.EnrollmentRecord(job.Enrollment{Worker: "w0", Addr: "127.1.0.1:80", Service: "s", Claim: 1, Run: 1})
	must.NoError(t, err)
	records := []store.Record{enrollment}
	for i := range jobs {
		records = append(records, submissionRecord(t, newJob(i)))
	}
	n.applyRecords(records)
	must.NoError(t, n.takeOver(1))
	d := n.ownedDispatcher()
	must.Wait(t, wait.InitialSuccess(wait.Timeout(2*time.Second), wait.BoolFunc(func() bool {
		longRunning, finite := d.WorkerLoad("w0")
		return longRunning+finite == 1
	})), must.Sprint("the task is adopted"))
	time.Sleep(50 * time.Millisecond)
	must.Zero(t, workers.stops.Load())
	n.cancel()
	d.Abort()
	n.background.Wait()
}

// TestReloadDropsWhatWasDeleted: a host fell behind by more than the log retains. It kept
// jobs that were deleted meanwhile and ran them again as the owner, and it waited for
// leases on workers that had left.
func TestReloadDropsWhatWasDeleted(t *testing.T) {
	f := newTakeoverFixture(t)
	n := f.node
	appendRecords := func(records ...store.Record) {
		_, err := n.Store.Append(n.ctx, n.partition, records, nil)
		must.NoError(t, err)
	}
	enrollment, err := job.EnrollmentRecord(job.Enrollment{Worker: "w0", Addr: "127.1.0.1:80", Service: "s", Claim: 1, Run: 1})
	must.NoError(t, err)
	appendRecords(enrollment, submissionRecord(t, newJob(0)), job.CancellationRecord(newJob(0), 1))
	must.NoError(t, n.Refresh(n.ctx))
	must.Len(t, 1, n.table.Workers())
	appendRecords(append(job.DeletionRecords(newJob(0)), job.UnenrollmentRecord("w0"))...)
	f.store.Compact(n.partition)
	must.NoError(t, n.Refresh(n.ctx))
	must.Len(t, maxArrivals, n.table.All())
	must.SliceEmpty(t, n.table.Workers())
	n.cancel()
}

// TestReloadKeepsWhatIsNewer: a job that was submitted while the host read the newest
// record of each key may have no record among them.
func TestReloadKeepsWhatIsNewer(t *testing.T) {
	f := newTakeoverFixture(t)
	n := f.node
	n.Store = &arrivingStore{Store: n.Store, beforeAnswer: func() { n.applyRecords([]store.Record{submissionRecord(t, newJob(0))}) }}
	n.reader = keyed.NewReader(n.Store, n.partition)
	must.NoError(t, n.Refresh(n.ctx))
	must.Len(t, maxArrivals+1, n.table.All())
	n.cancel()
}

// arrivingStore calls beforeAnswer before it returns the newest records.
type arrivingStore struct {
	store.Store
	beforeAnswer func()
}

// Newest implements store.Store.
func (s *arrivingStore) Newest(ctx context.Context, p store.Partition, after *string) (store.NewestPage, error) {
	page, err := s.Store.Newest(ctx, p, after)
	s.beforeAnswer()
	return page, err
}

// TestNewOwnerIsNotAsked: a host whose proposal got no answer stored the job itself, although
// another host had taken the shard over meanwhile and would have refused it.
func TestNewOwnerIsNotAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, views := newFleetWithViews(t, "u", "v", "w")
		f.network.SetPartitioned(f.nodes["u"].Peer.Addr(), true)
		views["u"].Set(memstore.Unresponsive, 0)
		time.Sleep(900 * time.Millisecond)
		before := map[string]int{"v": views["v"].Appends(), "w": views["w"].Appends()}
		results := make(chan error, 2)
		for i, name := range []string{"v", "w"} {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				results <- f.nodes[name].Submit(ctx, newJob(i), submission())
			}()
		}
		must.NoError(t, <-results)
		must.NoError(t, <-results)
		other := map[string]string{"v": "w", "w": "v"}[f.owner()]
		must.NotEq(t, "", other)
		must.Eq(t, before[other], views[other].Appends())
		f.network.SetPartitioned(f.nodes["u"].Peer.Addr(), false)
		views["u"].Set(memstore.Healthy, 0)
		f.stopAll()
	})
}
