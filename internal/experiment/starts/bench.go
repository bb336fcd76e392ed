package starts

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/owner"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/standin/logservice"
	"github.com/siskinvane/siskinvane/internal/standin/worker"
)

const (
	shardID = platform.ShardID("bench-00")
	hostID  = platform.HostID("bench")
	// stepPeriod is the interval between two steps of the owner.
	stepPeriod = 200 * time.Millisecond
	// taskWork is the run time of a task.
	taskWork = 5 * time.Minute
	// drainTime is how long the run continues after the last submission, so that pending
	// tasks can start.
	drainTime = 5 * time.Second
	// maxConcurrentSubmits is the maximum number of concurrent submissions.
	maxConcurrentSubmits = 32
)

// capacity is the capacity of a worker: enough for the 23 tasks per worker of the
// target size and for the tasks of the run.
var capacity = platform.Resources{MilliCPU: 64_000, MemoryMB: 250_000, Slots: 32}

// bench is an owner with the stand-ins of its log and its workers.
type bench struct {
	command *Command
	owner   *owner.Owner
	workers map[platform.WorkerID]*worker.Worker
	hosts   []platform.Host

	mu           sync.Mutex
	pendingTasks map[platform.TaskID]pendingTask
	submitted    map[bool]int
	urgent       *hdrhistogram.Histogram
	mayWait      *hdrhistogram.Histogram
}

// pendingTask is the submission of a task that has not started.
type pendingTask struct {
	submittedAt time.Time
	urgent      bool
}

func newBench(c *Command) (*bench, error) {
	b := &bench{
		command: c, workers: map[platform.WorkerID]*worker.Worker{},
		pendingTasks: map[platform.TaskID]pendingTask{}, submitted: map[bool]int{},
		urgent: newHistogram(), mayWait: newHistogram(),
	}
	startedAt := time.Now()
	for i := range c.Workers {
		id := platform.WorkerID(fmt.Sprintf("w%04d", i))
		rack := platform.RackID(fmt.Sprintf("r%03d", i/8))
		b.workers[id] = worker.New(worker.Config{
			ID: id, Rack: rack, Domain: "bench", Capacity: capacity,
			Clock: func() time.Duration { return time.Since(startedAt) },
		})
		b.hosts = append(b.hosts, platform.Host{
			ID: string(id), Role: platform.RoleWorker, State: platform.HostLive, Rack: rack, Domain: "bench",
			Addr: netip.MustParseAddrPort("127.0.0.1:1"),
		})
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	o, err := owner.New(owner.Config{
		Shard: shardID, Writer: record.WriterID{Host: hostID, Incarnation: 1}, Logger: logger, Now: time.Now,
		Log:    &delayedLog{Log: logservice.NewStore().As(string(hostID)), delay: time.Duration(c.LogMillis) * time.Millisecond},
		Dialer: &dialer{bench: b, delay: time.Duration(c.WorkerMilli) * time.Millisecond},
	})
	if err != nil {
		return nil, err
	}
	b.owner = o
	return b, nil
}

// run claims the shard, then submits the backlog and the tasks while it steps the owner.
func (b *bench) run(ctx context.Context) error {
	if err := b.owner.Follow(ctx); err != nil {
		return err
	}
	if claimed, err := b.owner.Claim(ctx); err != nil || !claimed {
		return fmt.Errorf("claim shard: claimed %t: %w", claimed, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stepErr := make(chan error, 1)
	go func() { stepErr <- b.stepLoop(ctx) }()
	if err := b.submitAll(ctx); err != nil {
		return err
	}
	time.Sleep(drainTime)
	cancel()
	return <-stepErr
}

func (b *bench) stepLoop(ctx context.Context) error {
	ticker := time.NewTicker(stepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		b.owner.SetWorkers(b.hosts)
		err := b.owner.Follow(ctx)
		if err == nil {
			err = b.owner.Step(ctx, owner.Desired{})
		}
		if err != nil && ctx.Err() == nil {
			return err
		}
	}
}

// submitAll submits the backlog and then tasks at the configured rate.
func (b *bench) submitAll(ctx context.Context) error {
	if b.command.Backlog > 0 {
		if err := b.submit(ctx, "backlog", uint32(b.command.Backlog), false); err != nil {
			return err
		}
	}
	period := time.Duration(float64(time.Second) / b.command.Rate)
	total := int(b.command.Rate * float64(b.command.Seconds))
	slots := make(chan struct{}, maxConcurrentSubmits)
	results := make(chan error, total)
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	var wg sync.WaitGroup
	for i := range total {
		<-ticker.C
		slots <- struct{}{}
		urgent := int(float64(i+1)*b.command.Urgent) > int(float64(i)*b.command.Urgent)
		wg.Go(func() {
			defer func() { <-slots }()
			results <- b.submit(ctx, platform.JobID(fmt.Sprintf("job%d", i)), 1, urgent)
		})
	}
	wg.Wait()
	close(results)
	for err := range results {
		if err != nil {
			return err
		}
	}
	return nil
}

// submit submits a job of count tasks and records their submission time.
func (b *bench) submit(ctx context.Context, id platform.JobID, count uint32, urgent bool) error {
	now := time.Now()
	b.mu.Lock()
	b.submitted[urgent] += int(count)
	for i := range count {
		b.pendingTasks[platform.TaskID(fmt.Sprintf("%s/%d", id, i))] = pendingTask{now, urgent}
	}
	b.mu.Unlock()
	return b.owner.Submit(ctx, record.Job{
		ID: id, Team: "bench", Class: "summary", Template: "day", Count: count, Urgent: urgent,
		Size:       platform.Resources{MilliCPU: 1000, MemoryMB: 2000, Slots: 1},
		WorkMillis: uint64(taskWork.Milliseconds()), SubmittedMillis: now.UnixMilli(),
	})
}

// recordStart records the start of a task on a worker.
func (b *bench) recordStart(id platform.TaskID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	task, ok := b.pendingTasks[id]
	if !ok {
		return
	}
	delete(b.pendingTasks, id)
	h := b.mayWait
	if task.urgent {
		h = b.urgent
	}
	// Latencies above maxLatency are counted as maxLatency.
	_ = h.RecordValue(min(time.Since(task.submittedAt), maxLatency).Milliseconds())
}
