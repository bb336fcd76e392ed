package job

import "math/bits"

// BitSet is a set of non-negative numbers. Its size depends on the numbers beyond those that
// are in the set without a gap from 0 on, so the past of a schedule takes no space.
type BitSet struct {
	// Below is a multiple of 8. All numbers below it are in the set.
	Below int
	// Bits holds a bit for each number from Below on.
	Bits []byte
}

const bitsPerByte = 8

// Has reports whether n is in the set.
func (s BitSet) Has(n int) bool {
	i := (n - s.Below) / bitsPerByte
	return n < s.Below || i < len(s.Bits) && s.Bits[i]&(1<<(n%bitsPerByte)) != 0
}

// Len returns the number of members.
func (s BitSet) Len() int {
	n := s.Below
	for _, b := range s.Bits {
		n += bits.OnesCount8(b)
	}
	return n
}

// Add adds n to the set. It must not run concurrently with other methods.
func (s *BitSet) Add(n int) {
	if n < s.Below {
		return
	}
	i := (n - s.Below) / bitsPerByte
	if missing := i + 1 - len(s.Bits); missing > 0 {
		s.Bits = append(s.Bits, make([]byte, missing)...)
	}
	s.Bits[i] |= 1 << (n % bitsPerByte)
	s.shorten()
}

// shorten moves Below up to the first number that is not in the set, as far as bytes are full.
func (s *BitSet) shorten() {
	for len(s.Bits) > 0 && s.Bits[0] == 0xff {
		s.Bits, s.Below = s.Bits[1:], s.Below+bitsPerByte
	}
}

// Clone returns a copy that shares no memory with s.
func (s BitSet) Clone() BitSet {
	return BitSet{Below: s.Below, Bits: append([]byte(nil), s.Bits...)}
}
