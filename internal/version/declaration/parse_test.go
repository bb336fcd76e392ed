package declaration

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/version/jsonfield"
)

// valid is the document that each test case changes in one place.
const valid = `{
 "format": 1,
 "classes": [
  {"name": "tap", "target": {"promptness": {"percentile": 99, "bound_ms": 150}}},
  {"name": "summary", "target": {"throughput_per_hour": 10, "may_wait": true}}],
 "teams": [{"name": "diary", "quota": {"processors": 10, "memory_mb": 1000}}],
 "services": [{"name": "notes", "team": "diary", "class": "tap", "replicas": 2,
  "size": {"processors": 1, "memory_mb": 100}}],
 "templates": [{"name": "build", "team": "diary", "class": "summary",
  "size": {"processors": 2, "memory_mb": 200}, "work_seconds": 60}]}`

func TestParseRefuses(t *testing.T) {
	cases := []struct {
		name     string
		old, new string
		path     string
	}{
		{"not json", `"format"`, `format`, ""},
		{"text after", `"work_seconds": 60}]}`, `"work_seconds": 60}]} x`, ""},
		{"truncated", `"work_seconds": 60}]}`, ``, "templates[0]"},
		{"format", `"format": 1`, `"format": 2`, "format"},
		{"format type", `"format": 1`, `"format": "1"`, "format"},
		{"unknown key at the top", `"format": 1`, `"format": 1, "extra": 1`, "extra"},
		{"repeated key", `"format": 1`, `"format": 1, "format": 1`, "format"},
		{"key in another case", `"format": 1`, `"Format": 1`, "Format"},
		{"weight of a class", `"name": "tap",`, `"name": "tap", "weight": 3,`, "classes[0].weight"},
		{"priority of a class", `"name": "tap",`, `"name": "tap", "priority": 3,`, "classes[0].priority"},
		{"worker of a service", `"replicas": 2`, `"replicas": 2, "worker": "w1"`, "services[0].worker"},
		{"hosts of a service", `"replicas": 2`, `"replicas": 2, "hosts": ["w1"]`, "services[0].hosts"},
		{"affinity of a template", `"work_seconds": 60`, `"work_seconds": 60, "affinity": {}`, "templates[0].affinity"},
		{"weight of a team", `"memory_mb": 1000}`, `"memory_mb": 1000, "weight": 2}`, "teams[0].quota.weight"},
		{"empty name", `{"name": "tap"`, `{"name": ""`, "classes[0].name"},
		{"name in capitals", `{"name": "tap"`, `{"name": "Tap"`, "classes[0].name"},
		{"name with a slash", `"name": "notes"`, `"name": "a/b"`, "services[0].name"},
		{"name too long", `"name": "notes"`, `"name": "` + strings.Repeat("n", 64) + `"`, "services[0].name"},
		{"repeated class", `{"name": "summary"`, `{"name": "tap"`, "classes[1].name"},
		{"no target", `"target": {"throughput_per_hour": 10, "may_wait": true}`, `"target": {}`, "classes[1].target"},
		{"prompt but may wait", `"bound_ms": 150}`, `"bound_ms": 150}, "may_wait": true`, "classes[0].target.may_wait"},
		{"percentile too high", `"percentile": 99`, `"percentile": 100`, "classes[0].target.promptness.percentile"},
		{"percentile too low", `"percentile": 99`, `"percentile": 0.99`, "classes[0].target.promptness.percentile"},
		{"bound zero", `"bound_ms": 150`, `"bound_ms": 0`, "classes[0].target.promptness.bound_ms"},
		{"bound a fraction", `"bound_ms": 150`, `"bound_ms": 1.5`, "classes[0].target.promptness.bound_ms"},
		{"throughput negative", `"throughput_per_hour": 10`, `"throughput_per_hour": -1`, "classes[1].target.throughput_per_hour"},
		{"unknown team", `"name": "notes", "team": "diary"`, `"name": "notes", "team": "x"`, "services[0].team"},
		{"unknown class", `"class": "summary"`, `"class": "x"`, "templates[0].class"},
		{"service that may wait", `"class": "tap"`, `"class": "summary"`, "services[0].class"},
		{"replicas negative", `"replicas": 2`, `"replicas": -2`, "services[0].replicas"},
		{"no processors", `"processors": 1,`, `"processors": 0,`, "services[0].size.processors"},
		{"memory a string", `"memory_mb": 200`, `"memory_mb": "200"`, "templates[0].size.memory_mb"},
		{"no memory", `"memory_mb": 200`, `"memory_mb": 0`, "templates[0].size.memory_mb"},
		{"no work", `"work_seconds": 60`, `"work_seconds": 0`, "templates[0].work_seconds"},
		{"quota negative", `"processors": 10`, `"processors": -10`, "teams[0].quota.processors"},
		{"no teams", `"teams": [{"name": "diary", "quota": {"processors": 10, "memory_mb": 1000}}]`, `"teams": []`, "teams"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(valid, c.old, c.new, 1)
			must.NotEq(t, valid, text)
			d, err := Parse([]byte(text))
			must.Error(t, err)
			must.Nil(t, d)
			must.SliceContains(t, paths(err), c.path)
		})
	}
}

// paths returns the paths of the fields in err.
func paths(err error) []string {
	var list interface{ Unwrap() []error }
	if errors.As(err, &list) {
		var all []string
		for _, e := range list.Unwrap() {
			all = append(all, paths(e)...)
		}
		return all
	}
	var field *jsonfield.Error
	if errors.As(err, &field) {
		return []string{field.Path}
	}
	return nil
}

func TestParseAccepts(t *testing.T) {
	_, err := Parse([]byte(valid))
	must.NoError(t, err)
	for _, path := range []string{"diarietto/declarations.json", "padyak/declarations.json", "small.json"} {
		data, err := os.ReadFile("../../../examples/" + path)
		must.NoError(t, err)
		_, err = Parse(data)
		must.NoError(t, err, must.Sprint(path))
	}
}
