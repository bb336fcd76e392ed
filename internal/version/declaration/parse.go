package declaration

import (
	"fmt"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/version/jsonfield"
)

// Limits of declared values.
const (
	maxBoundMillis       = 60_000
	maxThroughput        = 1_000_000
	maxReplicas          = 10_000
	maxProcessors        = 1_024
	maxMemoryMB          = 16_000_000
	maxAccelerators      = 64
	maxWorkSeconds       = 7 * 24 * 3600
	maxQuotaCores        = 1_000_000
	maxQuotaMemoryMB     = 4_000_000_000
	maxQuotaAccelerators = 100_000
	maxDocumentBytes     = 4 << 20
	minPercentile        = 50
	maxPercentile        = 99.99
	minProcessors        = 0.001
)

// Parse decodes and validates a document. The error joins one *jsonfield.Error
// for each invalid field.
func Parse(data []byte) (*Document, error) {
	if len(data) > maxDocumentBytes {
		return nil, &jsonfield.Error{Value: fmt.Sprintf("%d bytes", len(data)), Allowed: "at most 4 MiB"}
	}
	var d Document
	if err := jsonfield.Decode(data, &d); err != nil {
		return nil, err
	}
	if err := d.Validate(); err != nil {
		return nil, err
	}
	return &d, nil
}

// Validate returns all errors of the document, joined, or nil.
func (d *Document) Validate() error {
	c := &jsonfield.Checker{}
	c.Require(d.Format == Format, "format", d.Format, fmt.Sprintf("%d", Format))
	c.Require(len(d.Classes) > 0, "classes", d.Classes, "at least one class")
	c.Require(len(d.Teams) > 0, "teams", d.Teams, "at least one team")
	for i, class := range d.Classes {
		class.check(c, fmt.Sprintf("classes[%d]", i))
	}
	for i, s := range d.Services {
		d.checkService(c, fmt.Sprintf("services[%d]", i), s)
	}
	for i, t := range d.Templates {
		d.checkTemplate(c, fmt.Sprintf("templates[%d]", i), t)
	}
	for i, t := range d.Teams {
		t.check(c, fmt.Sprintf("teams[%d]", i))
	}
	c.Unique("classes", namesOf(d.Classes, func(x Class) string { return string(x.Name) }))
	c.Unique("services", namesOf(d.Services, func(x Service) string { return string(x.Name) }))
	c.Unique("templates", namesOf(d.Templates, func(x Template) string { return string(x.Name) }))
	c.Unique("teams", namesOf(d.Teams, func(x Team) string { return string(x.Name) }))
	return c.Err()
}

func namesOf[T any](items []T, name func(T) string) []string {
	out := make([]string, len(items))
	for i, item := range items {
		out[i] = name(item)
	}
	return out
}

func (c Class) check(k *jsonfield.Checker, path string) {
	k.Name(path+".name", string(c.Name))
	target := path + ".target"
	jsonfield.Range(k, target+".throughput_per_hour", c.Target.Throughput, 0, maxThroughput)
	p := c.Target.Promptness
	if p == nil {
		k.Require(c.Target.MayWait, target, c.Target, "promptness, or may_wait true")
		return
	}
	k.Require(!c.Target.MayWait, target+".may_wait", true, "false beside promptness")
	jsonfield.Range(k, target+".promptness.percentile", p.Percentile, minPercentile, maxPercentile)
	jsonfield.Range(k, target+".promptness.bound_ms", p.BoundMillis, 1, maxBoundMillis)
}

func (d *Document) checkService(k *jsonfield.Checker, path string, s Service) {
	k.Name(path+".name", string(s.Name))
	d.checkReferences(k, path, s.Team, s.Class)
	if class, ok := d.Class(s.Class); ok {
		k.Require(class.Target.Promptness != nil, path+".class", s.Class, "a class with promptness")
	}
	jsonfield.Range(k, path+".replicas", s.Replicas, 0, maxReplicas)
	s.Size.check(k, path+".size")
}

func (d *Document) checkTemplate(k *jsonfield.Checker, path string, t Template) {
	k.Name(path+".name", string(t.Name))
	d.checkReferences(k, path, t.Team, t.Class)
	jsonfield.Range(k, path+".work_seconds", t.WorkSeconds, 1, maxWorkSeconds)
	t.Size.check(k, path+".size")
}

// checkReferences checks that team and class are declared.
func (d *Document) checkReferences(k *jsonfield.Checker, path string, team platform.TeamName, class platform.ClassName) {
	_, ok := d.Team(team)
	k.Require(ok, path+".team", team, "a declared team")
	_, ok = d.Class(class)
	k.Require(ok, path+".class", class, "a declared class")
}

func (s Size) check(k *jsonfield.Checker, path string) {
	jsonfield.Range(k, path+".processors", s.Processors, minProcessors, maxProcessors)
	jsonfield.Range(k, path+".memory_mb", s.MemoryMB, 1, maxMemoryMB)
	jsonfield.Range(k, path+".accelerators", s.Accelerators, 0, maxAccelerators)
}

func (t Team) check(k *jsonfield.Checker, path string) {
	k.Name(path+".name", string(t.Name))
	jsonfield.Range(k, path+".quota.processors", t.Quota.Processors, 0, maxQuotaCores)
	jsonfield.Range(k, path+".quota.memory_mb", t.Quota.MemoryMB, 0, maxQuotaMemoryMB)
	jsonfield.Range(k, path+".quota.accelerators", t.Quota.Accelerators, 0, maxQuotaAccelerators)
}
