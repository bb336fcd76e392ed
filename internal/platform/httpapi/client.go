// Package httpapi has the HTTP clients of the platform's services and the
// messages that they share with the fakes in internal/standin. Bodies are JSON.
package httpapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/siskinvane/siskinvane/internal/connection/httpcall"
	"github.com/siskinvane/siskinvane/internal/platform"
)

const defaultCallTimeout = 3 * time.Second

// StatusError is an error response of a service.
type StatusError struct {
	Status int `json:"-"`
	// Code identifies the error for programs; Message describes it to people.
	Code    string `json:"code"`
	Message string `json:"message"`
	// Oldest is set with code "offset_expired".
	Oldest platform.Offset `json:"oldest,omitempty"`
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d, %s: %s", e.Status, e.Code, e.Message)
}

// Codes of error responses.
const (
	CodeUnavailable = "unavailable"
	CodeBusy        = "busy"
	// CodeOutcomeUnknown: the call may have taken effect, or may still do so.
	CodeOutcomeUnknown = "outcome_unknown"
	CodeOffsetExpired  = "offset_expired"
	CodeBadRequest     = "bad_request"
	CodeTooLarge       = "too_large"
	CodeRefused        = "refused"
	CodeNotFound       = "not_found"
	CodeStale          = "stale"
	CodeInvalid        = "invalid"
)

// HeaderClient is the header with the name of the calling host.
const HeaderClient = "Siskin-Client"

// ErrNotSent reports that no byte of a call left this host, so that the service
// cannot have acted on it.
var ErrNotSent = httpcall.ErrNotSent

// Client makes JSON calls to any address over one connection pool.
type Client struct {
	transport  *httpcall.Client
	timeout    time.Duration
	clientName string
}

// NewClient returns a client whose calls have the given timeout; zero means three
// seconds.
func NewClient(timeout time.Duration) (*Client, error) {
	if timeout == 0 {
		timeout = defaultCallTimeout
	}
	c, err := httpcall.New()
	if err != nil {
		return nil, err
	}
	return &Client{transport: c, timeout: timeout}, nil
}

// As returns a copy of c that shares its connections and sends name in the header
// HeaderClient of each call.
func (c *Client) As(name string) *Client {
	return &Client{transport: c.transport, timeout: c.timeout, clientName: name}
}

// Call sends in as JSON and decodes the response into out; either may be nil. A
// *StatusError is the service's own error response. An error that matches
// ErrNotSent means that the call did not leave this host. Any other error matches
// platform.ErrOutcomeUnknown, because the request may have been handled. The call
// ends after c's timeout or at ctx's deadline, whichever comes first.
func (c *Client) Call(ctx context.Context, addr netip.AddrPort, method, path string, in, out any) error {
	request, err := c.newRequest(addr, method, path, in)
	if err != nil {
		return err
	}
	return c.do(ctx, request, func(response httpcall.Answer) error {
		return decodeResponse(response, out)
	})
}

// FetchIfChanged decodes the document at path into out unless it still has the
// entity tag. It returns the document's tag and whether out was set. From a
// service that sends no tags it reads the document each time.
func (c *Client) FetchIfChanged(ctx context.Context, addr netip.AddrPort, path, tag string, out any) (string, bool, error) {
	request, err := c.newRequest(addr, "GET", path, nil)
	if err != nil {
		return "", false, err
	}
	if tag != "" {
		request.Headers = append(request.Headers, httpcall.Header{Name: "If-None-Match", Value: tag})
	}
	newTag, changed := tag, false
	err = c.do(ctx, request, func(response httpcall.Answer) error {
		if response.Status == statusNotModified {
			return nil
		}
		newTag, changed = response.Header("ETag"), true
		return decodeResponse(response, out)
	})
	if err != nil {
		return "", false, err
	}
	return newTag, changed, nil
}

const statusNotModified = 304

// newRequest returns a request with in as its JSON body, or without a body if in
// is nil.
func (c *Client) newRequest(addr netip.AddrPort, method, path string, in any) (httpcall.Request, error) {
	r := httpcall.Request{Addr: addr, Method: method, Path: path, Timeout: c.timeout}
	if c.clientName != "" {
		r.Headers = []httpcall.Header{{Name: HeaderClient, Value: c.clientName}}
	}
	if in == nil {
		return r, nil
	}
	body, err := json.Marshal(in)
	if err != nil {
		return r, fmt.Errorf("encode request: %w", err)
	}
	r.ContentType, r.Body = "application/json", body
	return r, nil
}

// do makes one call and passes the response to handle.
func (c *Client) do(ctx context.Context, r httpcall.Request, handle func(httpcall.Answer) error) error {
	r.Fresh = platform.WantsNewConnection(ctx)
	err := c.transport.Do(ctx, r, handle)
	if errors.Is(err, httpcall.ErrNoAnswer) {
		return fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, err)
	}
	return err
}

func decodeResponse(response httpcall.Answer, out any) error {
	if response.Status >= 300 {
		e := &StatusError{Status: response.Status}
		if err := json.Unmarshal(response.Body, e); err != nil {
			e.Message = string(response.Body)
		}
		return e
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(response.Body, out); err != nil {
		return fmt.Errorf("%w: decode answer: %w", platform.ErrOutcomeUnknown, err)
	}
	return nil
}

// errorCode returns the code of the *StatusError in err's chain, or "".
func errorCode(err error) string {
	var e *StatusError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}
