// Package header implements the rules of RFC 9110 and RFC 9112 for the headers of
// messages that an intermediary forwards: message framing, hop-by-hop fields and
// the fields that siskinvane itself reads and writes.
package header

import (
	"bytes"
	"errors"
	"fmt"
)

// Errors of message framing. A message with such an error is refused, because two
// recipients could disagree about where it ends (request smuggling).
var (
	ErrContentLength    = errors.New("want at most one Content-Length of decimal digits")
	ErrBothLengths      = errors.New("Content-Length and Transfer-Encoding exclude each other")
	ErrTransferEncoding = errors.New("the only transfer coding understood is chunked")
	ErrUpgrade          = errors.New("upgrades are not supported")
	ErrFoldedLine       = errors.New("folded header lines are not supported")
	ErrSpaceBeforeColon = errors.New("space between a field's name and its colon")
)

// maxLengthDigits bounds the number of digits of a Content-Length.
const maxLengthDigits = 15

// Framing tells how the body of a request is framed.
type Framing struct {
	// Length is the size of the body in bytes, 0 without a Content-Length.
	Length  int
	Chunked bool
	// ExpectsContinue is set if the client waits for an interim answer before it sends
	// the body.
	ExpectsContinue bool
}

// CheckFraming checks the header lines of one message, without its start line,
// against the framing rules of RFC 9112 section 6.
func CheckFraming(lines []byte) error {
	_, err := ParseFraming(lines)
	return err
}

// ParseFraming is like CheckFraming and returns the framing of a request's body.
func ParseFraming(lines []byte) (Framing, error) {
	var f Framing
	var lengths, codings int
	for len(lines) > 0 {
		line := nextLine(&lines)
		if len(line) == 0 {
			break
		}
		if line[0] == ' ' || line[0] == '\t' {
			return f, ErrFoldedLine
		}
		name, value, _ := bytes.Cut(line, []byte{':'})
		value = bytes.TrimSpace(value)
		if bytes.ContainsAny(name, " \t") {
			return f, ErrSpaceBeforeColon
		}
		switch {
		case equalFold(name, "content-length"):
			lengths++
			if !isLength(value) {
				return f, fmt.Errorf("%w: %q", ErrContentLength, value)
			}
			for _, digit := range value {
				f.Length = 10*f.Length + int(digit-'0')
			}
		case equalFold(name, "transfer-encoding"):
			codings++
			if !equalFold(value, "chunked") {
				return f, fmt.Errorf("%w: %q", ErrTransferEncoding, value)
			}
			f.Chunked = true
		case equalFold(name, "expect"):
			f.ExpectsContinue = equalFold(value, "100-continue")
		}
	}
	return f, checkFramingCounts(lengths, codings)
}

func checkFramingCounts(lengths, codings int) error {
	switch {
	case lengths > 1:
		return ErrContentLength
	case codings > 1:
		return ErrTransferEncoding
	case lengths > 0 && codings > 0:
		return ErrBothLengths
	}
	return nil
}

// nextLine removes the first line from lines and returns it without its line end.
func nextLine(lines *[]byte) []byte {
	line, rest, _ := bytes.Cut(*lines, []byte{'\n'})
	*lines = rest
	return bytes.TrimSuffix(line, []byte{'\r'})
}

// isLength reports whether v is a valid Content-Length.
func isLength(v []byte) bool {
	if len(v) == 0 || len(v) > maxLengthDigits {
		return false
	}
	for _, b := range v {
		if b < '0' || b > '9' {
			return false
		}
	}
	return true
}

// equalFold reports whether name equals lower, which is in lower case, without regard
// to the case of ASCII letters.
func equalFold(name []byte, lower string) bool {
	if len(name) != len(lower) {
		return false
	}
	for i, b := range name {
		if 'A' <= b && b <= 'Z' {
			b += 'a' - 'A'
		}
		if b != lower[i] {
			return false
		}
	}
	return true
}
