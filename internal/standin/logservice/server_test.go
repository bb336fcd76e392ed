package logservice

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/httpapi"
)

// testServer is a store served over HTTP, with a manually advanced clock.
type testServer struct {
	store  *Store
	now    time.Time
	addr   netip.AddrPort
	client *httpapi.Client
}

func startTestServer(t *testing.T, o Options) *testServer {
	s := &testServer{now: time.Unix(1000, 0)}
	o.Now = func() time.Time { return s.now }
	s.store = NewStoreWith(o)
	server, err := Serve(s.store, netip.MustParseAddrPort("127.0.0.1:0"))
	must.NoError(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Stop(ctx)
	})
	s.addr = server.Addr()
	s.client, err = httpapi.NewClient(0)
	must.NoError(t, err)
	return s
}

func (s *testServer) as(client string) *httpapi.Log {
	return httpapi.NewLog(s.client.As(client), s.addr)
}

// setFaults injects faults over HTTP, as scenarios do.
func (s *testServer) setFaults(t *testing.T, set FaultSet) {
	must.NoError(t, s.client.Call(t.Context(), s.addr, "PUT", PathFaults, set, nil))
}

func nextOffset(t *testing.T, l platform.Log) platform.Offset {
	span, err := l.Span(t.Context(), "s")
	must.NoError(t, err)
	return span.Next
}

func TestRetention(t *testing.T) {
	s := startTestServer(t, Options{Retention: Retention{Entries: 3, Age: time.Minute}})
	l := s.as("a")
	for range 5 {
		_, err := l.Append(t.Context(), "s", []byte("x"))
		must.NoError(t, err)
	}
	_, err := l.Read(t.Context(), "s", 1, 10)
	var expired *platform.OffsetExpiredError
	must.True(t, errors.As(err, &expired))
	must.Eq(t, &platform.OffsetExpiredError{Stream: "s", From: 1, Oldest: 2}, expired)
	entries, err := l.Read(t.Context(), "s", 2, 10)
	must.NoError(t, err)
	must.SliceLen(t, 3, entries)

	s.now = s.now.Add(time.Minute)
	span, err := l.Span(t.Context(), "s")
	must.NoError(t, err)
	must.Eq(t, platform.Span{Oldest: 5, Next: 5}, span)
}

func TestAppendLimit(t *testing.T) {
	s := startTestServer(t, Options{AppendsPerSecond: 2})
	l := s.as("a")
	for range 2 {
		_, err := l.Append(t.Context(), "s", nil)
		must.NoError(t, err)
	}
	_, err := l.Append(t.Context(), "s", nil)
	must.ErrorIs(t, err, platform.ErrLogBusy)
	must.ErrorIs(t, err, platform.ErrLogUnavailable)
	must.Eq(t, 2, nextOffset(t, l))
	s.now = s.now.Add(500 * time.Millisecond)
	_, err = l.Append(t.Context(), "s", nil)
	must.NoError(t, err)
}

func TestFaults(t *testing.T) {
	cases := []struct {
		name    string
		set     FaultSet
		want    error
		not     error
		applied platform.Offset
	}{
		{"down", FaultSet{Down: true}, platform.ErrLogUnavailable, platform.ErrOutcomeUnknown, 0},
		{"answer lost", FaultSet{LoseAnswers: 1}, platform.ErrOutcomeUnknown, platform.ErrLogUnavailable, 1},
		{"cut off", FaultSet{CutOff: []string{"a"}}, platform.ErrOutcomeUnknown, platform.ErrLogUnavailable, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := startTestServer(t, Options{})
			s.setFaults(t, c.set)
			_, err := s.as("a").Append(t.Context(), "s", []byte("x"))
			must.ErrorIs(t, err, c.want)
			must.False(t, errors.Is(err, c.not))
			s.setFaults(t, FaultSet{})
			must.Eq(t, c.applied, nextOffset(t, s.as("a")))
		})
	}
}

func TestCutOffAffectsOneClient(t *testing.T) {
	s := startTestServer(t, Options{})
	s.setFaults(t, FaultSet{CutOff: []string{"a"}})
	_, err := s.as("a").Read(t.Context(), "s", 0, 1)
	must.ErrorIs(t, err, platform.ErrOutcomeUnknown)
	_, err = s.as("b").Append(t.Context(), "s", nil)
	must.NoError(t, err)
}

func TestDuplicateRead(t *testing.T) {
	s := startTestServer(t, Options{})
	l := s.as("a")
	_, err := l.Append(t.Context(), "s", []byte("x"))
	must.NoError(t, err)
	s.setFaults(t, FaultSet{DuplicateReads: 1})
	for _, want := range []int{2, 1} {
		entries, err := l.Read(t.Context(), "s", 0, 10)
		must.NoError(t, err)
		must.SliceLen(t, want, entries)
	}
}

func TestDelay(t *testing.T) {
	var slept time.Duration
	s := startTestServer(t, Options{Sleep: func(_ context.Context, d time.Duration) error { slept += d; return nil }})
	s.setFaults(t, FaultSet{DelayMillis: 700})
	must.Eq(t, 0, nextOffset(t, s.as("a")))
	must.Eq(t, 700*time.Millisecond, slept)
}

// TestRefusedConnection checks that a refused connection is reported as a call
// without effect, not as an unknown outcome.
func TestRefusedConnection(t *testing.T) {
	s := startTestServer(t, Options{})
	unreachable := httpapi.NewLog(s.client, netip.MustParseAddrPort("127.0.0.1:1"))
	_, err := unreachable.Append(t.Context(), "s", nil)
	must.ErrorIs(t, err, platform.ErrLogUnavailable)
	must.False(t, errors.Is(err, platform.ErrOutcomeUnknown))
}
