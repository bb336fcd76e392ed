package job

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/siskinvane/siskinvane/internal/platform/store"
)

// PastTerm is what an ownership record tells of an earlier owner. Ages are by how long before
// the record was encoded, at least, something had happened, in the time of any host.
type PastTerm struct {
	Claim uint32 `cbor:"1,keyasint"`
	// ReplacedAge is the age of the record of a later owner in the log.
	ReplacedAge time.Duration `cbor:"2,keyasint,omitempty"`
	// QuorumAge is the age of the quorum that had accepted the owner's token, EndedAge that of
	// its last order. They are zero if there was none or it is not known.
	QuorumAge time.Duration `cbor:"3,keyasint,omitempty"`
	EndedAge  time.Duration `cbor:"4,keyasint,omitempty"`
	// Released and BoundsLeases are as in Ownership.
	Released     bool `cbor:"5,keyasint,omitempty"`
	BoundsLeases bool `cbor:"6,keyasint,omitempty"`
	// SuccessionAge is the age of the time from which on the owner had no quorum, since too many
	// of its workers had accepted the token of the next one. It is zero if that is not known.
	SuccessionAge time.Duration `cbor:"7,keyasint,omitempty"`
}

const (
	// MaxPastTerms limits the earlier owners that a host and a record keep. Leases and orders of
	// an owner have expired long before so many others have followed it.
	MaxPastTerms = 16
	// MaxTermAge limits the ages in a PastTerm. Nothing that an earlier owner has done lasts
	// that long.
	MaxTermAge = time.Minute
)

// OwnershipTerm is the period in which one host has owned the shard. Of owners that only a
// later one's record tells of, Host, Addr, Epoch and Standby are not known.
type OwnershipTerm struct {
	Ownership
	// QuorumAt is a time, by this host's own clock, by which a quorum of the enrolled workers
	// had accepted the owner's fencing token, mostly when this host saw it. It is zero before
	// that, and may be negative.
	QuorumAt time.Duration
	// ReplacedAt is a time, by this host's own clock, by which the record of the next owner was
	// in the log. The record itself may be older. It is zero for the current owner, and may be
	// negative.
	ReplacedAt time.Duration
	// EndedAt is a time, by this host's own clock, by which the owner had sent its last order,
	// or zero.
	EndedAt time.Duration
	// SuccessionAt is a time, by this host's own clock, from which on the owner had no quorum,
	// or zero. Only the next owner's record tells it.
	SuccessionAt time.Duration
}

// ownershipValue is the value of an ownership record.
type ownershipValue struct {
	Ownership
	Past []PastTerm `cbor:"8,keyasint,omitempty"`
}

// OwnershipRecord returns the record of a shard's owner, which also tells the terms of earlier
// ones.
func OwnershipRecord(o Ownership, past []PastTerm) (store.Record, error) {
	return encodeRecord(ownershipKey, ownershipValue{Ownership: o, Past: past})
}

// decodeOwnership returns the owner and the earlier terms that an ownership record holds. Odd
// terms are left out as a whole: then only what the host has seen itself counts.
func decodeOwnership(value []byte) (Ownership, []PastTerm, error) {
	var v struct {
		Ownership
		Past cbor.RawMessage `cbor:"8,keyasint,omitempty"`
	}
	if err := cbor.Unmarshal(value, &v); err != nil {
		return Ownership{}, nil, fmt.Errorf("ownership: %w", err)
	}
	var past []PastTerm
	if len(v.Past) == 0 || cbor.Unmarshal(v.Past, &past) != nil || !plausible(past, v.Claim) {
		return v.Ownership, nil, nil
	}
	return v.Ownership, past, nil
}

// plausible reports whether an owner with the given claim may have written these terms.
func plausible(past []PastTerm, claim uint32) bool {
	if len(past) > MaxPastTerms {
		return false
	}
	earlier, age := uint32(0), MaxTermAge
	for _, p := range past {
		for _, a := range []time.Duration{p.QuorumAge, p.EndedAge, p.SuccessionAge} {
			if a < 0 || a > MaxTermAge {
				return false
			}
		}
		if p.Claim <= earlier || p.Claim >= claim || p.ReplacedAge < 0 || p.ReplacedAge > age {
			return false
		}
		earlier, age = p.Claim, p.ReplacedAge
	}
	return true
}

// addTerms adds what a record that was encoded at the time now or before tells of earlier owners.
// Each time is one by which something had happened, so the earlier of two counts.
func (t *Table) addTerms(past []PastTerm, now time.Duration) {
	for _, p := range past {
		i, known := slices.BinarySearchFunc(t.pastOwners, p.Claim, func(o OwnershipTerm, claim uint32) int { return cmp.Compare(o.Claim, claim) })
		if !known {
			t.pastOwners = slices.Insert(t.pastOwners, i, OwnershipTerm{Ownership: Ownership{Claim: p.Claim}, ReplacedAt: now})
		}
		o := &t.pastOwners[i]
		o.Released, o.BoundsLeases = o.Released || p.Released, o.BoundsLeases || p.BoundsLeases
		o.ReplacedAt = min(o.ReplacedAt, now-p.ReplacedAge)
		o.QuorumAt, o.EndedAt = earlierOf(o.QuorumAt, now, p.QuorumAge), earlierOf(o.EndedAt, now, p.EndedAge)
		o.SuccessionAt = earlierOf(o.SuccessionAt, now, p.SuccessionAge)
	}
	t.limitPastOwners()
}

// earlierOf returns the earlier of the time at, which is zero if there is none, and the age
// before now, unless that is zero.
func earlierOf(at, now, age time.Duration) time.Duration {
	if age == 0 {
		return at
	}
	told := now - age
	if told == 0 {
		told = 1
	}
	if at != 0 && at < told {
		return at
	}
	return told
}

func (t *Table) limitPastOwners() {
	if extra := len(t.pastOwners) - MaxPastTerms; extra > 0 {
		t.pastOwners = slices.Delete(t.pastOwners, 0, extra)
	}
}
