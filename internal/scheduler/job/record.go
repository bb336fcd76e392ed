package job

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/version/queue"
)

// State is the state of a job as reported to callers.
type State uint8

// Job states.
const (
	Queued State = iota
	Running
	Done
	Failed
	Cancelled
)

// String returns the state's name in the callers' interface.
func (s State) String() string {
	words := [...]string{"queued", "running", "done", "failed", "cancelled"}
	if int(s) >= len(words) {
		return "unknown"
	}
	return words[s]
}

// Final reports whether the state is terminal.
func (s State) Final() bool { return s >= Done }

// TaskRef identifies one task of a job.
type TaskRef struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// String returns the fields of r, separated by dots.
func (r TaskRef) String() string {
	return string(r.Job) + "." + strconv.Itoa(r.Occurrence) + "." + strconv.Itoa(r.Step) + "." + strconv.Itoa(r.Index)
}

// Submission is the record of an accepted job.
type Submission struct {
	Queue       queue.Name           `cbor:"1,keyasint"`
	Service     platform.ServiceName `cbor:"2,keyasint"`
	Priority    int                  `cbor:"3,keyasint,omitempty"`
	MaxFailures int                  `cbor:"4,keyasint"`
	// Stretch and TargetMS are the queue's latency objective at the time of
	// acceptance.
	Stretch  float64 `cbor:"5,keyasint"`
	TargetMS int64   `cbor:"6,keyasint"`
	// AcceptedMS is the accepting host's wall-clock time in Unix milliseconds.
	AcceptedMS int64 `cbor:"7,keyasint"`
	Spec       Spec  `cbor:"8,keyasint"`
}

// Progress is the record of the tasks and attempts that the owner knows to have
// ended. Tasks are numbered consecutively over all occurrences and steps.
type Progress struct {
	State State `cbor:"1,keyasint,omitempty"`
	// Revision increases with each progress record of the job.
	Revision uint64 `cbor:"6,keyasint,omitempty"`
	// Done is the set of tasks that have succeeded. It is encoded as key 2, or 11 and 12.
	Done BitSet `cbor:"-"`
	// Failures lists the failed attempts of each task. It lists them rather than
	// counting them, because workers report the end of an attempt repeatedly until
	// it is acknowledged, also to a new owner.
	Failures map[int]Attempts `cbor:"3,keyasint,omitempty"`
	// Checkpoints holds the checkpoints from which stopped tasks resume.
	Checkpoints map[int]string `cbor:"4,keyasint,omitempty"`
	// EndedMS is when the state became terminal, in Unix milliseconds.
	EndedMS int64 `cbor:"5,keyasint,omitempty"`
	// Crashes lists the runs of workers that were lost under each task.
	Crashes map[int][]Crash `cbor:"7,keyasint,omitempty"`
	// Settled names, for each long-running task, the last attempt that has run for so long
	// that a crash of its worker says nothing about the task.
	Settled map[int]platform.Attempt `cbor:"8,keyasint,omitempty"`
	// EarlierFailures counts, for each task, the failed attempts that Failures no longer lists.
	EarlierFailures map[int]int `cbor:"10,keyasint,omitempty"`
	// Split is set if the record holds only the state and Done: the rest is in parts.
	Split bool `cbor:"9,keyasint,omitempty"`
}

// MaxListedFailures and MaxListedCrashes bound what a Progress lists of one task.
const (
	MaxListedFailures = 32
	MaxListedCrashes  = 8
)

// Crash is a run of a worker that was lost while an attempt of a task may have been
// running there.
type Crash struct {
	Worker platform.WorkerID `cbor:"1,keyasint"`
	// Run is the worker's run, as in fleet.Worker.
	Run int64 `cbor:"2,keyasint"`
	// Over is set if the run is known to be over. Else the worker may only be silent.
	Over bool `cbor:"3,keyasint,omitempty"`
	// Started is set if the attempt is known to have started there.
	Started bool `cbor:"4,keyasint,omitempty"`
	// Settled is set if the attempt had run for a while, which makes it an unlikely cause.
	Settled bool `cbor:"5,keyasint,omitempty"`
	// Blamed is set if the run is over and the attempt is the only likely cause.
	Blamed bool `cbor:"6,keyasint,omitempty"`
	// Explained is set if the attempt is not known to have started and another one there had
	// just started, which makes that one the likely cause.
	Explained bool `cbor:"7,keyasint,omitempty"`
}

