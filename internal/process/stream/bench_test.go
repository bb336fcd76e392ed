package stream_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/process/shard"
	"github.com/siskinvane/siskinvane/internal/process/stream"
	"github.com/siskinvane/siskinvane/internal/process/task"
	"github.com/siskinvane/siskinvane/internal/standin/logservice"
)

// benchDuration is the duration of each rate.
const benchDuration = 5 * time.Second

// benchShard is one shard with the writer of its owner.
type benchShard struct {
	writer *stream.Writer
}

func newBenchShard(b *testing.B, log platform.Log, n int) *benchShard {
	id := platform.ShardID(fmt.Sprintf("catania-%02d", n))
	follower := stream.NewFollower(log, record.ShardStream(id), shard.NewReplayer(id, task.NewTable()))
	writer := stream.NewWriter(follower, record.WriterID{Host: "entry-0", Incarnation: 1})
	b.Cleanup(writer.Close)
	if _, err := writer.Commit(b.Context(), 1, record.Record{Claim: &record.Claim{}}); err != nil {
		b.Fatal(err)
	}
	return &benchShard{writer: writer}
}

// runTask commits the records of one batch task from its submission to its end,
// each in a commit of its own.
func (s *benchShard) runTask(b *testing.B, id platform.JobID) {
	size := platform.Resources{MilliCPU: 500, MemoryMB: 2000, Slots: 1}
	taskID := task.ID(id, 0)
	now := time.Now().UnixMilli()
	for _, r := range []record.Record{
		{Job: &record.Job{ID: id, Team: "summaries", Class: "batch", Template: "day-summary", Count: 1, Size: size, WorkMillis: 60000, SubmittedMillis: now}},
		{Transition: &record.Transition{Task: taskID, Attempt: 1, State: record.Assigned, Worker: "worker-017", Size: size, AtMillis: now}},
		{Transition: &record.Transition{Task: taskID, Attempt: 1, State: record.Running, AtMillis: now}},
		{Transition: &record.Transition{Task: taskID, Attempt: 1, State: record.Finished, AtMillis: now}},
	} {
		res, err := s.writer.Commit(b.Context(), 1, r)
		if err != nil || res.Verdict != record.Effective {
			b.Errorf("commit %v: %v %v", r, res, err)
		}
	}
}

// BenchmarkTaskStarts starts tasks on random shards at a fixed rate for
// benchDuration and reports the load on the log. Each task has four records,
// from its submission to its end.
func BenchmarkTaskStarts(b *testing.B) {
	for _, shards := range []int{3, 44} {
		for _, perSecond := range []int{1, 10, 73} {
			b.Run(fmt.Sprintf("shards=%d/starts=%d", shards, perSecond), func(b *testing.B) {
				for range b.N {
					benchTaskStarts(b, shards, perSecond)
				}
			})
		}
	}
}

func benchTaskStarts(b *testing.B, shards, perSecond int) {
	log := logservice.NewStore()
	all := make([]*benchShard, shards)
	for i := range all {
		all[i] = newBenchShard(b, log, i)
	}
	before := sumStats(all)
	random := rand.New(rand.NewPCG(1, 2))
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	starts := int(benchDuration.Seconds()) * perSecond
	var wg sync.WaitGroup
	for i := range starts {
		<-ticker.C
		s := all[random.IntN(shards)]
		wg.Go(func() { s.runTask(b, platform.JobID(fmt.Sprintf("job-%06d", i))) })
	}
	wg.Wait()
	after := sumStats(all)
	appends, bytes := float64(after.Appends-before.Appends), float64(after.Bytes-before.Bytes)
	b.ReportMetric(appends/benchDuration.Seconds(), "appends/s")
	b.ReportMetric(bytes/benchDuration.Seconds(), "B/s")
	b.ReportMetric(bytes/float64(starts), "B/start")
	b.ReportMetric(float64(after.Records-before.Records)/appends, "records/append")
}

func sumStats(all []*benchShard) stream.Stats {
	var sum stream.Stats
	for _, s := range all {
		st := s.writer.Stats()
		sum.Appends += st.Appends
		sum.Bytes += st.Bytes
		sum.Records += st.Records
	}
	return sum
}
