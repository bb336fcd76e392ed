package job

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/store"
)

// A progress record that would exceed MaxRecordBytes is split: parts hold what is known of
// partTasks consecutive tasks each, and the record of the job itself the rest. Parts precede it
// in the log, and only those that have changed are written.
const (
	// partTasks is chosen so that as much as is listed of so many tasks fits into a part.
	partTasks = 64
	// doneInRecord is the number of tasks, from the first that may not be done on, of which the
	// job's own record says which are done, as versions that know no parts expect it.
	doneInRecord = 1 << 20
	partMark     = "/"
)

// MaxRecordBytes is the size above which records that an owner writes are split, shortened or
// left out. It is below the store's limit for a record.
const MaxRecordBytes = 192 << 10

// Parts holds the parts of a job's progress that the log may have, each with the sum of its
// content or with zero if that is not known. It is not changed once it is in use.
type Parts map[int]uint64

// Unknown returns the parts of p and q without their sums.
func (p Parts) Unknown(q Parts) Parts {
	all := Parts{}
	for _, parts := range []Parts{p, q} {
		for i := range parts {
			all[i] = 0
		}
	}
	return all
}

// sortedEncoding encodes equal parts alike.
var sortedEncoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortBytewiseLexical}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// ProgressRecords returns the records of a job's progress that have to be appended in this
// order if the log has the parts known, and the parts that it has then. No record exceeds
// MaxRecordBytes: checkpoints that do not fit into a part are left out, and under a later owner
// their tasks start from the beginning.
func ProgressRecords(id ID, p *Progress, known Parts) ([]store.Record, Parts, error) {
	key := progressKey + string(id)
	r, err := encodeRecord(key, p)
	if err != nil || len(r.Value) <= MaxRecordBytes {
		return []store.Record{r}, known, err
	}
	parts := p.split()
	for i := range known {
		parts.at(i)
	}
	var records []store.Record
	sums := Parts{}
	for _, i := range slices.Sorted(maps.Keys(parts)) {
		content, err := sortedEncoding.Marshal(parts[i])
		if err != nil {
			return nil, nil, fmt.Errorf("encode part %d of record %s: %w", i, key, err)
		}
		sum := fnv.New64a()
		_, _ = sum.Write(content)
		if sums[i] = sum.Sum64(); sums[i] == known[i] {
			continue
		}
		parts[i].Revision = p.Revision
		part, err := encodeShortened(partKey(id, i), parts[i])
		if err != nil {
			return nil, nil, err
		}
		records = append(records, part)
	}
	own, err := encodeRecord(key, &Progress{
		State: p.State, Revision: p.Revision, EndedMS: p.EndedMS, Split: true,
		Done: BitSet{Below: p.Done.Below, Bits: p.Done.Bits[:min(len(p.Done.Bits), doneInRecord/bitsPerByte)]},
	})
	return append(records, own), sums, err
}

// encodeShortened encodes a part without the checkpoints that do not fit.
func encodeShortened(key string, p *Progress) (store.Record, error) {
	r, err := encodeRecord(key, p)
	if err != nil || len(r.Value) <= MaxRecordBytes {
		return r, err
	}
	shortened := *p
	shortened.Checkpoints = maps.Clone(p.Checkpoints)
	excess := len(r.Value) - MaxRecordBytes
	for _, number := range slices.Backward(slices.Sorted(maps.Keys(p.Checkpoints))) {
		if excess <= 0 {
			break
		}
		excess -= len(p.Checkpoints[number])
		delete(shortened.Checkpoints, number)
	}
	return encodeRecord(key, &shortened)
}

// progressParts holds parts by number. Done of a part counts from its first task.
type progressParts map[int]*Progress

func (parts progressParts) at(i int) *Progress {
	if parts[i] == nil {
		parts[i] = &Progress{}
	}
	return parts[i]
}

// split returns the parts of p that are not empty.
func (p *Progress) split() progressParts {
	parts := progressParts{}
	for number, f := range p.Failures {
		setFact(&parts.at(number/partTasks).Failures, number, f)
	}
	for number, c := range p.Checkpoints {
		setFact(&parts.at(number/partTasks).Checkpoints, number, c)
	}
	for number, c := range p.Crashes {
		setFact(&parts.at(number/partTasks).Crashes, number, c)
	}
	for number, a := range p.Settled {
		setFact(&parts.at(number/partTasks).Settled, number, a)
	}
	for number, n := range p.EarlierFailures {
		setFact(&parts.at(number/partTasks).EarlierFailures, number, n)
	}
	for number := p.Done.Below + doneInRecord; number < p.Done.Below+bitsPerByte*len(p.Done.Bits); number++ {
		if p.Done.Has(number) {
			parts.at(number / partTasks).Done.Add(number % partTasks)
		}
	}
	return parts
}

