package slopes

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/directory"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/process/task"
	"github.com/siskinvane/siskinvane/internal/version/declaration"
)

const (
	tasksInTable = 5000
	bytesPerMB   = 1e6
	thousand     = 1000
)

// taskRecords returns the records of a task from assignment to finish, preceded by the
// job's record if the task is the first of its job.
func taskRecords(i int) []record.Record {
	const tasksPerJob = 10
	job := platform.JobID(fmt.Sprintf("day-summary-2026-12-03-%04d", i/tasksPerJob))
	index := uint32(i % tasksPerJob)
	id := task.ID(job, index)
	at := int64(1_780_000_000_000)
	var records []record.Record
	if index == 0 {
		records = append(records, record.Record{Job: &record.Job{
			ID: job, Team: "reports", Class: "summary", Template: "day-summary", Count: tasksPerJob,
			Size: platform.Resources{MilliCPU: 2000, MemoryMB: 4000, Slots: 1}, WorkMillis: 90_000, SubmittedMillis: at,
		}})
	}
	size := platform.Resources{MilliCPU: 2000, MemoryMB: 4000, Slots: 1}
	worker := platform.WorkerID(fmt.Sprintf("worker-%04d", i%int(TargetSize.Workers)))
	return append(records,
		record.Record{Transition: &record.Transition{Task: id, Attempt: 1, State: record.Assigned, Worker: worker, Size: size, AtMillis: at}},
		record.Record{Transition: &record.Transition{Task: id, Attempt: 1, State: record.Running, AtMillis: at}},
		record.Record{Transition: &record.Transition{Task: id, Attempt: 1, State: record.Finished, AtMillis: at}},
	)
}

// measureLogBytes measures the bytes written to the log per task, with the records of
// one and of eight tasks per batch.
func measureLogBytes(t *Table) error {
	for _, batchSize := range []int{1, 8} {
		size, err := logBytesPerTask(batchSize)
		if err != nil {
			return err
		}
		t.add(UnitCost{Name: fmt.Sprintf("log bytes, batches of %d", batchSize), Role: "log", Value: size, Unit: "B",
			Per: "task life", Mechanism: "process/record"})
	}
	return nil
}

// logBytesPerTask returns the number of log bytes per task when each batch holds the same
// state transition of batchSize tasks.
func logBytesPerTask(batchSize int) (float64, error) {
	const tasks = 400
	total := 0
	for first := 0; first < tasks; first += batchSize {
		var batches [4][]record.Record
		for i := first; i < first+batchSize; i++ {
			lifecycle := taskRecords(i)
			for s := range lifecycle {
				step := s + 4 - len(lifecycle)
				batches[step] = append(batches[step], lifecycle[s])
			}
		}
		for _, records := range batches {
			if len(records) == 0 {
				continue
			}
			b := record.Batch{Writer: record.WriterID{Host: "entry-0", Incarnation: 1 << 60}, Epoch: 12, Sequence: 1 << 20, Records: records}
			data, err := record.Encode(b)
			if err != nil {
				return 0, err
			}
			total += len(data)
		}
	}
	return float64(total) / tasks, nil
}

// measureTaskTable measures the memory of the task table and the time to replay it.
func measureTaskTable(t *Table) error {
	var buildErr error
	var table *task.Table
	start := processorTime()
	heapBytes := heapGrowth(func() any {
		table, buildErr = runningTable(tasksInTable)
		return table
	})
	elapsed := processorTime() - start
	if buildErr != nil {
		return buildErr
	}
	snapshot, err := table.MarshalBinary()
	if err != nil {
		return err
	}
	const perTable = float64(tasksInTable) / thousand
	t.add(UnitCost{Name: "task table memory", Role: "placer", Value: heapBytes / bytesPerMB / perTable, Unit: "MB", Per: "1,000 running tasks", Mechanism: "process/task"})
	t.add(UnitCost{Name: "replay time", Role: "placer", Value: elapsed.Seconds() * thousand / perTable, Unit: "ms", Per: "1,000 running tasks", Mechanism: "process/task"})
	t.add(UnitCost{Name: "snapshot bytes", Role: "log", Value: float64(len(snapshot)) / perTable, Unit: "B", Per: "1,000 running tasks", Mechanism: "process/snapshot"})
	return nil
}

