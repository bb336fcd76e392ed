package httpapi

import (
	"context"
	"net/netip"
	"sync"

	"github.com/siskinvane/siskinvane/internal/platform"
)

// PathHosts is the path of the host list.
const PathHosts = "/v1/hosts"

// HostsReply is the response to a request for the host list.
type HostsReply struct {
	Hosts []platform.Host `json:"hosts"`
}

// HostList is a client of the host list at one address. It fetches the list only
// if it has changed since the last response. It is safe for concurrent use.
type HostList struct {
	client *Client
	addr   netip.AddrPort

	mu        sync.Mutex
	entityTag string
	hosts     []platform.Host
}

// NewHostList returns a client of the host list at addr.
func NewHostList(c *Client, addr netip.AddrPort) *HostList {
	return &HostList{client: c, addr: addr}
}

// Hosts implements platform.HostList. The result must not be modified.
func (h *HostList) Hosts(ctx context.Context) ([]platform.Host, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var reply HostsReply
	tag, changed, err := h.client.FetchIfChanged(ctx, h.addr, PathHosts, h.entityTag, &reply)
	if err != nil {
		return nil, platform.WrapCall("host list", h.addr.String(), err)
	}
	if changed {
		h.entityTag, h.hosts = tag, reply.Hosts
	}
	return h.hosts, nil
}
