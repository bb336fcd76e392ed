package logservice

import (
	"slices"
	"sync"
	"time"
)

// FaultSet describes the faults to inject. The zero FaultSet injects none.
type FaultSet struct {
	// Down makes every call fail with platform.ErrLogUnavailable and without effect.
	Down bool `json:"down,omitempty"`
	// DelayMillis delays every call, in ms.
	DelayMillis int64 `json:"delay_millis,omitempty"`
	// LoseAnswers is the number of appends that take effect but whose reply is lost.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// DuplicateReads is the number of reads that return each entry twice.
	DuplicateReads int `json:"duplicate_reads,omitempty"`
	// CutOff lists the clients whose calls are lost before they reach the log.
	CutOff []string `json:"cut_off,omitempty"`
}

// Faults holds the faults that a Store injects. It is safe for concurrent use, and
// its zero value injects none.
type Faults struct {
	mu  sync.Mutex
	set FaultSet
}

// Set replaces the faults.
func (f *Faults) Set(set FaultSet) {
	f.mu.Lock()
	defer f.mu.Unlock()
	set.CutOff = slices.Clone(set.CutOff)
	f.set = set
}

// Get returns the faults still to be injected.
func (f *Faults) Get() FaultSet {
	f.mu.Lock()
	defer f.mu.Unlock()
	set := f.set
	set.CutOff = slices.Clone(set.CutOff)
	return set
}

func (f *Faults) down() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.set.Down
}

func (f *Faults) delay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.set.DelayMillis) * time.Millisecond
}

func (f *Faults) cutOff(client string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.set.CutOff, client)
}

// takeLostReply reports whether the reply to this append is lost, and if so reduces
// LoseAnswers.
func (f *Faults) takeLostReply() bool { return f.consume(&f.set.LoseAnswers) }

// takeDuplicateRead reports whether this read returns entries twice, and if so
// reduces DuplicateReads.
func (f *Faults) takeDuplicateRead() bool { return f.consume(&f.set.DuplicateReads) }

func (f *Faults) consume(count *int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if *count == 0 {
		return false
	}
	*count--
	return true
}
