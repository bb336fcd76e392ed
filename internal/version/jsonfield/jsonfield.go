// Package jsonfield decodes JSON strictly and reports errors by field: unknown
// and repeated keys, wrong types and values out of range.
package jsonfield

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// Error reports a field with a value that is not allowed.
type Error struct {
	// Path locates the field, for example "classes[0].target.promptness". It
	// is empty for the whole document.
	Path string
	// Value is the offending value as JSON or text.
	Value string
	// Allowed describes the allowed values.
	Allowed string
}

// Error implements error.
func (e *Error) Error() string {
	path := e.Path
	if path == "" {
		path = "document"
	}
	return fmt.Sprintf("%s: %s is not allowed; want %s", path, e.Value, e.Allowed)
}

// Decode decodes data into v. It rejects unknown keys, repeated keys, keys in
// another case and text after the document. The error is an *Error.
func Decode(data []byte, v any) error {
	err := json.Unmarshal(data, v, json.RejectUnknownMembers(true))
	if err == nil {
		return nil
	}
	return fieldError(data, err)
}

func fieldError(data []byte, err error) error {
	var semantic *json.SemanticError
	var syntactic *jsontext.SyntacticError
	switch {
	case errors.As(err, &semantic):
		return semanticError(semantic)
	case errors.As(err, &syntactic):
		return &Error{
			Path:    pathOf(syntactic.JSONPointer),
			Value:   fmt.Sprintf("text at byte %d of %d", syntactic.ByteOffset, len(data)),
			Allowed: "well-formed JSON: " + syntactic.Err.Error(),
		}
	}
	return &Error{Value: "the document", Allowed: err.Error()}
}

func semanticError(e *json.SemanticError) error {
	if errors.Is(e.Err, json.ErrUnknownName) {
		return &Error{Path: pathOf(e.JSONPointer), Value: "this key", Allowed: "a documented key"}
	}
	value := string(e.JSONValue)
	if value == "" {
		value = "a JSON " + e.JSONKind.String()
	}
	allowed := "a value of another type"
	if e.GoType != nil {
		allowed = jsonTypeName(e.GoType.Kind().String())
	}
	if e.Err != nil {
		allowed += " (" + e.Err.Error() + ")"
	}
	return &Error{Path: pathOf(e.JSONPointer), Value: value, Allowed: allowed}
}

// jsonTypeName describes a Go kind in JSON terms.
func jsonTypeName(kind string) string {
	switch {
	case strings.HasPrefix(kind, "int"):
		return "a whole number"
	case strings.HasPrefix(kind, "uint"):
		return "a whole number of at least 0"
	case strings.HasPrefix(kind, "float"):
		return "a number"
	case kind == "bool":
		return "true or false"
	case kind == "slice":
		return "an array"
	case kind == "struct", kind == "map":
		return "an object or an address"
	}
	return "a " + kind
}

// pathOf converts a JSON pointer to the form of Error.Path.
func pathOf(p jsontext.Pointer) string {
	var b strings.Builder
	for token := range p.Tokens() {
		if _, err := strconv.Atoi(token); err == nil {
			fmt.Fprintf(&b, "[%s]", token)
			continue
		}
		if b.Len() > 0 {
			b.WriteByte('.')
		}
		b.WriteString(token)
	}
	return b.String()
}

// Checker collects the errors of a decoded document.
type Checker struct {
	errs []error
}

// Err returns all errors, joined, or nil.
func (c *Checker) Err() error { return errors.Join(c.errs...) }

// Fail records an error.
func (c *Checker) Fail(path string, value any, allowed string) {
	c.errs = append(c.errs, &Error{Path: path, Value: fmt.Sprintf("%#v", value), Allowed: allowed})
}

// Require records an error unless ok is true.
func (c *Checker) Require(ok bool, path string, value any, allowed string) {
	if !ok {
		c.Fail(path, value, allowed)
	}
}

// Number is the constraint of Range.
type Number interface {
	~int | ~int64 | ~uint16 | ~uint32 | ~float64
}

// Range records an error unless low <= v <= high.
func Range[N Number](c *Checker, path string, v, low, high N) {
	c.Require(v >= low && v <= high, path, v, fmt.Sprintf("%v to %v", low, high))
}

// maxNameBytes is the maximum length of names in bytes.
const maxNameBytes = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// Name records an error unless v is a name: lower-case letters, digits and
// inner hyphens, 1 to 63 bytes.
func (c *Checker) Name(path, v string) {
	ok := len(v) <= maxNameBytes && namePattern.MatchString(v)
	c.Require(ok, path, v, "1 to 63 lower-case letters, digits and inner hyphens")
}

// Unique records an error for each repeated name. The path of element i is
// path[i].name.
func (c *Checker) Unique(path string, names []string) {
	seen := map[string]bool{}
	for i, n := range names {
		c.Require(!seen[n], fmt.Sprintf("%s[%d].name", path, i), n, "a name that is not declared above")
		seen[n] = true
	}
}
