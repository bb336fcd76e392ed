package logservice

import (
	"context"
	"errors"
	"net/netip"
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/httpapi"
	"github.com/siskinvane/siskinvane/internal/process/web"
)

// PathFaults is the path at which the injected faults are read (GET) and replaced
// (PUT) as a FaultSet. The platform's log does not have it.
const PathFaults = "/admin/faults"

// Server serves a Store over HTTP.
type Server struct {
	*web.Server
	store *Store
}

// Serve starts an HTTP server for store on addr.
func Serve(store *Store, addr netip.AddrPort) (*Server, error) {
	w, err := web.Listen(addr)
	if err != nil {
		return nil, err
	}
	s := &Server{Server: w, store: store}
	w.POST(httpapi.PathAppend, s.handleAppend)
	w.GET(httpapi.PathRead, s.handleRead)
	w.GET(httpapi.PathSpan, s.handleSpan)
	w.GET(PathFaults, s.handleFaults)
	w.PUT(PathFaults, s.handleSetFaults)
	w.Start()
	return s, nil
}

func (s *Server) clientLog(c *app.RequestContext) platform.Log {
	return s.store.As(string(c.GetHeader(httpapi.HeaderClient)))
}

func (s *Server) handleAppend(ctx context.Context, c *app.RequestContext) {
	var req httpapi.AppendRequest
	if !web.ReadJSON(c, &req) {
		return
	}
	offset, err := s.clientLog(c).Append(ctx, req.Stream, req.Data)
	if err != nil {
		writeLogError(c, err)
		return
	}
	web.WriteJSON(c, httpapi.AppendReply{Offset: offset})
}

func (s *Server) handleRead(ctx context.Context, c *app.RequestContext) {
	from, err := strconv.ParseUint(c.Query("from"), 10, 64)
	if err != nil {
		web.WriteError(c, 400, httpapi.CodeBadRequest, "from: not an offset")
		return
	}
	limit, err := strconv.Atoi(c.Query("limit"))
	if err != nil || limit < 1 {
		web.WriteError(c, 400, httpapi.CodeBadRequest, "limit: not a positive number")
		return
	}
	entries, err := s.clientLog(c).Read(ctx, c.Query("stream"), platform.Offset(from), limit)
	if err != nil {
		writeLogError(c, err)
		return
	}
	web.WriteJSON(c, httpapi.ReadReply{Entries: entries})
}

func (s *Server) handleSpan(ctx context.Context, c *app.RequestContext) {
	span, err := s.clientLog(c).Span(ctx, c.Query("stream"))
	if err != nil {
		writeLogError(c, err)
		return
	}
	web.WriteJSON(c, span)
}

func (s *Server) handleFaults(_ context.Context, c *app.RequestContext) {
	web.WriteJSON(c, s.store.Faults().Get())
}

func (s *Server) handleSetFaults(_ context.Context, c *app.RequestContext) {
	var set FaultSet
	if !web.ReadJSON(c, &set) {
		return
	}
	s.store.Faults().Set(set)
	web.WriteJSON(c, set)
}

// writeLogError answers with the status and code of an error. If the outcome of the
// call is unknown, it closes the connection without an answer.
func writeLogError(c *app.RequestContext, err error) {
	var expired *platform.OffsetExpiredError
	switch {
	case errors.As(err, &expired):
		web.WriteStatus(c, &httpapi.StatusError{
			Status: 410, Code: httpapi.CodeOffsetExpired, Message: err.Error(), Oldest: expired.Oldest,
		})
	case errors.Is(err, platform.ErrLogBusy):
		web.WriteError(c, 429, httpapi.CodeBusy, err.Error())
	case errors.Is(err, platform.ErrLogUnavailable):
		web.WriteError(c, 503, httpapi.CodeUnavailable, err.Error())
	default:
		c.GetConn().Close()
	}
}
