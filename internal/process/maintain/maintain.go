// Package maintain carries out maintenance waves for the owner of a shard: it reads the
// platform's list of machines, drains their workers, records each order before it sends
// it, and reports the state of the waves.
package maintain

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/process/bootclock"
	"github.com/siskinvane/siskinvane/internal/process/dispatch"
	"github.com/siskinvane/siskinvane/internal/process/event"
	"github.com/siskinvane/siskinvane/internal/process/pause"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
	"github.com/siskinvane/siskinvane/internal/scheduler/upkeep"
)

// Shard is the part of a shard's owner that a Maintainer uses. dispatch.Dispatcher
// implements it.
type Shard interface {
	// MayAct reports whether the host may still send orders as the shard's owner.
	MayAct() bool
	// SetCordoned sets the workers that get no new tasks and from which tasks are moved
	// away.
	SetCordoned(ids []platform.WorkerID)
	// UpkeepOrdered tells that the upkeep of the machines of workers is about to be ordered, or
	// was and may still begin, so that the workers may leave.
	UpkeepOrdered(ids []platform.WorkerID)
	// UpkeepRefused tells that the machines of workers have refused their upkeep, so that
	// the workers go on.
	UpkeepRefused(ids []platform.WorkerID)
	// WorkerLoad counts the tasks that may be running on a worker: long-running ones,
	// which have no end, and finite ones.
	WorkerLoad(id platform.WorkerID) (longRunning, finite int)
	// Write records r under the owner's epoch. An error that matches
	// store.ErrUnavailable means that nothing was written.
	Write(ctx context.Context, r store.Record) error
	// Relinquish gives up the shard because of err.
	Relinquish(err error)
}

// Config is what a Maintainer needs.
type Config struct {
	Shard    Shard
	Machines fleet.Machines
	Waves    fleet.Waves
	// Holder and Token identify the shard's owner in orders to machines. Token is its
	// fencing token.
	Holder platform.HostID
	Token  platform.Epoch
	// FirstOrderAt is the earliest time of the first order, on Clock. Until then, orders
	// of an earlier owner may be in flight.
	FirstOrderAt time.Duration
	// Recorded holds the progress that earlier owners recorded of each wave, by its
	// number.
	Recorded map[int64][]byte
	Clock    bootclock.Clock
	Logger   *logrus.Logger
	Metrics  metrics.Registry
}

const (
	// pollPeriod is the time between two readings of the machines while a wave is open.
	// Upkeep of a machine takes seconds, and each reading is billed.
	pollPeriod = 500 * time.Millisecond
	// retryDelay is the delay before the waves are read again after the store did not
	// answer.
	retryDelay = 200 * time.Millisecond
	// recordTimeout bounds the wait for a record: about fifty times the usual duration.
	recordTimeout = time.Second
)

// Maintainer carries out waves for one ownership of a shard.
type Maintainer struct {
	Config
	planner *upkeep.Planner
	// waveUpdates holds the newest waves until Run receives them.
	waveUpdates chan []fleet.Wave
	waves       []fleet.Wave
	// reported is what operators were last told of each wave: whether it is done.
	reported map[int64]bool
	// listFailing is set while the list of machines cannot be read, so that only the
	// first failure is logged.
	listFailing bool
}

// New returns a maintainer that continues from what earlier owners recorded. A record
// that cannot be read is logged and ignored.
func New(c Config) *Maintainer {
	recorded := map[int64]upkeep.Progress{}
	for number, value := range c.Recorded {
		var p upkeep.Progress
		if err := cbor.Unmarshal(value, &p); err != nil {
			event.RecordUnreadable.Log(c.Logger, logrus.Fields{"wave": number, "error": err})
			continue
		}
		recorded[number] = p
	}
	return &Maintainer{Config: c, planner: upkeep.New(recorded), waveUpdates: make(chan []fleet.Wave, 1), reported: map[int64]bool{}}
}

// Run carries out waves until ctx is done.
func (m *Maintainer) Run(ctx context.Context) {
	go m.watchWaves(ctx)
	for ctx.Err() == nil {
		if m.idle() {
			m.Shard.SetCordoned(nil)
			select {
			case <-ctx.Done():
				return
			case m.waves = <-m.waveUpdates:
				continue
			}
		}
		m.reconcile(ctx)
		select {
		case <-ctx.Done():
		case m.waves = <-m.waveUpdates:
		case <-time.After(pollPeriod):
		}
	}
}

// watchWaves passes each change of the waves to Run.
func (m *Maintainer) watchWaves(ctx context.Context) {
	for ctx.Err() == nil {
		declared, err := m.Waves.Next(ctx)
		if err != nil {
			// The node's own reads report that the store is unavailable.
			_ = pause.For(ctx, retryDelay)
			continue
		}
		for _, fault := range declared.Unreadable {
			event.WaveUnreadable.Log(m.Logger, logrus.Fields{"error": fault})
		}
		select {
		case <-m.waveUpdates:
		default:
		}
		m.waveUpdates <- declared.Waves
	}
}

