package snapshot

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/process/shard"
	"github.com/siskinvane/siskinvane/internal/process/stream"
	"github.com/siskinvane/siskinvane/internal/process/task"
	"github.com/siskinvane/siskinvane/internal/standin/logservice"
)

const (
	tasksPerWorker  = 23
	workersPerShard = 32
	// servicesPerWorker of a worker's tasks are services, each a job of its own.
	servicesPerWorker = 4
	batchJobTasks     = 19
	commitRecords     = 64
)

var benchWorkers = []int{65, 500, 1400}

// benchCluster is the state of the shards of a number of workers, with every
// task running.
type benchCluster struct {
	log      *logservice.Store
	shards   []*replica
	tasks    int
	logBytes int
}

// newBenchCluster writes the whole history into a log and replays it once.
func newBenchCluster(b *testing.B, workers int) *benchCluster {
	c := &benchCluster{log: logservice.NewStore()}
	for first := 0; first < workers; first += workersPerShard {
		id := platform.ShardID(fmt.Sprintf("catania-%02d", first/workersPerShard))
		c.writeShard(b, id, first, min(first+workersPerShard, workers))
		r := c.newReplica(id)
		if err := r.follower.Poll(b.Context()); err != nil {
			b.Fatal(err)
		}
		c.shards = append(c.shards, r)
	}
	return c
}

func (c *benchCluster) newReplica(id platform.ShardID) *replica {
	r := &replica{replay: shard.NewReplayer(id, task.NewTable())}
	r.follower = stream.NewFollower(c.log, record.ShardStream(id), r.replay)
	r.snapshotter = NewSnapshotter(Config{
		Log: c.log, Streams: ShardStreams(id), Writer: record.WriterID{Host: "entry-0", Incarnation: 1},
		State: r.replay, Follower: r.follower, Now: time.Now,
	})
	return r
}

func (c *benchCluster) writeShard(b *testing.B, id platform.ShardID, first, end int) {
	sequence := uint64(0)
	write := func(records ...record.Record) {
		sequence++
		data, err := record.Encode(record.Batch{
			Writer: record.WriterID{Host: "entry-0", Incarnation: 1}, Epoch: 1, Sequence: sequence, Records: records,
		})
		if err != nil {
			b.Fatal(err)
		}
		if _, err := c.log.Append(b.Context(), record.ShardStream(id), data); err != nil {
			b.Fatal(err)
		}
		c.logBytes += len(data)
	}
	write(record.Record{Claim: &record.Claim{}})
	var pending []record.Record
	for w := first; w < end; w++ {
		pending = append(pending, c.workerHistory(w)...)
		for len(pending) >= commitRecords {
			write(pending[:commitRecords]...)
			pending = pending[commitRecords:]
		}
	}
	if len(pending) > 0 {
		write(pending...)
	}
}

// workerHistory returns the records of the tasks that run on a worker.
func (c *benchCluster) workerHistory(w int) []record.Record {
	worker := platform.WorkerID(fmt.Sprintf("worker-%04d", w))
	size := platform.Resources{MilliCPU: 1300, MemoryMB: 5000, Slots: 1}
	var out []record.Record
	for i := range servicesPerWorker {
		id := platform.JobID(fmt.Sprintf("svc:service-%02d#%d", i, w))
		out = append(out, record.Record{Job: &record.Job{
			ID: id, Team: "nursery", Class: "prompt", Service: platform.ServiceName(fmt.Sprintf("service-%02d", i)),
			Count: 1, Size: size, Urgent: true, SubmittedMillis: 1764800000000,
		}})
		out = append(out, c.running(id, 0, worker, size, fmt.Sprintf("10.1.%d.%d:20%03d", w/250, w%250, i))...)
	}
	id := platform.JobID(fmt.Sprintf("summary-%06d", w))
	out = append(out, record.Record{Job: &record.Job{
		ID: id, Team: "summaries", Class: "batch", Template: "day-summary", Count: batchJobTasks,
		Size: size, WorkMillis: 600000, SubmittedMillis: 1764800000000,
	}})
	for i := range uint32(batchJobTasks) {
		out = append(out, c.running(id, i, worker, size, "")...)
	}
	return out
}

func (c *benchCluster) running(id platform.JobID, i uint32, w platform.WorkerID, size platform.Resources, endpoint string) []record.Record {
	c.tasks++
	return []record.Record{
		{Transition: &record.Transition{
			Task: task.ID(id, i), Attempt: 1, State: record.Assigned, Worker: w, Size: size, AtMillis: 1764800000000,
		}},
		{Transition: &record.Transition{
			Task: task.ID(id, i), Attempt: 1, State: record.Running, Endpoint: endpoint, AtMillis: 1764800001000,
		}},
	}
}

// forEachSize runs a benchmark for each number of workers.
func forEachSize(b *testing.B, run func(b *testing.B, c *benchCluster)) {
	for _, workers := range benchWorkers {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			cluster := newBenchCluster(b, workers)
			if want := workers * tasksPerWorker; cluster.tasks != want {
				b.Fatalf("%d tasks, want %d", cluster.tasks, want)
			}
			run(b, cluster)
		})
	}
}

// BenchmarkReplay replays the full history of all shards from the log.
func BenchmarkReplay(b *testing.B) {
	forEachSize(b, func(b *testing.B, c *benchCluster) {
		b.ResetTimer()
		for range b.N {
			for _, s := range c.shards {
				r := c.newReplica(shardIDOf(s))
				if err := r.follower.Poll(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
		}
		b.ReportMetric(float64(c.logBytes)/1000, "log-KB")
		b.ReportMetric(float64(c.tasks), "tasks")
	})
}

func shardIDOf(r *replica) platform.ShardID {
	return platform.ShardID(r.snapshotter.config.Streams.Records[len("shard/"):])
}

// BenchmarkSave writes snapshots of all shards.
func BenchmarkSave(b *testing.B) {
	forEachSize(b, func(b *testing.B, c *benchCluster) {
		b.ResetTimer()
		for range b.N {
			for _, s := range c.shards {
				if err := s.snapshotter.Save(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
		}
		var bytes, chunks float64
		for _, s := range c.shards {
			n := s.snapshotter.Latest().Bytes
			bytes += float64(n)
			chunks += float64((n + ChunkBytes - 1) / ChunkBytes)
		}
		b.ReportMetric(bytes/1000, "snapshot-KB")
		b.ReportMetric(chunks+float64(len(c.shards)), "appends")
	})
}

// BenchmarkLoad loads all shards from their snapshots.
func BenchmarkLoad(b *testing.B) {
	forEachSize(b, func(b *testing.B, c *benchCluster) {
		for _, s := range c.shards {
			if err := s.snapshotter.Save(b.Context()); err != nil {
				b.Fatal(err)
			}
		}
		b.ResetTimer()
		for range b.N {
			for _, s := range c.shards {
				r := c.newReplica(shardIDOf(s))
				if err := r.snapshotter.Load(b.Context()); err != nil {
					b.Fatal(err)
				}
				if r.replay.Next() != s.replay.Next() {
					b.Fatal("not loaded")
				}
			}
		}
	})
}

// BenchmarkMemory reports the heap usage of the replayed state of all shards.
func BenchmarkMemory(b *testing.B) {
	for _, workers := range benchWorkers {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for range b.N {
				c := newBenchCluster(b, workers)
				with := heapBytes()
				tasks := c.tasks
				c.shards = nil
				without := heapBytes()
				runtime.KeepAlive(c)
				b.ReportMetric(float64(with-without)/1000/(float64(tasks)/1000), "KB/1000tasks")
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
