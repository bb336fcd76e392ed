package slopes

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/httpapi"
	"github.com/siskinvane/siskinvane/internal/standin/hostlist"
	"github.com/siskinvane/siskinvane/internal/standin/worker"
)

const (
	measuredCalls = 2000
	// tasksOnWorker is the number of tasks on the measured worker: the mean of the
	// target size, rounded.
	tasksOnWorker = 23
	measureLease  = time.Hour
	nanosPerMicro = 1e3
	// measuringHost is the host that this process claims to be in calls.
	measuringHost platform.HostID = "entry-0"
)

// measuredWorker returns a worker that runs tasksOnWorker tasks, and a renewal request
// that lists them.
func measuredWorker() (*worker.Worker, platform.RenewRequest, error) {
	w := worker.New(worker.Config{
		ID: "worker-0001", Rack: "rack-1", Domain: "catania", MaxConnections: 64,
		Capacity: platform.Resources{MilliCPU: 1 << 30, MemoryMB: 1 << 30, Slots: 1 << 20},
		Clock:    func() time.Duration { return time.Minute },
	})
	renew := platform.RenewRequest{
		Fence:    platform.Fence{Shard: "catania-00", Epoch: 7},
		NotAfter: platform.WorkerTime(measureLease), LeaseTTL: measureLease,
	}
	for i := range tasksOnWorker {
		r := startRequest(i)
		renew.Attempts = append(renew.Attempts, platform.TaskAttempt{Task: r.Task, Attempt: r.Attempt})
		if _, err := w.From(measuringHost).Start(context.Background(), r); err != nil {
			return nil, renew, err
		}
	}
	return w, renew, nil
}

// measureWorkerCalls measures the calls to a worker that runs tasksOnWorker tasks. The
// processor time includes both caller and worker.
func measureWorkerCalls(t *Table) error {
	w, renew, err := measuredWorker()
	if err != nil {
		return err
	}
	server, err := worker.Serve(w, anyPort)
	if err != nil {
		return err
	}
	defer server.Stop(context.Background()) //nolint:errcheck // the process ends soon
	report, err := w.From(measuringHost).Report(context.Background())
	if err != nil {
		return err
	}
	unchanged := renew
	unchanged.Attempts, unchanged.IfGeneration = nil, report.Generation
	calls := []struct {
		name   string
		invoke func(context.Context, platform.Worker) error
	}{
		{"worker report", func(ctx context.Context, w platform.Worker) error { _, err := w.Report(ctx); return err }},
		{"worker renew", func(ctx context.Context, w platform.Worker) error { _, err := w.Renew(ctx, renew); return err }},
		{"worker renew unchanged", func(ctx context.Context, w platform.Worker) error { _, err := w.Renew(ctx, unchanged); return err }},
		{"worker start", func(ctx context.Context, w platform.Worker) error {
			_, err := w.Start(ctx, startRequest(0))
			return err
		}},
	}
	for _, c := range calls {
		err := measureCall(t, c.name, server.Addr(), func(ctx context.Context, client *httpapi.Client, addr netip.AddrPort) error {
			return c.invoke(ctx, httpapi.NewWorkerDialer(client).Dial("worker-0001", addr))
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func startRequest(i int) platform.StartRequest {
	return platform.StartRequest{
		Task: platform.TaskID(fmt.Sprintf("day-summary-2026-12-03-%04d/%d", i, i)), Attempt: 1,
		Fence: platform.Fence{Shard: "catania-00", Epoch: 7}, Kind: platform.KindBatch,
		Class: "summary", Template: "day-summary", Work: measureLease,
		Size:     platform.Resources{MilliCPU: 2000, MemoryMB: 4000, Slots: 1},
		NotAfter: platform.WorkerTime(measureLease), LeaseTTL: measureLease,
	}
}

// measureCall adds the bytes and the processor time per call.
func measureCall(
	t *Table, name string, addr netip.AddrPort,
	invoke func(context.Context, *httpapi.Client, netip.AddrPort) error,
) error {
	m, err := newByteMeter(addr)
	if err != nil {
		return err
	}
	defer m.close()
	client, err := httpapi.NewClient(0)
	if err != nil {
		return err
	}
	ctx := context.Background()
	meteredCall := func() error { return invoke(ctx, client, m.addr()) }
	if err := repeat(1, meteredCall); err != nil {
		return err
	}
	before := m.bytes.Load()
	if err := repeat(measuredCalls/10, meteredCall); err != nil {
		return err
	}
	size := float64(m.bytes.Load()-before) / (measuredCalls / 10)
	start := processorTime()
	if err := repeat(measuredCalls, func() error { return invoke(ctx, client, addr) }); err != nil {
		return err
	}
	micros := float64(processorTime()-start) / measuredCalls / nanosPerMicro
	per := fmt.Sprintf("call, %d tasks on the worker", tasksOnWorker)
	t.add(UnitCost{Name: name + " bytes", Role: "placer", Value: size, Unit: "B", Per: per, Mechanism: "platform/httpapi"})
	t.add(UnitCost{Name: name + " time", Role: "placer", Value: micros, Unit: "us", Per: per + ", both sides", Mechanism: "platform/httpapi"})
	return nil
}

func repeat(n int, f func() error) error {
	for range n {
		if err := f(); err != nil {
			return err
		}
	}
	return nil
}

// listedHosts is the number of hosts on the measured host list.
const listedHosts = 500

// measureHostList measures polls that transfer the whole host list and polls of an
// unchanged one.
func measureHostList(t *Table) error {
	list := &hostlist.List{}
	for i := range listedHosts {
		list.Set(platform.Host{
			ID: fmt.Sprintf("worker-%04d", i), Role: platform.RoleWorker, State: platform.HostLive,
			Addr: netip.MustParseAddrPort("10.20.30.40:7100"), Rack: "rack-12", Domain: "catania", Region: "sicily",
		})
	}
	server, err := hostlist.Serve(list, anyPort)
	if err != nil {
		return err
	}
	defer server.Stop(context.Background()) //nolint:errcheck // the process ends soon
	m, err := newByteMeter(server.Addr())
	if err != nil {
		return err
	}
	defer m.close()
	return measureHostListPolls(t, m)
}

func measureHostListPolls(t *Table, m *byteMeter) error {
	const polls = 20
	const per = "listed host, whole list"
	client, err := httpapi.NewClient(0)
	if err != nil {
		return err
	}
	poll := func(l *httpapi.HostList) error { _, err := l.Hosts(context.Background()); return err }
	start := processorTime()
	if err := repeat(polls, func() error { return poll(httpapi.NewHostList(client, m.addr())) }); err != nil {
		return err
	}
	micros := float64(processorTime()-start) / polls / listedHosts / nanosPerMicro
	size := float64(m.bytes.Load()) / polls / listedHosts
	t.add(UnitCost{Name: "host list bytes", Role: "host list", Value: size, Unit: "B", Per: per, Mechanism: "platform/httpapi"})
	t.add(UnitCost{Name: "host list time", Role: "placer", Value: micros, Unit: "us", Per: per + ", both sides", Mechanism: "platform/httpapi"})
	hostList := httpapi.NewHostList(client, m.addr())
	if err := poll(hostList); err != nil {
		return err
	}
	before := m.bytes.Load()
	if err := repeat(polls, func() error { return poll(hostList) }); err != nil {
		return err
	}
	bytesPerPoll := float64(m.bytes.Load()-before) / polls
	t.add(UnitCost{Name: "host list unchanged bytes", Role: "host list", Value: bytesPerPoll, Unit: "B", Per: "poll", Mechanism: "platform/httpapi"})
	return nil
}
