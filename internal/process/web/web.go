// Package web provides the HTTP server that all programs share and helpers to read and
// write JSON bodies.
package web

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/siskinvane/siskinvane/internal/platform/httpapi"
)

const (
	maxBodyBytes    = 64 << 20
	shutdownTimeout = 5 * time.Second
)

func init() { hlog.SetOutput(io.Discard) }

// Server is an HTTP server on one address.
type Server struct {
	*server.Hertz
	addr     netip.AddrPort
	result   chan error
	listener *trackingListener
	inFlight atomic.Int64
}

// Listen opens addr (IP:port; port 0 picks a free port) and returns a server. Routes have
// to be added before Start.
func Listen(addr netip.AddrPort, extra ...config.Option) (*Server, error) {
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	return newServer(ln, nil, extra...), nil
}

// newServer returns a server on ln. A nil guard protects it from nothing.
func newServer(ln net.Listener, guard *Guard, extra ...config.Option) *Server {
	tracking := newTrackingListener(ln, guard)
	options := []config.Option{
		server.WithListener(tracking),
		server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true),
		server.WithMaxRequestBodySize(maxBodyBytes),
		server.WithExitWaitTime(shutdownTimeout),
	}
	h := server.New(append(options, extra...)...)
	bound := ln.Addr().(*net.TCPAddr).AddrPort()
	s := &Server{Hertz: h, addr: bound, result: make(chan error, 1), listener: tracking}
	h.Use(s.countRequest)
	return s
}

// countRequest counts the requests in progress.
func (s *Server) countRequest(ctx context.Context, c *app.RequestContext) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	c.Next(ctx)
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() netip.AddrPort { return s.addr }

// Start serves requests in the background.
func (s *Server) Start() {
	go func() { s.result <- s.Run() }()
}

// idleCheckInterval is the time between two checks of a stopping server for idle
// connections.
const idleCheckInterval = 5 * time.Millisecond

// Stop shuts the server down. Requests in progress may finish until ctx is done; idle
// connections are closed.
func (s *Server) Stop(ctx context.Context) error {
	stopping, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.closeIdleConnections(stopping)
	if err := s.Shutdown(ctx); err != nil {
		return fmt.Errorf("stop server on %s: %w", s.addr, err)
	}
	return nil
}

// closeIdleConnections closes idle connections whenever no request is in progress, until
// ctx is done.
func (s *Server) closeIdleConnections(ctx context.Context) {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if s.inFlight.Load() == 0 {
				s.listener.closeIdle()
			}
		}
	}
}

// ReadJSON decodes the request's body into v. On failure it answers with status 400 and
// returns false.
func ReadJSON(c *app.RequestContext, v any) bool {
	if err := json.Unmarshal(c.Request.Body(), v); err != nil {
		WriteError(c, 400, httpapi.CodeBadRequest, "body: "+err.Error())
		return false
	}
	return true
}

// WriteJSON answers with status 200 and v.
func WriteJSON(c *app.RequestContext, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		WriteError(c, 500, httpapi.CodeInvalid, err.Error())
		return
	}
	c.Data(200, "application/json", body)
}

// WriteError answers with an error that clients decode as *httpapi.StatusError.
func WriteError(c *app.RequestContext, status int, code, message string) {
	WriteStatus(c, &httpapi.StatusError{Status: status, Code: code, Message: message})
}

// WriteStatus answers with e and its status.
func WriteStatus(c *app.RequestContext, e *httpapi.StatusError) {
	body, err := json.Marshal(e)
	if err != nil {
		c.SetStatusCode(500)
		return
	}
	c.Data(e.Status, "application/json", body)
}