// LostAttempt is an attempt on a worker that does not answer.
type LostAttempt struct {
	Task    TaskRef          `cbor:"1,keyasint"`
	Attempt platform.Attempt `cbor:"2,keyasint"`
	// Started is set if the worker had accepted the attempt's start order or listed it.
	Started bool `cbor:"3,keyasint,omitempty"`
	// Ran is how long the attempt is known to have run when the worker last answered.
	Ran time.Duration `cbor:"4,keyasint,omitempty"`
}

// Attempts is a list of attempts of one task, without duplicates and unordered.
type Attempts []platform.Attempt

// Ownership is the record of a host that took over a shard.
type Ownership struct {
	// Released is set by an owner that stops: it renews no more leases.
	Released bool            `cbor:"5,keyasint,omitempty"`
	Host     platform.HostID `cbor:"1,keyasint"`
	Addr     string          `cbor:"2,keyasint"`
	Epoch    platform.Epoch  `cbor:"3,keyasint"`
	// Claim is the owner's number in the sequence of the shard's owners, from 1.
	Claim uint32 `cbor:"4,keyasint"`
	// Standby is set if the owner's network link is too narrow for a preferred owner.
	Standby bool `cbor:"6,keyasint,omitempty"`
	// BoundsLeases is set by an owner whose leases end in a short time after its last proof
	// of ownership, see scheduler.Predecessor. Earlier versions do not set it.
	BoundsLeases bool `cbor:"7,keyasint,omitempty"`
}

// Enrollment is the record of a worker on which an owner may start tasks and extend
// leases. It is written before either, and deleted once nothing can run there any
// more.
type Enrollment struct {
	Worker   platform.WorkerID    `cbor:"1,keyasint"`
	Addr     string               `cbor:"2,keyasint"`
	Service  platform.ServiceName `cbor:"3,keyasint"`
	Capacity platform.Resources   `cbor:"4,keyasint"`
	// Claim is the owner's, as in Ownership.
	Claim uint32 `cbor:"5,keyasint"`
	// Run is the worker's run that has accepted the owner's fencing token, as in
	// fleet.Worker.
	Run int64 `cbor:"6,keyasint"`
	// Lost are the attempts on the worker while it does not answer its owner: the next
	// owner has to know of them if the run turns out to be over.
	Lost []LostAttempt `cbor:"7,keyasint,omitempty"`
	// Closed is set if the owner starts nothing on the worker and extends no lease there before
	// a later record of it is in the log. MayRun then names all tasks that may be running there.
	Closed bool    `cbor:"8,keyasint,omitempty"`
	MayRun TaskSet `cbor:"9,keyasint,omitempty"`
	// StrayLeases is for how long after this record orders meant for earlier runs of the worker may
	// extend leases in its present run beyond what the owner requests. Earlier versions do not set
	// it.
	StrayLeases time.Duration `cbor:"10,keyasint,omitempty"`
	// OpenStarts are the start orders without an answer that the worker may still carry out, or may have
	// carried out unseen. Earlier versions neither set nor read it.
	OpenStarts []OpenStart `cbor:"11,keyasint,omitempty"`
	// SeenAt is when this host read the record, by its own clock.
	SeenAt time.Duration `cbor:"-"`
}

// OpenStart is a start order without an answer.
type OpenStart struct {
	Task    TaskRef          `cbor:"1,keyasint"`
	Attempt platform.Attempt `cbor:"2,keyasint"`
	// Left is for how long after its record the attempt may run at most, unless the worker is heard.
	Left time.Duration `cbor:"3,keyasint"`
}

// Record keys. The first three are prefixes of a job ID.
const (
	submissionKey    = "j"
	progressKey      = "p"
	cancellationKey  = "c"
	ownershipKey     = "owner"
	enrollmentKey    = "worker/"
	learnedModelsKey = "learned"
	waveKey          = "wave/"
)