// runningTable returns a table of n running tasks.
func runningTable(n int) (*task.Table, error) {
	table := task.NewTable()
	for i := range n {
		lifecycle := taskRecords(i)
		for _, r := range lifecycle[:len(lifecycle)-1] {
			if err := table.Apply(0, r); err != nil {
				return nil, err
			}
		}
	}
	return table, nil
}

// measureDirectory measures memory and encoded size of the directory per service
// endpoint.
func measureDirectory(t *Table) error {
	const count = 2000
	build := func() *directory.Table {
		table := &directory.Table{Version: 1}
		for i := range count / 10 {
			s := directory.Service{Name: platform.ServiceName(fmt.Sprintf("service-%03d", i)), Class: "tap", Percentile: 99, Bound: time.Second}
			for k := range 10 {
				s.Endpoints = append(s.Endpoints, directory.Endpoint{
					Task: platform.TaskID(fmt.Sprintf("svc:%s#%d/0", s.Name, k)), Attempt: 1,
					Worker: platform.WorkerID(fmt.Sprintf("worker-%04d", i)), Domain: "catania",
					Addr: netip.MustParseAddrPort("10.20.30.40:31234"), MaxConnections: 64,
				})
			}
			table.Services = append(table.Services, s)
		}
		return table
	}
	heapBytes := heapGrowth(func() any { return build() })
	encoded, err := json.Marshal(build())
	if err != nil {
		return err
	}
	t.add(UnitCost{Name: "directory memory", Role: "entry, placer", Value: heapBytes / count, Unit: "B", Per: "endpoint", Mechanism: "process/directory"})
	t.add(UnitCost{Name: "directory bytes", Role: "placer", Value: float64(len(encoded)) / count, Unit: "B", Per: "endpoint in JSON", Mechanism: "process/directory"})
	return nil
}

// measureDeclarations measures a declarations document of the target size: its length
// and the time to parse and validate it.
func measureDeclarations(t *Table) error {
	data, err := json.Marshal(targetDocument())
	if err != nil {
		return err
	}
	const parses = 20
	start := processorTime()
	for range parses {
		if _, err := declaration.Parse(bytes.Clone(data)); err != nil {
			return err
		}
	}
	elapsed := (processorTime() - start).Seconds() * thousand / parses
	t.add(UnitCost{Name: "declarations bytes", Role: "log, placer", Value: float64(len(data)), Unit: "B", Per: "version of 340 teams", Mechanism: "version/declaration"})
	t.add(UnitCost{Name: "declarations check time", Role: "placer", Value: elapsed, Unit: "ms", Per: "version of 340 teams", Mechanism: "version/declaration"})
	return nil
}

// targetDocument returns declarations of the target size, with 10 replicas per service
// declaration.
func targetDocument() *declaration.Document {
	const replicas = 10
	d := &declaration.Document{Format: declaration.Format, Classes: []declaration.Class{
		{Name: "tap", Target: declaration.Target{Promptness: &declaration.Promptness{Percentile: 99, BoundMillis: 150}}},
		{Name: "summary", Target: declaration.Target{MayWait: true, Throughput: 400}},
	}}
	for i := range int(TargetSize.Teams) {
		team := platform.TeamName(fmt.Sprintf("team-%03d", i))
		d.Teams = append(d.Teams, declaration.Team{Name: team, Quota: declaration.Quota{Processors: 500, MemoryMB: 2_000_000}})
		d.Templates = append(d.Templates, declaration.Template{
			Name: platform.TemplateName("build-" + string(team)), Team: team, Class: "summary", WorkSeconds: 90,
			Size: declaration.Size{Processors: 2, MemoryMB: 4000},
		})
	}
	for i := range int(TargetSize.Services) / replicas {
		d.Services = append(d.Services, declaration.Service{
			Name: platform.ServiceName(fmt.Sprintf("service-%03d", i)), Team: d.Teams[i%len(d.Teams)].Name,
			Class: "tap", Replicas: replicas, Size: declaration.Size{Processors: 1, MemoryMB: 2000},
		})
	}
	return d
}