func setFact[T any](m *map[int]T, number int, fact T) {
	if *m == nil {
		*m = map[int]T{}
	}
	(*m)[number] = fact
}

// whole returns the entry with the parts of its progress. A part counts if the job's own record
// is split or older than the part: an append of both may have ended between them.
func (e *Entry) whole() Entry {
	w := *e
	if len(e.parts) == 0 || e.Submission == nil {
		return w
	}
	p := &w.Progress
	p.Done = p.Done.Clone()
	p.Failures, p.Checkpoints, p.Crashes, p.Settled = maps.Clone(p.Failures), maps.Clone(p.Checkpoints), maps.Clone(p.Crashes), maps.Clone(p.Settled)
	p.EarlierFailures = maps.Clone(p.EarlierFailures)
	tasks := e.Submission.Spec.OccurrenceCount() * e.Submission.Spec.TasksPerOccurrence()
	w.Parts = Parts{}
	for i, part := range e.parts {
		w.Parts[i] = 0
		p.Revision = max(p.Revision, part.Revision)
		first := i * partTasks
		if !e.Progress.Split && part.Revision <= e.Progress.Revision || first >= tasks {
			continue
		}
		replaceFacts(&p.Failures, part.Failures, first)
		replaceFacts(&p.Checkpoints, part.Checkpoints, first)
		replaceFacts(&p.Crashes, part.Crashes, first)
		replaceFacts(&p.Settled, part.Settled, first)
		replaceFacts(&p.EarlierFailures, part.EarlierFailures, first)
		for n := range min(partTasks, tasks-first) {
			if part.Done.Has(n) {
				p.Done.Add(first + n)
			}
		}
	}
	p.Split = false
	return w
}

// replaceFacts replaces what m says of the tasks of the part that begins with the task first.
func replaceFacts[T any](m *map[int]T, part map[int]T, first int) {
	for number := first; number < first+partTasks; number++ {
		if fact, ok := part[number]; ok {
			setFact(m, number, fact)
		} else {
			delete(*m, number)
		}
	}
}

func partKey(id ID, part int) string {
	return progressKey + string(id) + partMark + strconv.Itoa(part)
}

// maxPart limits the numbers of parts to those that the largest job can have.
const maxPart = maxTasksPerOccurrence * maxOccurrences / partTasks

// splitPartKey returns the job and the number of a part, and whether the key is one.
func splitPartKey(key string) (id ID, part int, ok bool) {
	job, number, ok := strings.Cut(key, partMark)
	if kind, id := splitKey(job); ok && kind == progressKey {
		part, err := strconv.Atoi(number)
		return id, part, err == nil && part >= 0 && part <= maxPart
	}
	return "", 0, false
}

// Subject returns the job or the worker that a record of the shard speaks of, or nothing.
func Subject(r store.Record) (id ID, worker platform.WorkerID) {
	if id, _, ok := splitPartKey(r.Key); ok {
		return id, ""
	}
	switch kind, id := splitKey(r.Key); kind {
	case progressKey:
		return id, ""
	case enrollmentKey:
		return "", platform.WorkerID(id)
	}
	return "", ""
}

func (t *Table) applyPart(id ID, part int, value []byte) error {
	if len(value) == 0 {
		if e, ok := t.jobs[id]; ok {
			delete(e.parts, part)
		}
		return nil
	}
	var p Progress
	if err := cbor.Unmarshal(value, &p); err != nil {
		return fmt.Errorf("part %d of the progress of job %s: %w", part, id, err)
	}
	e := t.ensureEntry(id)
	if known, ok := e.parts[part]; !ok || p.Revision > known.Revision {
		setFact(&e.parts, part, p)
	}
	return nil
}

// Parts returns the numbers of the parts of a job's progress.
func (t *Table) Parts(id ID) []int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if e, ok := t.jobs[id]; ok {
		return slices.Collect(maps.Keys(e.parts))
	}
	return nil
}
