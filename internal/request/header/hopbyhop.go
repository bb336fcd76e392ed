package header

import "bytes"

// hopByHopFields lists the fields that apply to a single connection, in lower case.
var hopByHopFields = []string{
	"connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization",
	"te", "trailer", "transfer-encoding", "upgrade", "expect",
}

// HopByHop is the set of fields of one message that must not be forwarded.
type HopByHop struct {
	// connectionValues holds the values of the message's Connection fields.
	connectionValues [][]byte
}

// FieldVisitor is implemented by the headers of requests and responses.
type FieldVisitor interface {
	VisitAll(f func(key, value []byte))
}

// ReadHopByHop returns the hop-by-hop fields of a message, including those that its
// Connection fields name.
func ReadHopByHop(v FieldVisitor) HopByHop {
	var h HopByHop
	v.VisitAll(func(key, value []byte) {
		if equalFold(key, "connection") {
			h.connectionValues = append(h.connectionValues, value)
		}
	})
	return h
}

// Contains reports whether the field named key must not be forwarded.
func (h HopByHop) Contains(key []byte) bool {
	for _, name := range hopByHopFields {
		if equalFold(key, name) {
			return true
		}
	}
	for _, list := range h.connectionValues {
		if listContains(list, key) {
			return true
		}
	}
	return false
}

// listContains reports whether the comma-separated list contains name, without regard
// to case.
func listContains(list, name []byte) bool {
	for len(list) > 0 {
		item, rest, _ := bytes.Cut(list, []byte{','})
		if bytes.EqualFold(bytes.TrimSpace(item), name) {
			return true
		}
		list = rest
	}
	return false
}
