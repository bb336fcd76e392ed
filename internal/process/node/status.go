package node

import "github.com/siskinvane/siskinvane/internal/platform"

// PathStatus is the path at which a host tells operators its status, beside its metrics.
const PathStatus = "/v1/host"

// Status is what a host tells operators about itself.
type Status struct {
	Host platform.HostID `json:"host"`
	// Owner is set if the host owns the shard.
	Owner bool `json:"owner"`
	// Declarations is the version in force on the host, DeclarationsAgeMS the time in
	// milliseconds since the last answered read of what operators declare was sent.
	Declarations      int64 `json:"declarations"`
	DeclarationsAgeMS int64 `json:"declarations_age_ms"`
	// Evacuated are the evacuated failure domains that the host knows, sorted by name.
	Evacuated []EvacuatedDomain `json:"evacuated"`
}

// EvacuatedDomain is a failure domain in which nothing is started.
type EvacuatedDomain struct {
	Domain platform.FailureDomain `json:"domain"`
	// Workers counts its workers, Running the attempts that may be running there. Only the
	// shard's owner knows them.
	Workers int `json:"workers"`
	Running int `json:"running"`
}

// Status returns the host's status.
func (n *Node) Status() Status {
	d := n.ownedDispatcher()
	s := Status{
		Host: n.Host, Owner: d != nil, Declarations: n.declaredVersion(), DeclarationsAgeMS: n.storeHealth.age(declarationsUse).Milliseconds(),
		Evacuated: []EvacuatedDomain{},
	}
	if d == nil {
		for _, domain := range n.Evacuated() {
			s.Evacuated = append(s.Evacuated, EvacuatedDomain{Domain: domain})
		}
		return s
	}
	for _, e := range d.Evacuations() {
		s.Evacuated = append(s.Evacuated, EvacuatedDomain{Domain: e.Domain, Workers: e.Workers, Running: e.Attempts})
	}
	return s
}
