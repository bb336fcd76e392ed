package record

import (
	"cmp"

	"github.com/siskinvane/siskinvane/internal/platform"
)

// Rack identifies one rack.
type Rack struct {
	Domain platform.FailureDomain `cbor:"1,keyasint"`
	Rack   platform.RackID        `cbor:"2,keyasint"`
}

// Topology adds racks to those in the configuration stream. Racks are never
// removed. It does not change the version of the declarations.
type Topology struct {
	Add []Rack `cbor:"1,keyasint"`
}

// CompareRacks orders racks by failure domain and name.
func CompareRacks(a, b Rack) int {
	if c := cmp.Compare(a.Domain, b.Domain); c != 0 {
		return c
	}
	return cmp.Compare(a.Rack, b.Rack)
}
