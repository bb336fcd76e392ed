package declaration

import (
	"fmt"
	"reflect"
	"sort"
	"strings"
)

// ChangeKind is what happened to a declared item.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two documents.
type Change struct {
	// Item is the kind and name of the item, for example "service notes".
	Item string     `json:"item"`
	Kind ChangeKind `json:"kind"`
	// Fields lists the changed fields with old and new values.
	Fields []string `json:"fields,omitempty"`
}

// Diff returns the changes from before to after, sorted by item.
func Diff(before, after *Document) []Change {
	var out []Change
	out = append(out, diffItems("class", before.Classes, after.Classes, func(c Class) string { return string(c.Name) })...)
	out = append(out, diffItems("service", before.Services, after.Services, func(s Service) string { return string(s.Name) })...)
	out = append(out, diffItems("team", before.Teams, after.Teams, func(t Team) string { return string(t.Name) })...)
	out = append(out, diffItems("template", before.Templates, after.Templates, func(t Template) string { return string(t.Name) })...)
	sort.SliceStable(out, func(i, j int) bool { return out[i].Item < out[j].Item })
	return out
}

func diffItems[T any](kind string, before, after []T, name func(T) string) []Change {
	old := map[string]T{}
	for _, item := range before {
		old[name(item)] = item
	}
	var out []Change
	for _, item := range after {
		label := kind + " " + name(item)
		previous, known := old[name(item)]
		delete(old, name(item))
		if !known {
			out = append(out, Change{Item: label, Kind: Added})
			continue
		}
		if fields := diffFields("", reflect.ValueOf(previous), reflect.ValueOf(item)); len(fields) > 0 {
			out = append(out, Change{Item: label, Kind: Changed, Fields: fields})
		}
	}
	for n := range old {
		out = append(out, Change{Item: kind + " " + n, Kind: Removed})
	}
	return out
}

// diffFields lists the leaf fields in which two values of one type differ, by
// their JSON names.
func diffFields(path string, a, b reflect.Value) []string {
	if a.Kind() == reflect.Pointer {
		if a.IsNil() || b.IsNil() {
			if a.IsNil() == b.IsNil() {
				return nil
			}
			return []string{fmt.Sprintf("%s: %s -> %s", path, presence(a), presence(b))}
		}
		return diffFields(path, a.Elem(), b.Elem())
	}
	if a.Kind() != reflect.Struct {
		if a.Interface() == b.Interface() {
			return nil
		}
		return []string{fmt.Sprintf("%s: %v -> %v", path, a.Interface(), b.Interface())}
	}
	var out []string
	for i := range a.NumField() {
		name, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("json"), ",")
		if path != "" {
			name = path + "." + name
		}
		out = append(out, diffFields(name, a.Field(i), b.Field(i))...)
	}
	return out
}

func presence(v reflect.Value) string {
	if v.IsNil() {
		return "absent"
	}
	return "present"
}
