// Package hostlist is an in-memory implementation of the platform's host list for
// tests and trials.
package hostlist

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/httpapi"
	"github.com/siskinvane/siskinvane/internal/process/web"
)

// List is an in-memory host list. It implements platform.HostList and is safe for
// concurrent use.
type List struct {
	mu    sync.Mutex
	hosts []platform.Host
}

// Set adds h or replaces the host with the same identifier.
func (l *List) Set(h platform.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.hosts {
		if l.hosts[i].ID == h.ID {
			l.hosts[i] = h
			return
		}
	}
	l.hosts = append(l.hosts, h)
}

// Remove deletes the host with the given identifier.
func (l *List) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.hosts {
		if l.hosts[i].ID == id {
			l.hosts = append(l.hosts[:i], l.hosts[i+1:]...)
			return
		}
	}
}

// Hosts implements platform.HostList.
func (l *List) Hosts(context.Context) ([]platform.Host, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]platform.Host(nil), l.hosts...), nil
}

// Serve starts an HTTP server for the list on addr. Each answer carries an ETag, and
// a request whose If-None-Match equals the current one gets status 304.
func Serve(l *List, addr netip.AddrPort) (*web.Server, error) {
	w, err := web.Listen(addr)
	if err != nil {
		return nil, err
	}
	w.GET(httpapi.PathHosts, func(ctx context.Context, c *app.RequestContext) {
		hosts, err := l.Hosts(ctx)
		if err != nil {
			web.WriteError(c, 503, httpapi.CodeUnavailable, err.Error())
			return
		}
		writeHosts(c, hosts)
	})
	w.Start()
	return w, nil
}

func writeHosts(c *app.RequestContext, hosts []platform.Host) {
	body, err := json.Marshal(httpapi.HostsReply{Hosts: hosts})
	if err != nil {
		web.WriteError(c, 500, httpapi.CodeInvalid, err.Error())
		return
	}
	tag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(body), 16))
	c.Header("ETag", tag)
	if string(c.GetHeader("If-None-Match")) == tag {
		c.SetStatusCode(304)
		return
	}
	c.Data(200, "application/json", body)
}
