package job

import (
	"fmt"
	"math/bits"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/version/queue"
)

// State is what callers are told of a job.
type State uint8

// States of jobs.
const (
	Queued State = iota
	Running
	Done
	Failed
	Cancelled
)

// String returns the state's word.
func (s State) String() string {
	return [...]string{"queued", "running", "done", "failed", "cancelled"}[s]
}

// Final reports whether the state never changes again.
func (s State) Final() bool { return s >= Done }

// TaskRef names one task of a job.
type TaskRef struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// String returns the parts of r, separated by dots.
func (r TaskRef) String() string {
	return string(r.Job) + "." + strconv.Itoa(r.Occurrence) + "." + strconv.Itoa(r.Step) + "." + strconv.Itoa(r.Index)
}

// Submission is the record of an accepted job.
type Submission struct {
	Queue       queue.Name           `cbor:"1,keyasint"`
	Service     platform.ServiceName `cbor:"2,keyasint"`
	Priority    int                  `cbor:"3,keyasint,omitempty"`
	MaxFailures int                  `cbor:"4,keyasint"`
	// Stretch and TargetMS are the queue's latency objective at that time.
	Stretch  float64 `cbor:"5,keyasint"`
	TargetMS int64   `cbor:"6,keyasint"`
	// AcceptedMS is the accepting host's time of day in Unix milliseconds.
	AcceptedMS int64 `cbor:"7,keyasint"`
	Spec       Spec  `cbor:"8,keyasint"`
}

// Progress is the record of what the owner knows to be over. Tasks are numbered
// through all occurrences and steps.
type Progress struct {
	State State `cbor:"1,keyasint,omitempty"`
	// Revision grows with each record of the job's progress.
	Revision uint64 `cbor:"6,keyasint,omitempty"`
	// Done is the set of tasks that have ended as done.
	Done Set `cbor:"2,keyasint,omitempty"`
	// Failures are the attempts of a task that have ended as failed. They are named
	// and not counted, since workers list an end again until it is acknowledged,
	// also to another owner.
	Failures map[int]Attempts `cbor:"3,keyasint,omitempty"`
	// Checkpoints are the states from which stopped tasks resume.
	Checkpoints map[int]string `cbor:"4,keyasint,omitempty"`
	// EndedMS is when the state became final, in Unix milliseconds.
	EndedMS int64 `cbor:"5,keyasint,omitempty"`
}

// Attempts are attempts of one task, each once, in no order.
type Attempts []platform.Attempt

// Ownership is the record of a host that took a shard over.
type Ownership struct {
	// Released is set by an owner that stops: its leases are not renewed again.
	Released bool            `cbor:"5,keyasint,omitempty"`
	Host     platform.HostID `cbor:"1,keyasint"`
	Addr     string          `cbor:"2,keyasint"`
	Epoch    platform.Epoch  `cbor:"3,keyasint"`
	// Claim counts the owners of the shard from 1.
	Claim uint32 `cbor:"4,keyasint"`
}

// Enrollment is the record of a worker on which an owner may start tasks and extend
// leases. It is written before that and dropped once nothing can run there.
type Enrollment struct {
	Worker  platform.WorkerID    `cbor:"1,keyasint"`
	Addr    string               `cbor:"2,keyasint"`
	Service platform.ServiceName `cbor:"3,keyasint"`
	Room    platform.Resources   `cbor:"4,keyasint"`
	// Claim is that of the owner.
	Claim uint32 `cbor:"5,keyasint"`
	// Run is the worker's run that has taken the owner's token, as in fleet.Worker.
	Run int64 `cbor:"6,keyasint"`
}

// Set is a set of small numbers, a bit each.
type Set []byte

const bitsPerByte = 8

// Has reports whether n is in the set.
func (s Set) Has(n int) bool {
	return n/bitsPerByte < len(s) && s[n/bitsPerByte]&(1<<(n%bitsPerByte)) != 0
}

// Len returns the number of members.
func (s Set) Len() int {
	n := 0
	for _, b := range s {
		n += bits.OnesCount8(b)
	}
	return n
}

// Add puts n into the set.
func (s *Set) Add(n int) {
	for len(*s) <= n/bitsPerByte {
		*s = append(*s, 0)
	}
	(*s)[n/bitsPerByte] |= 1 << (n % bitsPerByte)
}

// Keys of records: a letter and the job's identifier.
const (
	submissionKey   = "j"
	progressKey     = "p"
	cancellationKey = "c"
	ownershipKey    = "owner"
	enrollmentKey   = "worker/"
	learnedKey      = "learned"
	waveKey         = "wave/"
)

// cancelled is the value of a cancellation; an empty one would drop the key.
var cancelled = []byte{1}

// SubmissionRecord returns the record of an accepted job.
func SubmissionRecord(id ID, s *Submission) (store.Record, error) {
	return record(submissionKey+string(id), s)
}

// ProgressRecord returns the record of a job's progress.
func ProgressRecord(id ID, p *Progress) (store.Record, error) {
	return record(progressKey+string(id), p)
}

// CancellationRecord returns the record of a job's cancellation.
func CancellationRecord(id ID) store.Record {
	return store.Record{Key: cancellationKey + string(id), Value: cancelled}
}

// OwnershipRecord returns the record of a shard's owner.
func OwnershipRecord(o Ownership) (store.Record, error) { return record(ownershipKey, o) }

// EnrollmentRecord returns the record of a worker.
func EnrollmentRecord(e Enrollment) (store.Record, error) {
	return record(enrollmentKey+string(e.Worker), e)
}

// DismissalRecord returns the record that drops a worker.
func DismissalRecord(id platform.WorkerID) store.Record {
	return store.Record{Key: enrollmentKey + string(id)}
}

// LearnedRecord returns the record of what an owner has learned. Its value is the
// scheduler's.
func LearnedRecord(value []byte) store.Record {
	return store.Record{Key: learnedKey, Value: value}
}

// WaveRecord returns the record of a wave of upkeep. Its value is the planner's.
func WaveRecord(number int64, value []byte) store.Record {
	return store.Record{Key: waveKey + strconv.FormatInt(number, 10), Value: value}
}

// DropRecords returns the records that drop all keys of a job. The submission
// goes last: without it the job is unknown.
func DropRecords(id ID) []store.Record {
	return []store.Record{
		{Key: progressKey + string(id)}, {Key: cancellationKey + string(id)}, {Key: submissionKey + string(id)},
	}
}

func record(key string, v any) (store.Record, error) {
	value, err := cbor.Marshal(v)
	if err != nil {
		return store.Record{}, fmt.Errorf("encode record %s: %w", key, err)
	}
	return store.Record{Key: key, Value: value}, nil
}

// splitKey returns the kind of a key and the job, the worker or the wave that it names.
func splitKey(key string) (kind string, id ID) {
	for _, k := range []string{submissionKey, progressKey, cancellationKey} {
		if strings.HasPrefix(key, k) && len(key) == len(k)+idLength {
			return k, ID(key[len(k):])
		}
	}
	if id, ok := strings.CutPrefix(key, enrollmentKey); ok {
		return enrollmentKey, ID(id)
	}
	if number, ok := strings.CutPrefix(key, waveKey); ok {
		return waveKey, ID(number)
	}
	return key, ""
}
