// Package idempotency records requests that carry an Idempotency-Key, so that a
// repeat gets the first answer and does not run again, whichever entry host it
// reaches.
//
// Rendezvous hashing assigns each key a home among the members. Before a request
// runs, it is recorded by the host that receives it and by the key's home; if the
// receiver is the home, by the member that ranks second. When the set of members
// changes, each host announces its records to the new homes, and a home serves
// only after all members have announced. The loss of one member between two such
// rounds loses no record. After the loss of more members, requests whose key has
// no record are answered "unknown" for one window and do not run.
package idempotency

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/siskinvane/siskinvane/internal/platform"
)

// Bounds of the records.
const (
	// DefaultWindow is the default retention of a record.
	DefaultWindow = 10 * time.Minute
	// MaxKeyBytes is the maximum length of a key.
	MaxKeyBytes = 128
	// maxRecords and maxAnswerBytes bound the memory that records take on one
	// host. Beyond them, new keys are refused.
	maxRecords     = 200_000
	maxAnswerBytes = 64 << 20
)

// Member identifies one process of an entry host by the host and the process
// start. After a restart the same host is a different member.
type Member string

// NewMember returns the member for the given incarnation of host's process.
func NewMember(host platform.HostID, incarnation string) Member {
	return Member(string(host) + "@" + incarnation)
}

// Key identifies a request. Equal keys of different services are unrelated.
type Key struct {
	Service platform.ServiceName
	Key     string
}

// State is the known state of a request.
type State uint8

// States of requests.
const (
	// Running means that the receiver may be running the request.
	Running State = iota + 1
	// Done means that the answer is known.
	Done
	// InDoubt means that the request may have run and its answer is lost.
	InDoubt
)

// Field is one header field of an answer.
type Field struct{ Name, Value string }

// Answer is a stored answer for replay.
type Answer struct {
	Status int
	Header []Field
	Body   []byte
}

// Record is the record of one request.
type Record struct {
	Key Key
	// Print is the fingerprint of the request's method, target and body.
	Print    uint64
	State    State
	Receiver Member
	// Begun is the time at which the request was first recorded, by the clock
	// of the host that holds this record.
	Begun  time.Time
	Answer *Answer
}

// answerBytes returns the length of the stored answer's body.
func (r *Record) answerBytes() int {
	if r.Answer == nil {
		return 0
	}
	return len(r.Answer.Body)
}

// rank returns the first and second member for a key by rendezvous hashing. The
// first is the key's home. The second is empty if there is only one member.
func rank(members []Member, k Key) (first, second Member) {
	var best, next uint64
	for _, m := range members {
		weight := xxhash.Sum64String(string(m) + "\x00" + string(k.Service) + "\x00" + k.Key)
		switch {
		case first == "" || weight > best:
			second, next = first, best
			first, best = m, weight
		case second == "" || weight > next:
			second, next = m, weight
		}
	}
	return first, second
}

// hashMembers returns a hash that identifies a sorted list of members.
func hashMembers(members []Member) uint64 {
	h := xxhash.New()
	for _, m := range members {
		h.WriteString(string(m)) //nolint:errcheck // writing to a hash cannot fail
		h.Write([]byte{0})       //nolint:errcheck // writing to a hash cannot fail
	}
	return h.Sum64()
}
