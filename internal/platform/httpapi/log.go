package httpapi

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"net/url"

	"github.com/siskinvane/siskinvane/internal/platform"
)

// Paths of the log service.
const (
	PathAppend = "/v1/append"
	PathRead   = "/v1/read"
	PathSpan   = "/v1/span"
)

// AppendRequest is the body of an append.
type AppendRequest struct {
	Stream string `json:"stream"`
	Data   []byte `json:"data"`
}

// AppendReply is the response to an append.
type AppendReply struct {
	Offset platform.Offset `json:"offset"`
}

// ReadReply is the response to a read.
type ReadReply struct {
	Entries []platform.Entry `json:"entries"`
}

// Log is a client of the log service at one address.
type Log struct {
	client *Client
	addr   netip.AddrPort
}

// NewLog returns a client of the log at addr.
func NewLog(c *Client, addr netip.AddrPort) *Log { return &Log{client: c, addr: addr} }

// Append implements platform.Log.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (platform.Offset, error) {
	var reply AppendReply
	err := l.client.Call(ctx, l.addr, "POST", PathAppend, AppendRequest{Stream: stream, Data: data}, &reply)
	return reply.Offset, l.classify("log append", err)
}

// Read implements platform.Log.
func (l *Log) Read(ctx context.Context, stream string, from platform.Offset, limit int) ([]platform.Entry, error) {
	var reply ReadReply
	path := fmt.Sprintf("%s?stream=%s&from=%d&limit=%d", PathRead, url.QueryEscape(stream), from, limit)
	err := l.client.Call(ctx, l.addr, "GET", path, nil, &reply)
	var status *StatusError
	if errors.As(err, &status) && status.Code == CodeOffsetExpired {
		err = &platform.OffsetExpiredError{Stream: stream, From: from, Oldest: status.Oldest}
	}
	return reply.Entries, l.classify("log read", err)
}

// Span implements platform.Log.
func (l *Log) Span(ctx context.Context, stream string) (platform.Span, error) {
	var span platform.Span
	err := l.client.Call(ctx, l.addr, "GET", PathSpan+"?stream="+url.QueryEscape(stream), nil, &span)
	return span, l.classify("log span", err)
}

// classify adds the kind, step and peer to an error. Errors that the log reports
// as unavailable or busy and calls that were not sent match
// platform.ErrLogUnavailable. Errors for an expired offset or a bad request stay
// as they are, and all others match platform.ErrOutcomeUnknown.
func (l *Log) classify(step string, err error) error {
	var expired *platform.OffsetExpiredError
	switch code := errorCode(err); {
	case err == nil, errors.As(err, &expired):
	case code == CodeBusy:
		err = fmt.Errorf("%w: %w", platform.ErrLogBusy, err)
	case code == CodeUnavailable, errors.Is(err, ErrNotSent):
		err = fmt.Errorf("%w: %w", platform.ErrLogUnavailable, err)
	case code == CodeBadRequest:
	case !errors.Is(err, platform.ErrOutcomeUnknown):
		err = fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, err)
	}
	return platform.WrapCall(step, l.addr.String(), err)
}
