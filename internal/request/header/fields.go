package header

import (
	"fmt"
	"strconv"
)

// ownRequestFields lists the request fields that siskinvane sets itself, in lower
// case.
var ownRequestFields = []string{
	"content-length", "via", "siskin-timeout-ms", "siskin-request-id", "siskin-read-position", "siskin-session",
}

// IsOwnRequestField reports whether siskinvane itself sets the request field named
// key.
func IsOwnRequestField(key []byte) bool {
	for _, name := range ownRequestFields {
		if equalFold(key, name) {
			return true
		}
	}
	return false
}

// IsFramingField reports whether the HTTP server itself sets the field named key.
func IsFramingField(key []byte) bool {
	return equalFold(key, "content-length") || equalFold(key, "transfer-encoding") || equalFold(key, "connection")
}

// FormatLength returns the decimal text of a body's length.
func FormatLength(n int64) string { return strconv.FormatInt(n, 10) }

// ownResponseFields lists the response fields that siskinvane sets itself, in lower
// case.
var ownResponseFields = []string{
	"content-length", "via", "siskin-outcome", "siskin-reason", "siskin-position", "siskin-leaving", "siskin-session",
}

// IsOwnResponseField reports whether siskinvane itself sets the response field named
// key.
func IsOwnResponseField(key []byte) bool {
	for _, name := range ownResponseFields {
		if equalFold(key, name) {
			return true
		}
	}
	return false
}

// FormatPosition returns the value of a position field.
func FormatPosition(p uint64) string { return strconv.FormatUint(p, 10) }

// ParsePosition parses the value of a position field. An empty value gives zero: the
// endpoint reported no position.
func ParsePosition(value string) (uint64, error) {
	if value == "" {
		return 0, nil
	}
	p, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("position %q, want a decimal number", value)
	}
	return p, nil
}
