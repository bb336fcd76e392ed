// Package directory is a fake placer for tests of entries. It implements only the part
// of the placer's peer service that publishes the directory.
package directory

import (
	"net/netip"

	"github.com/siskinvane/siskinvane/internal/process/directory"
	"github.com/siskinvane/siskinvane/internal/process/peer"
	"github.com/siskinvane/siskinvane/internal/process/placer"
)

// Source serves a directory to any number of entries. It is safe for concurrent use.
type Source struct {
	server *peer.Server
	table  *directory.Directory
}

// service is the part of the placer's peer service that entries call.
type service struct{ table *directory.Directory }

// Table returns the current table if it is newer than the caller's.
func (s *service) Table(a placer.TableArgs, reply *placer.TableReply) error {
	if t := s.table.Table(); t.Version > a.Version {
		reply.Table = t
	}
	return nil
}

// Serve starts a source on a free port of ip.
func Serve(ip netip.Addr) (*Source, error) {
	s := &Source{table: directory.New()}
	var err error
	s.server, err = peer.Listen(netip.AddrPortFrom(ip, 0), placer.PeerService, &service{s.table})
	if err != nil {
		return nil, err
	}
	s.server.Start()
	return s, nil
}

// Addr returns the address for settings.Host.Peer.
func (s *Source) Addr() netip.AddrPort { return s.server.Addr() }

// Publish makes t the current table if it is newer.
func (s *Source) Publish(t *directory.Table) { s.table.Publish(t) }

// Close stops the server.
func (s *Source) Close() { s.server.Close() }
