package endpoint

import "math/rand/v2"

// Fault is the fault that an endpoint injects into one request.
type Fault uint8

// Faults.
const (
	// None: the request is executed and answered.
	None Fault = iota
	// ResetBeforeRun: the connection is reset before the request is executed.
	ResetBeforeRun
	// ResetAfterRun: the request is executed, then the connection is reset before
	// the first byte of the answer.
	ResetAfterRun
	// ResetMidAnswer: the request is executed, then the connection is reset in the
	// middle of the answer.
	ResetMidAnswer
	// Truncate: the request is executed, then the connection is closed without a
	// reset before the end of the answer.
	Truncate
	// TruncateChunked: like Truncate, with a chunked answer.
	TruncateChunked
	// Stall: the request is executed and never answered.
	Stall
	// LateAnswer: the request is executed immediately and answered after lateDelay.
	LateAnswer
	// LateRun: the request is executed and answered after lateDelay, even if the
	// sender has closed the connection.
	LateRun
	// Refuse: the endpoint answers that it did not execute the request.
	Refuse
	faultCount
)

// Faults returns all faults except None.
func Faults() []Fault {
	var all []Fault
	for f := None + 1; f < faultCount; f++ {
		all = append(all, f)
	}
	return all
}

// RandomFaults returns a plan that injects a random fault into the given percentage
// of requests. The plan is not safe for concurrent use.
func RandomFaults(rnd *rand.Rand, percent int) func() Fault {
	all := Faults()
	return func() Fault {
		if rnd.IntN(100) >= percent {
			return None
		}
		return all[rnd.IntN(len(all))]
	}
}