// idle reports whether all waves are done and reported to operators.
func (m *Maintainer) idle() bool {
	for _, w := range m.waves {
		if !m.reported[w.Number] {
			return false
		}
	}
	return !m.planner.HasOpenWave(m.waves)
}

// reconcile reads the list of machines and takes the steps that are due.
func (m *Maintainer) reconcile(ctx context.Context) {
	if !m.Shard.MayAct() {
		return
	}
	readAt := m.Clock()
	machines, err := m.Machines.List(ctx)
	if err != nil {
		if !m.listFailing && ctx.Err() == nil {
			event.MachinesUnreachable.Log(m.Logger, logrus.Fields{"error": err})
		}
		m.listFailing = true
		return
	}
	m.listFailing = false
	steps := m.planner.Plan(m.Clock(), upkeep.Snapshot{
		Waves: m.waves, Machines: machines, ReadAt: readAt,
		Load: func(id platform.WorkerID) upkeep.TaskCounts {
			longRunning, finite := m.Shard.WorkerLoad(id)
			return upkeep.TaskCounts{LongRunning: longRunning, Batch: finite}
		},
	})
	m.Shard.SetCordoned(steps.Drain)
	m.Shard.UpkeepOrdered(steps.Ordered)
	m.Shard.UpkeepRefused(steps.Refused)
	for _, o := range steps.Orders {
		i := slices.IndexFunc(machines, func(listed fleet.Machine) bool { return listed.ID == o.Machine })
		m.orderUpkeep(ctx, o, machines[i].Worker)
	}
	for _, number := range steps.Late {
		event.WaveLate.Log(m.Logger, logrus.Fields{"wave": number, "begun": len(m.planner.Progress(number).Begun)})
	}
	for _, number := range steps.Done {
		m.recordWave(ctx, number)
	}
	m.reportWaves(ctx)
}

// orderUpkeep records that a machine may be down from now on and then orders its upkeep, which
// ends the worker there.
func (m *Maintainer) orderUpkeep(ctx context.Context, o upkeep.Order, worker platform.WorkerID) {
	if m.Clock() < m.FirstOrderAt || !m.Shard.MayAct() {
		return
	}
	m.planner.RecordOrder(o.Wave, o.Machine)
	// The host may have been suspended while it waited for the record.
	if !m.recordWave(ctx, o.Wave) || !m.Shard.MayAct() {
		return
	}
	m.Shard.UpkeepOrdered([]platform.WorkerID{worker})
	verdict, err := m.Machines.Upkeep(ctx, fleet.UpkeepOrder{Machine: o.Machine, Wave: o.Wave, Holder: m.Holder, Token: m.Token})
	metrics.GetOrRegisterCounter("upkeep.orders."+verdict.String(), m.Metrics).Inc(1)
	event.UpkeepOrdered.Log(m.Logger, logrus.Fields{"wave": o.Wave, "machine": o.Machine, "token": m.Token, "verdict": verdict.String(), "error": err})
	if verdict == fleet.MachineFenced {
		m.Shard.Relinquish(dispatch.ErrFenced)
		return
	}
	m.planner.RecordVerdict(m.Clock(), o.Wave, o.Machine, verdict)
	m.recordWave(ctx, o.Wave)
}

// recordWave writes the progress of a wave and reports whether it is in the log.
func (m *Maintainer) recordWave(ctx context.Context, number int64) bool {
	value, err := cbor.Marshal(m.planner.Progress(number))
	if err == nil {
		timeoutCtx, cancel := context.WithTimeout(ctx, recordTimeout)
		defer cancel()
		err = m.Shard.Write(timeoutCtx, job.WaveRecord(number, value))
	}
	if err != nil {
		event.RecordDelayed.Log(m.Logger, logrus.Fields{"wave": number, "error": err})
	}
	return err == nil
}

// reportWaves reports the state of the waves to operators where it has changed. That a
// wave is done is recorded first.
func (m *Maintainer) reportWaves(ctx context.Context) {
	for _, w := range m.waves {
		done := m.planner.Progress(w.Number).Done
		if reported, known := m.reported[w.Number]; known && reported == done {
			continue
		}
		if done && !m.recordWave(ctx, w.Number) {
			continue
		}
		if err := m.Waves.Report(ctx, w.Number, done); err != nil {
			event.RecordDelayed.Log(m.Logger, logrus.Fields{"wave": w.Number, "error": fmt.Errorf("report the wave's state: %w", err)})
			continue
		}
		m.reported[w.Number] = done
		event.WaveReported.Log(m.Logger, logrus.Fields{"wave": w.Number, "machines": len(w.Machines), "done": done})
	}
}
