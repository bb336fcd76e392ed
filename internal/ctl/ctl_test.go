package ctl

import (
	"bytes"
	"context"
	"net/netip"
	"regexp"
	"testing"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform/httpapi"
	"github.com/siskinvane/siskinvane/internal/process/node"
	"github.com/siskinvane/siskinvane/internal/process/placer"
	"github.com/siskinvane/siskinvane/internal/process/run"
	"github.com/siskinvane/siskinvane/internal/process/web"
)

// TestSubmitRetriesOnlyUnavailable checks which errors submit retries. A rejection
// must end the command immediately with the exit code for invalid input; only a retry
// of an unavailable system can succeed.
func TestSubmitRetriesOnlyUnavailable(t *testing.T) {
	cases := []struct {
		status int
		code   string
		exit   int
		once   bool
	}{
		{422, httpapi.CodeInvalid, run.ExitUsage, true},
		{422, httpapi.CodeRefused, run.ExitUsage, true},
		{400, httpapi.CodeBadRequest, run.ExitUsage, true},
		{503, httpapi.CodeUnavailable, run.ExitFailure, false},
	}
	for _, c := range cases {
		t.Run(c.code, func(t *testing.T) {
			s, err := web.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
			must.NoError(t, err)
			calls := 0
			s.POST(placer.PathSubmit, func(_ context.Context, rc *app.RequestContext) {
				calls++
				web.WriteError(rc, c.status, c.code, "the reason")
			})
			s.Start()
			var out bytes.Buffer
			args := []string{"--control", s.Addr().String(), "submit", "--timeout", "300ms", "--template", "t", "job"}
			must.Eq(t, c.exit, Main(args, &out, &out))
			must.NoError(t, s.Stop(context.Background()))
			must.StrContains(t, out.String(), "the reason")
			must.Eq(t, c.once, calls == 1)
		})
	}
}

// TestStatusShowsEvacuations: the counts of workers are shown as unknown by a host that does not own
// the shard.
func TestStatusShowsEvacuations(t *testing.T) {
	for name, c := range map[string]struct {
		status node.Status
		row    string
	}{
		"owner":      {node.Status{Host: "h1", Owner: true, Evacuated: []node.EvacuatedDomain{{Domain: "d1", Workers: 12, Running: 7}}}, `d1\s+12\s+7`},
		"other host": {node.Status{Host: "h2", Evacuated: []node.EvacuatedDomain{{Domain: "d1"}}}, `d1\s+\?\s+\?`},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := web.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
			must.NoError(t, err)
			s.GET(node.PathStatus, func(_ context.Context, rc *app.RequestContext) { web.WriteJSON(rc, c.status) })
			s.Start()
			var out bytes.Buffer
			must.Eq(t, run.ExitOK, Main([]string{"--control", s.Addr().String(), "status", "--scheduler"}, &out, &out))
			must.NoError(t, s.Stop(context.Background()))
			must.RegexMatch(t, regexp.MustCompile(c.row), out.String())
		})
	}
}
