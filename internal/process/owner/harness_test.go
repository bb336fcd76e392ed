package owner

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/outage"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/process/stream"
	"github.com/siskinvane/siskinvane/internal/standin/logservice"
	"github.com/siskinvane/siskinvane/internal/standin/oracle"
	"github.com/siskinvane/siskinvane/internal/standin/property"
	"github.com/siskinvane/siskinvane/internal/standin/worker"
)

func TestMain(m *testing.M) { property.Main(m, 12, 0) }

// writerRetryDelay is the real time that each retry delay of a stream writer takes.
const writerRetryDelay = 50 * time.Microsecond

const testShard = platform.ShardID("s")

// testingT is the subset of testing.T and rapid.T that the harness uses.
type testingT interface {
	must.T
	Fatalf(format string, args ...any)
}

// fakeClock is a clock that advances only when advance is called.
type fakeClock struct {
	mu     sync.Mutex
	offset time.Duration
}

func (c *fakeClock) now() time.Time { return time.Unix(1_000_000, 0).Add(c.elapsed()) }

func (c *fakeClock) elapsed() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.offset
}

func (c *fakeClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset += d
}

// harness runs a shard with workers, a log and any number of hosts that may own
// it, all on one fake clock.
type harness struct {
	t       testingT
	clock   *fakeClock
	store   *logservice.Store
	workers []*worker.Worker
	hosts   []platform.Host
	oracle  *oracle.Oracle
	// beforeCall, if set, is called before each call to a worker with the calling
	// host, the kind of call and the worker.
	beforeCall func(platform.HostID, string, platform.WorkerID)
	// afterStep, if set, is called after each step.
	afterStep func(*Owner)
	// delayNextStart holds back the next start call until deliverStart is called.
	delayNextStart bool
	deliverStart   func()
}

func newHarness(t testingT, workers int, slots int64) *harness {
	h := &harness{t: t, clock: &fakeClock{}, store: logservice.NewStore()}
	for i := range workers {
		w := worker.New(worker.Config{
			ID: platform.WorkerID(fmt.Sprintf("w%d", i)), Rack: platform.RackID(fmt.Sprintf("r%d", i/4)),
			Domain: "d", Capacity: platform.Resources{MilliCPU: slots * 1000, MemoryMB: slots * 1000, Slots: slots},
			Clock: h.clock.elapsed,
		})
		h.workers = append(h.workers, w)
		h.hosts = append(h.hosts, platform.Host{
			ID: string(w.ID()), Role: platform.RoleWorker, State: platform.HostLive, Domain: "d",
			Rack: platform.RackID(fmt.Sprintf("r%d", i/4)), Addr: netip.MustParseAddrPort("127.0.0.1:1"),
		})
	}
	h.oracle = oracle.New(h.workers)
	return h
}

func (h *harness) workerByID(id platform.WorkerID) *worker.Worker {
	for _, w := range h.workers {
		if w.ID() == id {
			return w
		}
	}
	h.t.Fatalf("no worker %s", id)
	return nil
}

// newOwner returns an owner on a host that has not claimed the shard. Its writer's
// retry delays take almost no real time, so that a log outage is detected immediately.
func (h *harness) newOwner(id platform.HostID) *Owner {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	var mu sync.Mutex
	writerNow := time.Unix(0, 0)
	o, err := New(Config{
		Shard: testShard, Writer: record.WriterID{Host: id, Incarnation: 1},
		Log: h.store.As(string(id)), Dialer: harnessDialer{harness: h, host: id}, Logger: logger, Now: h.clock.now,
		Commits: stream.Options{
			Now: func() time.Time {
				mu.Lock()
				defer mu.Unlock()
				return writerNow
			},
			Sleep: func(_ context.Context, d time.Duration) error {
				mu.Lock()
				writerNow = writerNow.Add(d)
				mu.Unlock()
				time.Sleep(writerRetryDelay)
				return nil
			},
		},
	})
	must.NoError(h.t, err)
	// The workers are called sequentially, in order.
	o.runInPool = func(call func()) error {
		call()
		return nil
	}
	return o
}

// awaitWriterSettled waits until an owner's writer has resolved all commits with
// an unknown outcome.
func awaitWriterSettled(o *Owner) {
	for !o.writer.Settled() {
		time.Sleep(writerRetryDelay)
	}
}

// newClaimedOwner returns an owner on a host that has claimed the shard.
func (h *harness) newClaimedOwner(id platform.HostID) *Owner {
	o := h.newOwner(id)
	h.claimShard(o)
	return o
}

