package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(0, 0)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

// newQuota returns books with room for the given connections and for as many bytes beside
// them, and open idle connections.
func newQuota(t *testing.T, connections, requestBytes, open int) (*Quota, []*Connection) {
	t.Helper()
	q := New(Limits{Connections: connections, Bytes: connections*ConnectionBytes + requestBytes})
	all := make([]*Connection, open)
	for i := range all {
		all[i] = &Connection{}
		turnedAway, ok := q.Open(all[i], at(i))
		must.True(t, ok)
		must.SliceEmpty(t, turnedAway)
	}
	return q, all
}

// TestLongestWaitMakesRoom: clients that open connections without end shut nobody out. A
// request that is handled is kept.
func TestLongestWaitMakesRoom(t *testing.T) {
	q, all := newQuota(t, 4, 0, 4)
	q.Handle(all[0], 0, at(10))
	q.Receive(all[1], 0, at(11))
	turnedAway, ok := q.Open(&Connection{}, at(12))
	must.True(t, ok)
	must.SliceLen(t, 1, turnedAway)
	must.True(t, turnedAway[0] == all[2])
	_, ok = q.Receive(all[2], 0, at(13))
	must.False(t, ok)
}

// TestUnfinishedRequestsDoNotShutOthersOut: connections that all stop short of their end
// give way to new ones, the one that began first before the others.
func TestUnfinishedRequestsDoNotShutOthersOut(t *testing.T) {
	q, all := newQuota(t, 3, 1000, 3)
	for i, c := range all {
		_, ok := q.Receive(c, 300, at(20-i))
		must.True(t, ok)
	}
	turnedAway, ok := q.Open(&Connection{}, at(30))
	must.True(t, ok)
	must.SliceLen(t, 1, turnedAway)
	must.True(t, turnedAway[0] == all[2])
}

// TestLargestRequestMakesRoom: a small request finds room beside large ones that do not end.
func TestLargestRequestMakesRoom(t *testing.T) {
	const large = 500_000
	q, all := newQuota(t, 10, 3*large+50_000, 5)
	for _, c := range all[:3] {
		_, ok := q.Receive(c, large, at(10))
		must.True(t, ok)
	}
	turnedAway, ok := q.Receive(all[3], 200_000, at(20))
	must.True(t, ok)
	must.SliceEmpty(t, turnedAway)
	turnedAway, ok = q.Receive(all[4], 200_000, at(20))
	must.True(t, ok)
	must.SliceLen(t, 1, turnedAway)
	must.SliceContainsFunc(t, all[:3], turnedAway[0], func(a, b *Connection) bool { return a == b })
}

// TestLargeRequestIsRefused: it takes idle connections, but neither smaller requests nor
// those that are handled, which may have run. If that is not enough nobody is turned away.
func TestLargeRequestIsRefused(t *testing.T) {
	q, all := newQuota(t, 4, 0, 4)
	q.Handle(all[0], 0, at(10))
	q.Receive(all[1], 0, at(10))
	connections, bytes := q.Usage()
	turnedAway, ok := q.Receive(all[2], 2*ConnectionBytes, at(11))
	must.False(t, ok)
	must.SliceEmpty(t, turnedAway)
	nowConnections, nowBytes := q.Usage()
	must.Eq(t, connections, nowConnections)
	must.Eq(t, bytes, nowBytes)
	turnedAway, ok = q.Receive(all[2], ConnectionBytes, at(11))
	must.True(t, ok)
	must.SliceLen(t, 1, turnedAway)
	must.True(t, turnedAway[0] == all[3])
}

// TestNewConnectionKeepsItsRoom: a request that began before it does not displace it, however
// much it grows.
func TestNewConnectionKeepsItsRoom(t *testing.T) {
	q, all := newQuota(t, 2, 0, 2)
	_, ok := q.Receive(all[0], 0, at(0))
	must.True(t, ok)
	turnedAway, ok := q.Receive(all[0], 1000, at(2))
	must.False(t, ok)
	must.SliceEmpty(t, turnedAway)
}

// TestNothingIsLeftInBooks follows connections through their requests to their end.
func TestNothingIsLeftInBooks(t *testing.T) {
	q, all := newQuota(t, 4, 10_000, 4)
	for _, c := range all {
		q.Receive(c, 2000, at(10))
		q.Handle(c, 3000, at(11))
		q.Rest(c, at(12))
	}
	_, bytes := q.Usage()
	must.Eq(t, 4*ConnectionBytes, bytes)
	turnedAway, _ := q.Open(&Connection{}, at(13))
	q.Rest(turnedAway[0], at(14))
	for _, c := range append(all, turnedAway...) {
		q.Remove(c)
	}
	connections, bytes := q.Usage()
	must.Eq(t, 1, connections)
	must.Eq(t, ConnectionBytes, bytes)
}
