package placer

import (
	"context"
	"fmt"
	"slices"
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/httpapi"
	"github.com/siskinvane/siskinvane/internal/process/event"
	"github.com/siskinvane/siskinvane/internal/process/record"
	"github.com/siskinvane/siskinvane/internal/process/shard"
	"github.com/siskinvane/siskinvane/internal/process/web"
	"github.com/siskinvane/siskinvane/internal/version/declaration"
)

// Paths that report the state of the configuration.
const (
	// PathVersions reports which hosts have a version: ?want=N.
	PathVersions = "/v1/versions"
	// PathReady answers 200 once the host has the state that it needs to operate.
	PathReady = "/ready"
)

// VersionsReply reports the rollout of a version.
type VersionsReply struct {
	// Have lists the hosts that report the version or a later one.
	Have []platform.HostID `json:"have"`
	// Lack lists the live and the listed hosts that do not.
	Lack []platform.HostID `json:"lack"`
}

// topologyKey is the key for ranking the hosts; the first one records new racks
// and writes the snapshots of the configuration.
const topologyKey = "topology"

// applyConfig updates the layout from the replayed configuration and announces a
// version that differs from previous.
func (p *Placer) applyConfig(previous uint64) {
	var racks []record.Rack
	var version uint64
	p.configFollower.View(func() { racks, version = p.configReplay.Racks(), p.configReplay.Version() })
	p.mu.Lock()
	if len(racks) != len(p.layout.Racks()) {
		p.layout = shard.NewLayout(racks)
	}
	p.mu.Unlock()
	if version != previous {
		event.ConfigInForce.Log(p.config.Logger, logrus.Fields{"version": version})
		p.exchange.RequestRound()
	}
}

func (p *Placer) configVersion() uint64 {
	var version uint64
	p.configFollower.View(func() { version = p.configReplay.Version() })
	return version
}

// Version returns the version of the declarations in force on this host.
func (p *Placer) Version() uint64 { return p.configVersion() }

// recordRacks records the racks of listed workers that are not in the log yet.
// Only the first-ranked host does so; a duplicate record has no effect.
func (p *Placer) recordRacks(ctx context.Context, hosts []platform.Host) {
	now := p.config.Now()
	p.mu.Lock()
	missing := p.layout.MissingRacks(hosts)
	p.mu.Unlock()
	if len(missing) == 0 || !p.mayClaim(now) {
		return
	}
	ranked := shard.Rank(topologyKey, p.ownerCandidates(now))
	if len(ranked) == 0 || ranked[0] != p.config.Host.ID {
		return
	}
	previous := p.configVersion()
	if _, err := p.configWriter.Commit(ctx, 0, record.Record{Topology: &record.Topology{Add: missing}}); err != nil {
		event.StepFailed.Log(p.config.Logger, logrus.Fields{"error": fmt.Errorf("record racks: %w", err)})
		return
	}
	p.applyConfig(previous)
	p.exchange.RequestRound()
}

// cachedAllotment is an allotment with the inputs that it was computed from.
type cachedAllotment struct {
	document *declaration.Document
	layout   *shard.Layout
	result   *shard.Allotment
}

// allotment returns the allotment of the configuration in force.
func (p *Placer) allotment() *shard.Allotment {
	var doc *declaration.Document
	p.configFollower.View(func() { doc = p.configReplay.Document() })
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.cachedAllotment; a.document != doc || a.layout != p.layout {
		p.cachedAllotment = cachedAllotment{document: doc, layout: p.layout, result: shard.NewAllotment(doc, p.layout)}
	}
	return p.cachedAllotment.result
}

// publish writes a document. It returns a *staleBaseError if an earlier publish
// won.
func (p *Placer) publish(ctx context.Context, req PublishRequest) (PublishReply, error) {
	previous := p.configVersion()
	res, err := p.configWriter.Commit(ctx, 0, record.Record{Publish: &record.Publish{
		Base: req.Base, Operator: req.Operator, Document: req.Document,
	}})
	if err != nil {
		return PublishReply{}, err
	}
	p.applyConfig(previous)
	if res.Verdict == record.Effective {
		return PublishReply{Version: req.Base + 1}, nil
	}
	var version uint64
	var winner string
	p.configFollower.View(func() { version, winner = p.configReplay.Version(), p.configReplay.OperatorOf(req.Base+1) })
	return PublishReply{}, &staleBaseError{Base: req.Base, Winner: winner, Version: version}
}

// staleBaseError reports a publish whose base version is not in force.
type staleBaseError struct {
	// Base is the version that the publish was based on.
	Base uint64
	// Winner is the operator who published the version after Base, or empty if no
	// longer known.
	Winner string
	// Version is the version in force.
	Version uint64
}

// Error implements error.
func (e *staleBaseError) Error() string {
	if e.Base >= e.Version {
		return fmt.Sprintf("based on version %d, but version %d is in force", e.Base, e.Version)
	}
	if e.Base+1 == e.Version {
		return fmt.Sprintf("based on version %d, but version %d by %s is in force", e.Base, e.Version, e.Winner)
	}
	return fmt.Sprintf("based on version %d, but version %d by %s came first; version %d is in force",
		e.Base, e.Base+1, e.Winner, e.Version)
}

func (p *Placer) handleVersions(_ context.Context, c *app.RequestContext) {
	want, err := strconv.ParseUint(c.Query("want"), 10, 64)
	if err != nil {
		web.WriteError(c, 400, httpapi.CodeBadRequest, "want: not a version")
		return
	}
	web.WriteJSON(c, p.versionHolders(want))
}

// versionHolders returns which hosts report at least minVersion. A listed entry
// host without heartbeats counts as lacking it, unless the list marks it as
// leaving.
func (p *Placer) versionHolders(minVersion uint64) VersionsReply {
	reply := VersionsReply{Have: []platform.HostID{}, Lack: []platform.HostID{}}
	now := p.config.Now()
	for _, m := range p.members.Live(now) {
		version := m.ConfigVersion
		if m.Host == p.config.Host.ID {
			version = p.configVersion()
		}
		if version >= minVersion {
			reply.Have = append(reply.Have, m.Host)
		} else {
			reply.Lack = append(reply.Lack, m.Host)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hosts {
		id := platform.HostID(h.ID)
		unheard := !slices.Contains(reply.Have, id) && !slices.Contains(reply.Lack, id)
		if h.Role == platform.RoleEntry && h.State == platform.HostLive && unheard {
			reply.Lack = append(reply.Lack, id)
		}
	}
	return reply
}
