package fleet

import (
	"context"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
)

// MachineState is the state of a machine as reported by the platform.
type MachineState string

// States of machines. A machine accepts orders only in MachineUp.
const (
	MachineUp       MachineState = "up"
	MachineMoving   MachineState = "moving"
	MachineInUpkeep MachineState = "upkeep"
	MachineDown     MachineState = "down"
)

// Machine is a machine that runs a worker.
type Machine struct {
	ID platform.MachineID
	// Pool is the service whose pool the machine belongs to.
	Pool  platform.ServiceName
	State MachineState
	// Worker is the worker that runs on the machine, or empty.
	Worker platform.WorkerID
}

// Wave is a declared maintenance run: each of its machines gets its upkeep once.
type Wave struct {
	// Number identifies the wave.
	Number   int64
	Machines []platform.MachineID
	// Within is the time from the wave's declaration by which all machines must
	// have had it.
	Within time.Duration
	// MaxDown is the maximum number of machines of the wave that may be down for
	// it at the same time.
	MaxDown int
}

// UpkeepOrder requests the upkeep of one machine. Everything that runs on the
// machine ends immediately. It is idempotent.
type UpkeepOrder struct {
	Machine platform.MachineID
	Wave    int64
	Holder  platform.HostID
	Token   platform.Epoch
}

// MachineVerdict is the platform's decision on an order for a machine.
type MachineVerdict uint8

// Verdicts on orders for machines.
const (
	// MachineAccepted: the order took effect now or had taken effect before.
	MachineAccepted MachineVerdict = iota + 1
	// MachineFenced: a higher token was seen for the machine.
	MachineFenced
	// MachineBusy: the machine is not up, or its worker is leaving.
	MachineBusy
	// MachineNotInWave: the wave does not include the machine.
	MachineNotInWave
	// MachineUnknown: there is no such machine.
	MachineUnknown
	// MachineThrottled: the rate limit of orders is exceeded.
	MachineThrottled
)

// String returns the verdict's name in logs.
func (v MachineVerdict) String() string {
	words := [...]string{"none", "accepted", "fenced", "busy", "not_in_wave", "unknown_machine", "throttled"}
	if int(v) >= len(words) {
		return "unknown"
	}
	return words[v]
}

// Machines is the platform's service for machines. An error matches
// platform.ErrOutcomeUnknown if an order may have taken effect or may still do so.
type Machines interface {
	// List returns all machines of all pools.
	List(ctx context.Context) ([]Machine, error)
	Upkeep(ctx context.Context, o UpkeepOrder) (MachineVerdict, error)
}

// DeclaredWaves is the result of reading the declared waves.
type DeclaredWaves struct {
	Waves []Wave
	// Unreadable are the errors of invalid declarations that were read since the
	// last call and skipped.
	Unreadable []error
}

// Waves follows the waves that operators declare. Only Report is safe for
// concurrent use.
type Waves interface {
	// Next waits for a change for a limited time and returns the declared waves,
	// whether or not they have changed.
	Next(ctx context.Context) (DeclaredWaves, error)
	// Report reports to operators whether a wave is in progress or done.
	Report(ctx context.Context, wave int64, done bool) error
}
