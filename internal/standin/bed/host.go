package bed

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"sync/atomic"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/entry"
	"github.com/siskinvane/siskinvane/internal/process/placer"
	"github.com/siskinvane/siskinvane/internal/process/settings"
)

// startHost prepares the settings of host i, adds it to the host list and starts it.
func (b *Bed) startHost(i int) error {
	id := platform.HostID(fmt.Sprintf("entry-%d", i))
	h, err := b.hostSettings(id, b.config.Domains[i%len(b.config.Domains)])
	if err != nil {
		return err
	}
	if i == 0 && b.config.ControlPort != 0 {
		h.Control = netip.AddrPortFrom(loopback, b.config.ControlPort)
	}
	if i == 0 && b.config.EntryPort != 0 {
		h.Entry = netip.AddrPortFrom(loopback, b.config.EntryPort)
	}
	_, err = b.addHost(h, true)
	return err
}

// AddHost adds one more entry host to the host list and starts it.
func (b *Bed) AddHost(id platform.HostID, domain platform.FailureDomain) (*Host, error) {
	h, err := b.hostSettings(id, domain)
	if err != nil {
		return nil, err
	}
	return b.addHost(h, false)
}

// addHost adds a host to the host list and starts it. fresh is set for a host that
// starts with the system, so that no request was made before its start.
func (b *Bed) addHost(h settings.Host, fresh bool) (*Host, error) {
	host := &Host{Settings: h}
	b.Hosts = append(b.Hosts, host)
	b.HostList.Set(platform.Host{
		ID: string(h.ID), Role: platform.RoleEntry, State: platform.HostLive,
		Addr: h.Peer, Domain: h.Domain, Region: h.Region,
	})
	if b.config.PlatformOnly {
		return host, nil
	}
	var err error
	if host.Placer, err = placer.StartOverHTTP(h, b.config.Logger, b.tracing("siskin-placer", h.ID)); err != nil {
		return nil, err
	}
	host.Entry, err = entry.Start(entry.Config{
		Host: h, Logger: b.config.Logger, Tracing: b.tracing("siskin-entry", h.ID), FreshHistory: fresh,
	})
	return host, err
}

// StopHost shuts a host down gracefully and removes it from the host list.
func (b *Bed) StopHost(ctx context.Context, h *Host) error {
	err := errors.Join(h.Placer.Stop(ctx), h.Entry.Stop(ctx))
	b.removeHost(h)
	b.HostList.Remove(string(h.Settings.ID))
	return err
}

// KillHost stops a host without notice to its peers. The host stays on the host list.
func (b *Bed) KillHost(ctx context.Context, h *Host) error {
	err := errors.Join(h.Placer.Abort(ctx), h.Entry.Stop(ctx))
	b.removeHost(h)
	return err
}

func (b *Bed) removeHost(h *Host) {
	b.Hosts = slices.DeleteFunc(b.Hosts, func(o *Host) bool { return o == h })
}

// hostSettings returns the settings of a host: a loopback address of its own and the
// addresses of the platform services.
func (b *Bed) hostSettings(id platform.HostID, domain platform.FailureDomain) (settings.Host, error) {
	h := settings.Host{
		ID: id, Domain: domain, Region: region, Log: b.logAddr, HostList: b.hostListAddr,
		DrainNoticeMS: b.config.DrainNoticeMS,
	}
	ip, err := hostIP()
	if err != nil {
		return h, err
	}
	h.Entry = netip.AddrPortFrom(ip, entryPort)
	h.Control = netip.AddrPortFrom(ip, controlPort)
	h.Peer = netip.AddrPortFrom(ip, peerPort)
	h.EntryPeer = netip.AddrPortFrom(ip, entryPeerPort)
	h.EntryAdmin = netip.AddrPortFrom(ip, entryAdminPort)
	return h, nil
}

// Ports of the hosts. Each host has a loopback address of its own.
const (
	entryPort      = 7000
	controlPort    = 7001
	peerPort       = 7002
	entryPeerPort  = 7003
	entryAdminPort = 7004
)

// hostsAllocated is the number of addresses that this process has allocated.
var hostsAllocated atomic.Uint32

const (
	maxHosts        = 254
	pidByteBits     = 8
	secondByteRange = 250
)

// hostIP allocates a loopback address. Two of its bytes come from the process
// identifier, so that hosts of concurrent test processes get different addresses.
func hostIP() (netip.Addr, error) {
	n := hostsAllocated.Add(1)
	if n > maxHosts {
		return netip.Addr{}, fmt.Errorf("no loopback address left after %d hosts", maxHosts)
	}
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(1 + (pid>>pidByteBits)%secondByteRange), byte(pid), byte(n)}), nil
}