func (h *harness) claimShard(o *Owner) {
	must.NoError(h.t, o.Follow(context.Background()))
	won, err := o.Claim(context.Background())
	must.NoError(h.t, err)
	must.True(h.t, won)
}

// step runs one step of an owner and checks the invariants.
func (h *harness) step(o *Owner) error {
	ctx := context.Background()
	err := o.Follow(ctx)
	if !o.Owns() {
		return ErrNotOwner
	}
	o.SetWorkers(h.hosts)
	if stepErr := o.Step(ctx, Desired{}); err == nil {
		err = stepErr
	}
	if h.afterStep != nil {
		h.afterStep(o)
	}
	h.checkInvariants(o)
	return err
}

func (h *harness) checkInvariants(o *Owner) {
	must.NoError(h.t, h.oracle.Check())
	span, err := h.store.Span(context.Background(), record.ShardStream(testShard))
	if err != nil {
		// Without the log it is unknown whether o has replayed the whole stream.
		return
	}
	o.follower.View(func() {
		if o.replay.Next() == span.Next && o.replay.Owner() == o.config.Writer {
			must.NoError(h.t, h.oracle.CheckTable(o.table))
		}
	})
}

// runFor steps an owner every 200 ms for d.
func (h *harness) runFor(o *Owner, d time.Duration) {
	for end := h.clock.elapsed() + d; h.clock.elapsed() < end; {
		_ = h.step(o)
		h.clock.advance(200 * time.Millisecond)
	}
}

func (h *harness) submitJob(o *Owner, id platform.JobID, count uint32, work time.Duration) {
	must.NoError(h.t, o.Submit(context.Background(), record.Job{
		ID: id, Template: platform.TemplateName("t-" + id), Class: "batch", Count: count,
		Size: platform.Resources{MilliCPU: 500, MemoryMB: 500, Slots: 1}, WorkMillis: uint64(work.Milliseconds()),
	}))
}

// activeRuns returns the runs of a task that have not ended.
func (h *harness) activeRuns(id platform.TaskID) []worker.Run {
	var out []worker.Run
	for _, w := range h.workers {
		for _, run := range w.ActiveRuns() {
			if run.Task == id {
				out = append(out, run)
			}
		}
	}
	return out
}

func (h *harness) taskState(o *Owner, id platform.TaskID) (s record.State, a platform.Attempt, w platform.WorkerID) {
	o.follower.View(func() {
		if t := o.table.Task(id); t != nil {
			s, a, w = t.State, t.Attempt, t.Worker
		}
	})
	return s, a, w
}

type harnessDialer struct {
	harness *harness
	host    platform.HostID
}

func (d harnessDialer) Dial(id platform.WorkerID, _ netip.AddrPort) platform.Worker {
	return &hookedWorker{Worker: d.harness.workerByID(id).From(d.host), dialer: d, id: id}
}

// hookedWorker calls the harness's beforeCall hook before each call.
type hookedWorker struct {
	platform.Worker
	dialer harnessDialer
	id     platform.WorkerID
}

func (w *hookedWorker) runHook(call string) {
	if f := w.dialer.harness.beforeCall; f != nil {
		f(w.dialer.host, call, w.id)
	}
}

func (w *hookedWorker) Start(ctx context.Context, r platform.StartRequest) (platform.StartReply, error) {
	w.runHook("start")
	if h := w.dialer.harness; h.delayNextStart {
		h.delayNextStart = false
		h.deliverStart = func() { _, _ = w.Worker.Start(ctx, r) }
		return platform.StartReply{}, platform.ErrOutcomeUnknown
	}
	return w.Worker.Start(ctx, r)
}

func (w *hookedWorker) Renew(ctx context.Context, r platform.RenewRequest) (platform.RenewReply, error) {
	w.runHook("renew")
	return w.Worker.Renew(ctx, r)
}

func (w *hookedWorker) Stop(ctx context.Context, r platform.StopRequest) (platform.StopReply, error) {
	w.runHook("stop")
	return w.Worker.Stop(ctx, r)
}

func (w *hookedWorker) Throttle(ctx context.Context, r platform.ThrottleRequest) (platform.ThrottleReply, error) {
	w.runHook("throttle")
	return w.Worker.Throttle(ctx, r)
}

// maxTakeoverDelay is the longest time until a new owner treats the attempts on an
// unreachable worker as ended.
const maxTakeoverDelay = outage.StaleOwnerTimeout + 30*time.Second

var _ testingT = (*testing.T)(nil)
