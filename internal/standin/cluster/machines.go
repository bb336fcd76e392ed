package cluster

import (
	"slices"
	"strings"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
)

// machinePrefix precedes the worker's identifier in the identifier of its machine.
// Each machine runs one worker.
const machinePrefix = "machine-"

// upkeepTime is how long a machine is down for upkeep.
const upkeepTime = 2 * time.Second

// wave is a declared upkeep wave and its progress.
type wave struct {
	fleet.Wave
	// serviced are the machines whose upkeep was ordered.
	serviced     map[platform.MachineID]bool
	reportedDone bool
}

// DeclareWave declares an upkeep wave for the machines of the given workers. At most
// maxDown of them may be down at a time.
func (c *Cluster) DeclareWave(number int64, maxDown int, workers ...platform.WorkerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := &wave{Wave: fleet.Wave{Number: number, MaxDown: maxDown, Within: time.Minute}, serviced: map[platform.MachineID]bool{}}
	for _, id := range workers {
		w.Machines = append(w.Machines, machineOf(id))
	}
	c.waves = append(c.waves, w)
}

func machineOf(id platform.WorkerID) platform.MachineID {
	return platform.MachineID(machinePrefix + id)
}

// Waves returns all declared waves.
func (c *Cluster) Waves() []fleet.Wave {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []fleet.Wave
	for _, w := range c.waves {
		list = append(list, w.Wave)
	}
	return list
}

// OpenWaves returns the number of waves that were not reported as done.
func (c *Cluster) OpenWaves() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, w := range c.waves {
		if !w.reportedDone {
			n++
		}
	}
	return n
}

// Machines returns the machines that are not lost, sorted by identifier.
func (c *Cluster) Machines(now time.Duration) []fleet.Machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []fleet.Machine
	for id, w := range c.workers {
		c.finishUpkeep(now, w)
		if w.lost {
			continue
		}
		m := fleet.Machine{ID: machineOf(id), Pool: w.info.Service, State: fleet.MachineUp, Worker: id}
		switch {
		case w.upkeepEnds > 0:
			m.State, m.Worker = fleet.MachineInUpkeep, ""
		case !w.up:
			m.State, m.Worker = fleet.MachineDown, ""
		}
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b fleet.Machine) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// LoseMachine removes a worker and its machine permanently.
func (c *Cluster) LoseMachine(id platform.WorkerID) {
	c.Crash(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers[id].lost, c.workers[id].upkeepEnds = true, 0
}

// finishUpkeep boots a worker once the upkeep of its machine has ended.
func (c *Cluster) finishUpkeep(now time.Duration, w *worker) {
	if w.upkeepEnds > 0 && now >= w.upkeepEnds {
		w.upkeepEnds = 0
		w.boot(now)
	}
}

// Upkeep executes an order for the upkeep of a machine.
func (c *Cluster) Upkeep(now time.Duration, o fleet.UpkeepOrder) fleet.MachineVerdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[platform.WorkerID(strings.TrimPrefix(string(o.Machine), machinePrefix))]
	if w == nil || w.lost {
		return fleet.MachineUnknown
	}
	i := slices.IndexFunc(c.waves, func(v *wave) bool { return v.Number == o.Wave })
	switch {
	case i < 0 || !slices.Contains(c.waves[i].Machines, o.Machine):
		return fleet.MachineNotInWave
	case c.waves[i].serviced[o.Machine]:
		return fleet.MachineAccepted
	case !w.up || w.info.Draining:
		return fleet.MachineBusy
	}
	if o.Token < w.machineToken {
		c.recordViolation(now, "ONE", "machine %s is ordered with token %d after %d", o.Machine, o.Token, w.machineToken)
	}
	w.machineToken = max(w.machineToken, o.Token)
	c.waves[i].serviced[o.Machine] = true
	w.up, w.running = false, map[job.TaskRef]*attempt{}
	w.upkeepEnds = now + upkeepTime
	if down := c.downForUpkeep(c.waves[i]); down > c.waves[i].MaxDown {
		c.recordViolation(now, "LIMIT", "%d machines of wave %d are down, %d are allowed", down, o.Wave, c.waves[i].MaxDown)
	}
	return fleet.MachineAccepted
}

// downForUpkeep returns the number of machines of a wave that are down for upkeep.
func (c *Cluster) downForUpkeep(v *wave) int {
	n := 0
	for id, w := range c.workers {
		if w.upkeepEnds > 0 && slices.Contains(v.Machines, machineOf(id)) {
			n++
		}
	}
	return n
}

// Report accepts the scheduler's report to operators that a wave continues or is done.
// It records a violation if a wave is reported as done before all its machines had
// their upkeep.
func (c *Cluster) Report(now time.Duration, number int64, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, v := range c.waves {
		if v.Number != number || !done {
			continue
		}
		v.reportedDone = true
		for id, w := range c.workers {
			if m := machineOf(id); slices.Contains(v.Machines, m) && !v.serviced[m] && !w.lost {
				c.recordViolation(now, "MIXED", "wave %d is said to be done, %s had no upkeep", number, m)
			}
		}
	}
}
