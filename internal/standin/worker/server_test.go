package worker

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/httpapi"
)

// TestFaultsOverHTTP injects faults over HTTP, as scenarios do: a lost reply, an
// unreachable host, a restart and a kill.
func TestFaultsOverHTTP(t *testing.T) {
	w, _ := newWorker(nil)
	server, err := Serve(w, netip.MustParseAddrPort("127.0.0.1:0"))
	must.NoError(t, err)
	defer server.Stop(t.Context()) //nolint:errcheck // the test is over
	client, err := httpapi.NewClient(time.Second)
	must.NoError(t, err)
	admin := func(path string, in any) {
		must.NoError(t, client.Call(t.Context(), server.Addr(), "POST", path, in, nil))
	}
	dial := func(host string) platform.Worker {
		return httpapi.NewWorkerDialer(client.As(host)).Dial("w", server.Addr())
	}

	admin(PathFaults, FaultScript{LoseAnswers: 1, UnreachableFrom: []platform.HostID{"b"}})
	_, err = dial("a").Start(t.Context(), startOf("j", 1))
	must.ErrorIs(t, err, platform.ErrOutcomeUnknown)
	_, err = dial("b").Report(t.Context())
	must.ErrorIs(t, err, platform.ErrOutcomeUnknown)
	report, err := dial("a").Report(t.Context())
	must.NoError(t, err)
	must.Len(t, 1, report.Tasks)

	admin(PathRestart, nil)
	report, err = dial("a").Report(t.Context())
	must.NoError(t, err)
	must.SliceEmpty(t, report.Tasks)
	must.Eq(t, "w-2", report.Boot)

	var runs []Run
	must.NoError(t, client.Call(t.Context(), server.Addr(), "GET", PathRuns, nil, &runs))
	must.Len(t, 1, runs)
	admin(PathKill, nil)
	_, err = dial("a").Report(t.Context())
	must.ErrorIs(t, err, platform.ErrOutcomeUnknown)
}
