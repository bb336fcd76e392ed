package task

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// The seeds make equal values of different kinds contribute differently to the
// digest.
const (
	seedStateChanges uint64 = iota + 1
	seedPurged
	seedFailures
)

// Digest implements shard.TaskState. It is the exclusive or of the hashes of all
// items and is updated with each change.
func (t *Table) Digest() uint64 {
	return t.digest ^ hashPair(seedStateChanges, t.stateChanges) ^ hashPair(seedPurged, t.purged.digest()) ^ hashPair(seedFailures, t.failing.digest())
}

// updateTaskDigest replaces a task's hash in the digest.
func (t *Table) updateTaskDigest(task *Task) {
	t.digest ^= task.hash
	task.hash = itemHash(task)
	t.digest ^= task.hash
}

// updateJobDigest replaces a job's hash in the digest.
func (t *Table) updateJobDigest(j *job) {
	t.digest ^= j.hash
	j.hash = itemHash(j)
	t.digest ^= j.hash
}

// itemHash returns the hash of an item's encoding. It panics if the encoding fails,
// which does not happen for the types of this package.
func itemHash(item any) uint64 {
	data, err := cbor.Marshal(item)
	if err != nil {
		panic(err)
	}
	return xxhash.Sum64(data)
}

// hashPair returns the hash of two numbers.
func hashPair(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}
