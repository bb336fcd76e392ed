package fleet

import (
	"context"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
)

// MachineState is what the platform says of a machine.
type MachineState string

// States of machines. A machine in any other than MachineUp takes no orders.
const (
	MachineUp       MachineState = "up"
	MachineMoving   MachineState = "moving"
	MachineInUpkeep MachineState = "upkeep"
	MachineDown     MachineState = "down"
)

// Machine is a machine below a worker.
type Machine struct {
	ID platform.MachineID
	// Pool is the service that the machine works for.
	Pool  platform.ServiceName
	State MachineState
	// Worker is the worker that runs on the machine, or empty.
	Worker platform.WorkerID
}

// Wave asks that machines have their upkeep, each once.
type Wave struct {
	// Number names the wave.
	Number   int64
	Machines []platform.MachineID
	// Within is the time from the wave's declaration in which all are to have it.
	Within time.Duration
	// MostDown is how many machines of the wave may be down for it at a time.
	MostDown int
}

// UpkeepOrder asks for the upkeep of one machine. All that runs on the machine ends
// at once. Repeating it is harmless.
type UpkeepOrder struct {
	Machine platform.MachineID
	Wave    int64
	Holder  platform.HostID
	Token   platform.Epoch
}

// MachineVerdict is the platform's answer to an order for a machine.
type MachineVerdict uint8

// Verdicts on orders for machines.
const (
	// MachineAccepted: the order took effect now or had taken effect before.
	MachineAccepted MachineVerdict = iota + 1
	// MachineFenced: a higher token was seen for the machine.
	MachineFenced
	// MachineBusy: the machine is not up, or its worker leaves.
	MachineBusy
	// MachineNotInWave: the wave does not name the machine.
	MachineNotInWave
	// MachineUnknown: there is no such machine.
	MachineUnknown
	// MachineThrottled: too many orders came.
	MachineThrottled
)

// String returns a word for logs.
func (v MachineVerdict) String() string {
	words := [...]string{"none", "accepted", "fenced", "busy", "not_in_wave", "unknown_machine", "throttled"}
	if int(v) >= len(words) {
		return "unknown"
	}
	return words[v]
}

// Machines is the platform's service for machines. An error matches
// platform.ErrOutcomeUnknown if an order may have been carried out or may yet be.
type Machines interface {
	// List returns all machines of all pools.
	List(ctx context.Context) ([]Machine, error)
	Upkeep(ctx context.Context, o UpkeepOrder) (MachineVerdict, error)
}

// DeclaredWaves are the waves that operators have declared.
type DeclaredWaves struct {
	Waves []Wave
	// Unreadable are the faults of declarations that were read since the last call and
	// left out.
	Unreadable []error
}

// Waves follows the waves that operators have declared. It is not safe for concurrent
// use, but for Report.
type Waves interface {
	// Next waits a bounded time for a change and returns what is declared then, whether
	// or not it has changed.
	Next(ctx context.Context) (DeclaredWaves, error)
	// Report tells operators that a wave goes on or is done.
	Report(ctx context.Context, wave int64, done bool) error
}