// SubmissionRecord returns the submission record of a job.
func SubmissionRecord(id ID, s *Submission) (store.Record, error) {
	return encodeRecord(submissionKey+string(id), s)
}

// DecodeSubmission returns the job's ID and the submission that a record of
// SubmissionRecord holds.
func DecodeSubmission(r store.Record) (ID, *Submission, error) {
	kind, id := splitKey(r.Key)
	if kind != submissionKey {
		return "", nil, fmt.Errorf("record %q is no submission", r.Key)
	}
	s, err := decodeSubmission(id, r.Value)
	return id, s, err
}

// decodeSubmission decodes the value of a submission record and checks what the scheduler
// relies on.
func decodeSubmission(id ID, value []byte) (*Submission, error) {
	s := &Submission{}
	err := cbor.Unmarshal(value, s)
	if err == nil {
		err = s.Spec.validateStructure()
	}
	if err != nil {
		return nil, fmt.Errorf("submission of job %s: %w", id, err)
	}
	return s, nil
}

// CancellationRecord returns the record that cancels a job. atMS is the host's wall-clock
// time in Unix milliseconds. Earlier versions wrote a value without a time; any value but an
// empty one, which deletes the key, cancels the job.
func CancellationRecord(id ID, atMS int64) store.Record {
	return store.Record{Key: cancellationKey + string(id), Value: strconv.AppendInt(nil, atMS, 10)}
}

// decodeCancellation returns the time that the value of a cancellation record holds, in Unix
// milliseconds, or zero if there is none.
func decodeCancellation(value []byte) (atMS int64) {
	atMS, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil || atMS < 0 {
		return 0
	}
	return atMS
}

// CancellationDeletionRecord returns the record that deletes the cancellation of a job that
// was never submitted.
func CancellationDeletionRecord(id ID) store.Record {
	return store.Record{Key: cancellationKey + string(id)}
}

// IsCancellation reports whether a record cancels a job.
func IsCancellation(r store.Record) bool {
	kind, _ := splitKey(r.Key)
	return kind == cancellationKey && len(r.Value) > 0
}

// EnrollmentRecord returns the record that enrolls a worker.
func EnrollmentRecord(e Enrollment) (store.Record, error) {
	return encodeRecord(enrollmentKey+string(e.Worker), e)
}

// UnenrollmentRecord returns the record that deletes a worker's enrollment.
func UnenrollmentRecord(id platform.WorkerID) store.Record {
	return store.Record{Key: enrollmentKey + string(id)}
}

// LearnedModelsRecord returns the record of the models that an owner has learned. The
// scheduler defines the encoding of value.
func LearnedModelsRecord(value []byte) store.Record {
	return store.Record{Key: learnedModelsKey, Value: value}
}

// WaveRecord returns the record of a maintenance wave. The upkeep planner defines
// the encoding of value.
func WaveRecord(number int64, value []byte) store.Record {
	return store.Record{Key: waveKey + strconv.FormatInt(number, 10), Value: value}
}

// noJob has the length of a job's ID, but is none.
const noJob = "----------------"

// NoOpRecord returns a record that changes no table, whatever the version that applies it: it
// deletes a cancellation that does not exist.
func NoOpRecord() store.Record { return store.Record{Key: cancellationKey + noJob} }

// DeletionRecords returns the records that delete all keys of a job, whose progress has the
// given parts. The submission is deleted last, because a job without one is unknown.
func DeletionRecords(id ID, parts ...int) []store.Record {
	var records []store.Record
	for _, part := range parts {
		records = append(records, store.Record{Key: partKey(id, part)})
	}
	return append(records,
		store.Record{Key: progressKey + string(id)}, store.Record{Key: cancellationKey + string(id)}, store.Record{Key: submissionKey + string(id)},
	)
}

func encodeRecord(key string, v any) (store.Record, error) {
	value, err := cbor.Marshal(v)
	if err != nil {
		return store.Record{}, fmt.Errorf("encode record %s: %w", key, err)
	}
	return store.Record{Key: key, Value: value}, nil
}

// splitKey returns the prefix of a key and the ID of the job, worker or wave after
// it. A key without an ID is returned whole.
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
