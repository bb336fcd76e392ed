package logservice

import (
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
)

// Retention limits what a stream keeps. Zero fields set no limit.
type Retention struct {
	// Entries is the number of latest entries kept.
	Entries int
	// Age is how long an entry is kept.
	Age time.Duration
}

// stream holds the retained entries of one stream. Store.mu guards it.
type stream struct {
	oldest  platform.Offset
	entries []entry
}

type entry struct {
	data []byte
	at   time.Time
}

func (st *stream) next() platform.Offset {
	return st.oldest + platform.Offset(len(st.entries))
}

func (st *stream) append(data []byte, at time.Time) platform.Offset {
	st.entries = append(st.entries, entry{data: append([]byte(nil), data...), at: at})
	return st.next() - 1
}

// expire drops the entries that are beyond the limits of r at now.
func (st *stream) expire(r Retention, now time.Time) {
	n := 0
	if r.Entries > 0 && len(st.entries) > r.Entries {
		n = len(st.entries) - r.Entries
	}
	for r.Age > 0 && n < len(st.entries) && now.Sub(st.entries[n].at) >= r.Age {
		n++
	}
	st.drop(n)
}

func (st *stream) drop(n int) {
	st.oldest += platform.Offset(n)
	st.entries = st.entries[n:]
}

// read returns entries from offset from on. It stops once there are limit of them;
// with duplicate, each is returned twice and counts twice.
func (st *stream) read(from platform.Offset, limit int, duplicate bool) []platform.Entry {
	var out []platform.Entry
	for at := from; at < st.next() && len(out) < limit; at++ {
		e := platform.Entry{Offset: at, Data: st.entries[at-st.oldest].data}
		out = append(out, e)
		if duplicate {
			out = append(out, e)
		}
	}
	return out
}
