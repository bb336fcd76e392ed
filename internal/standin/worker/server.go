package worker

import (
	"context"
	"net/netip"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/httpapi"
	"github.com/siskinvane/siskinvane/internal/process/telemetry"
	"github.com/siskinvane/siskinvane/internal/process/web"
	"go.opentelemetry.io/otel/trace"
)

// Headers that the simulated endpoints set in each answer.
const (
	HeaderTask   = "Siskin-Task"
	HeaderWorker = "Siskin-Worker"
)

// Paths of the interface for fault injection and inspection.
const (
	// PathFaults replaces the injected faults, given as JSON.
	PathFaults  = "/admin/faults"
	PathKill    = "/admin/kill"
	PathRestart = "/admin/restart"
	PathPause   = "/admin/pause"
	PathResume  = "/admin/resume"
	PathLeave   = "/admin/leave"
	// PathRuns returns a list of Run: first the ended runs, then the active ones.
	PathRuns = "/admin/runs"
	// PathExecutions returns how often each request was executed by the worker's
	// endpoints.
	PathExecutions = "/admin/executions"
)

// Serve starts an HTTP server on addr for the control interface of w and for
// fault injection.
func Serve(w *Worker, addr netip.AddrPort) (*web.Server, error) {
	s, err := web.Listen(addr)
	if err != nil {
		return nil, err
	}
	s.GET(httpapi.PathReport, func(ctx context.Context, c *app.RequestContext) {
		reply, err := w.From(callerHost(c)).Report(ctx)
		writeReply(c, reply, err)
	})
	s.POST(httpapi.PathStart, handleCall(w, platform.Worker.Start))
	s.POST(httpapi.PathRenew, handleCall(w, platform.Worker.Renew))
	s.POST(httpapi.PathStop, handleCall(w, platform.Worker.Stop))
	s.POST(httpapi.PathThrottle, handleCall(w, platform.Worker.Throttle))
	serveAdmin(s, w)
	s.Start()
	return s, nil
}

func serveAdmin(s *web.Server, w *Worker) {
	s.POST(PathFaults, func(_ context.Context, c *app.RequestContext) {
		var script FaultScript
		if web.ReadJSON(c, &script) {
			w.Faults.Set(script)
			web.WriteJSON(c, script)
		}
	})
	for path, act := range map[string]func(){
		PathKill: w.Kill, PathRestart: w.Restart, PathPause: w.Pause, PathResume: w.Resume,
		PathLeave: func() { w.SetLeaving(true) },
	} {
		s.POST(path, func(_ context.Context, c *app.RequestContext) {
			act()
			web.WriteJSON(c, struct{}{})
		})
	}
	s.GET(PathExecutions, func(_ context.Context, c *app.RequestContext) {
		web.WriteJSON(c, w.Executions.Counts())
	})
	s.GET(PathRuns, func(_ context.Context, c *app.RequestContext) {
		ended, _ := w.EndedRuns(0)
		web.WriteJSON(c, append(ended, w.ActiveRuns()...))
	})
}

// callerHost returns the host that a request names as its sender.
func callerHost(c *app.RequestContext) platform.HostID {
	return platform.HostID(c.GetHeader(httpapi.HeaderClient))
}

func handleCall[Req, Reply any](w *Worker, f func(platform.Worker, context.Context, Req) (Reply, error)) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		var req Req
		if !web.ReadJSON(c, &req) {
			return
		}
		reply, err := f(w.From(callerHost(c)), ctx, req)
		writeReply(c, reply, err)
	}
}

// writeReply writes a reply. On an error it closes the connection without a reply,
// as an injected fault requires.
func writeReply(c *app.RequestContext, reply any, err error) {
	if err != nil {
		c.GetConn().Close()
		return
	}
	web.WriteJSON(c, reply)
}

// OpenEndpoint returns a function for Config.OpenEndpoint. That function starts a
// small HTTP service on a free port of ip. Each answer names its task and worker
// and is recorded as a span of tracing, which may be nil. count is called with the
// identifier of each executed request.
func OpenEndpoint(id platform.WorkerID, ip netip.Addr, tracing *telemetry.Tracing, count func(request string)) func(platform.StartRequest) (netip.AddrPort, func(), error) {
	return func(r platform.StartRequest) (netip.AddrPort, func(), error) {
		s, err := web.Listen(netip.AddrPortFrom(ip, 0))
		if err != nil {
			return netip.AddrPort{}, nil, err
		}
		s.NoRoute(func(ctx context.Context, c *app.RequestContext) {
			_, span := tracing.Tracer().Start(telemetry.Extract(ctx, &c.Request.Header), "answer", trace.WithSpanKind(trace.SpanKindServer))
			defer span.End()
			count(c.Request.Header.Get(HeaderRequest))
			c.Header(HeaderTask, string(r.Task))
			c.Header(HeaderWorker, string(id))
			c.Data(200, "text/plain", append([]byte(string(r.Service)+" "), c.Request.Body()...))
		})
		s.Start()
		closer := func() {
			go s.Stop(context.Background()) //nolint:errcheck // the endpoint is unreachable either way
		}
		return s.Addr(), closer, nil
	}
}
