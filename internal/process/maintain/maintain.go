// Package maintain carries out waves of upkeep for the owner of a shard: it reads the
// platform's list of machines, has workers left by their tasks, records each order
// before it is given, and reports the waves' state.
package maintain

import (
	"context"
	"fmt"
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

// Shard is what the maintainer needs of the shard that it works for. Dispatcher
// implements it.
type Shard interface {
	// MayAct reports whether the host may still give orders.
	MayAct() bool
	// SetCordoned names the workers that are to be left.
	SetCordoned(ids []platform.WorkerID)
	// LoadOf counts what may run on a worker: tasks without an end, and others.
	LoadOf(id platform.WorkerID) (lasting, short int)
	// Write records under the owner's epoch. An error that matches
	// store.ErrUnavailable says that nothing was written.
	Write(ctx context.Context, r store.Record) error
	// Lose gives the shard up.
	Lose(err error)
}

// Config is what a Maintainer needs.
type Config struct {
	Shard    Shard
	Machines fleet.Machines
	Waves    fleet.Waves
	Holder   platform.HostID
	Token    platform.Epoch
	// OrdersFrom is when the first order may be given: orders of an earlier owner may
	// be under way until then.
	OrdersFrom time.Duration
	// Recorded is what earlier owners have recorded of each wave.
	Recorded map[int64][]byte
	Clock    bootclock.Clock
	Logger   *logrus.Logger
	Metrics  metrics.Registry
}

const (
	// roundPeriod is the time between two looks at machines while a wave is open. A
	// machine's upkeep takes seconds, and each look is paid for.
	roundPeriod = 500 * time.Millisecond
	// retryPause is the pause after the store did not answer.
	retryPause = 200 * time.Millisecond
	// recordTimeout bounds the wait for a record: some fifty times its usual time.
	recordTimeout = time.Second
)

// Maintainer carries out waves for one ownership.
type Maintainer struct {
	Config
	planner *upkeep.Planner
	// declared holds the newest waves until the next round takes them.
	declared chan []fleet.Wave
	waves    []fleet.Wave
	// reported is the last state that operators were told of each wave.
	reported map[int64]bool
	// failing is set while the list of machines cannot be read.
	failing bool
}

// New returns a maintainer that has done nothing.
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
	return &Maintainer{Config: c, planner: upkeep.New(recorded), declared: make(chan []fleet.Wave, 1), reported: map[int64]bool{}}
}

// Run carries out waves until ctx is done.
func (m *Maintainer) Run(ctx context.Context) {
	go m.follow(ctx)
	for ctx.Err() == nil {
		if m.settled() {
			m.Shard.SetCordoned(nil)
			select {
			case <-ctx.Done():
				return
			case m.waves = <-m.declared:
				continue
			}
		}
		m.round(ctx)
		select {
		case <-ctx.Done():
		case m.waves = <-m.declared:
		case <-time.After(roundPeriod):
		}
	}
}

// follow hands each change of the waves over.
func (m *Maintainer) follow(ctx context.Context) {
	for ctx.Err() == nil {
		declared, err := m.Waves.Next(ctx)
		if err != nil {
			// The node's own reads report that the store is away.
			_ = pause.For(ctx, retryPause)
			continue
		}
		for _, fault := range declared.Unreadable {
			event.WaveUnreadable.Log(m.Logger, logrus.Fields{"error": fault})
		}
		select {
		case <-m.declared:
		default:
		}
		m.declared <- declared.Waves
	}
}

// settled reports whether all waves are over and operators know.
func (m *Maintainer) settled() bool {
	for _, w := range m.waves {
		if !m.reported[w.Number] {
			return false
		}
	}
	return !m.planner.Open(m.waves)
}

// round takes one look at the machines and does what is to be done.
func (m *Maintainer) round(ctx context.Context) {
	if !m.Shard.MayAct() {
		return
	}
	asked := m.Clock()
	machines, err := m.Machines.List(ctx)
	if err != nil {
		if !m.failing && ctx.Err() == nil {
			event.MachinesUnreachable.Log(m.Logger, logrus.Fields{"error": err})
		}
		m.failing = true
		return
	}
	m.failing = false
	steps := m.planner.Plan(m.Clock(), upkeep.Snapshot{
		Waves: m.waves, Machines: machines, ReadAt: asked,
		Load: func(id platform.WorkerID) upkeep.Load {
			lasting, short := m.Shard.LoadOf(id)
			return upkeep.Load{Lasting: lasting, Short: short}
		},
	})
	m.Shard.SetCordoned(steps.Clear)
	for _, o := range steps.Order {
		m.order(ctx, o)
	}
	for _, number := range steps.Done {
		m.record(ctx, number)
	}
	m.report(ctx)
}

// order records that a machine may be down from now on, and orders its upkeep.
func (m *Maintainer) order(ctx context.Context, o upkeep.Order) {
	if m.Clock() < m.OrdersFrom || !m.Shard.MayAct() {
		return
	}
	m.planner.Ordered(o.Wave, o.Machine)
	if !m.record(ctx, o.Wave) {
		return
	}
	verdict, err := m.Machines.Upkeep(ctx, fleet.UpkeepOrder{Machine: o.Machine, Wave: o.Wave, Holder: m.Holder, Token: m.Token})
	metrics.GetOrRegisterCounter("upkeep.orders."+verdict.String(), m.Metrics).Inc(1)
	event.UpkeepOrdered.Log(m.Logger, logrus.Fields{"wave": o.Wave, "machine": o.Machine, "token": m.Token, "verdict": verdict.String(), "error": err})
	if verdict == fleet.MachineFenced {
		m.Shard.Lose(dispatch.ErrFenced)
		return
	}
	m.planner.Answered(m.Clock(), o.Wave, o.Machine, verdict)
	m.record(ctx, o.Wave)
}

// record writes what is known of a wave and reports whether the log holds it.
func (m *Maintainer) record(ctx context.Context, number int64) bool {
	value, err := cbor.Marshal(m.planner.Progress(number))
	if err == nil {
		bounded, cancel := context.WithTimeout(ctx, recordTimeout)
		defer cancel()
		err = m.Shard.Write(bounded, job.WaveRecord(number, value))
	}
	if err != nil {
		event.RecordDelayed.Log(m.Logger, logrus.Fields{"wave": number, "error": err})
	}
	return err == nil
}

// report tells operators the state of the waves of which they do not know it.
func (m *Maintainer) report(ctx context.Context) {
	for _, w := range m.waves {
		done := m.planner.Progress(w.Number).Done
		if told, known := m.reported[w.Number]; known && told == done {
			continue
		}
		if done && !m.record(ctx, w.Number) {
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
