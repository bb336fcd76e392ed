package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// storeMode is how the store treats calls.
type storeMode int32

const (
	storeHealthy storeMode = iota
	// storeBusy answers each call with 503 and does nothing.
	storeBusy
)

// Store is a stand-in for the platform's metadata store.
type Store struct {
	mode atomic.Int32

	mu      sync.Mutex
	logs    map[string]*logPart
	groups  map[string]*group
	changed chan struct{}
}

type record struct {
	key   string
	value []byte
}

type logPart struct {
	records []record
	newest  map[string]int
	writers map[string]*writer
}

type writer struct {
	epoch   uint64
	started bool
	last    uint64
	// answers holds the offsets of the last appends by sequence number.
	answers map[uint64]int
}

// partsPerTopic is the number of partitions of the system's own topics.
const partsPerTopic = 8

type group struct {
	generation uint64
	members    map[string]*member
	holder     [partsPerTopic]string
}

type member struct {
	ttl    time.Duration
	heard  time.Time
	topics []string
}

func newStore() *Store {
	return &Store{logs: map[string]*logPart{}, groups: map[string]*group{}, changed: make(chan struct{})}
}

func (s *Store) setMode(m storeMode) { s.mode.Store(int32(m)) }

// Put writes a record of the operator or of a worker; an empty value deletes the key.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part(topic, "0").add(record{key, value})
	s.wake()
}

// Newest returns the newest value of a key.
func (s *Store) Newest(topic, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(topic, "0")
	if i, ok := p.newest[key]; ok {
		return p.records[i].value
	}
	return nil
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) part(topic, number string) *logPart {
	name := topic + "/" + number
	p := s.logs[name]
	if p == nil {
		p = &logPart{newest: map[string]int{}, writers: map[string]*writer{}}
		s.logs[name] = p
	}
	return p
}

func (p *logPart) add(r record) {
	if len(r.value) == 0 {
		delete(p.newest, r.key)
	} else {
		p.newest[r.key] = len(p.records)
	}
	p.records = append(p.records, r)
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if storeMode(s.mode.Load()) == storeBusy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/api/log-append":
		time.Sleep(2 * time.Millisecond)
		s.append(w, q.Get("topic"), q.Get("part"), q.Get("producer"), q.Get("epoch"), q.Get("seq"), q.Get("at"), body)
	case "/api/log-read":
		s.read(w, r, q.Get("topic"), q.Get("part"), q.Get("from"), q.Get("max_kb"), q.Get("wait_ms"))
	case "/api/log-newest":
		after, paged := q["depends_on"]
		s.newestPage(w, q.Get("topic"), q.Get("part"), after, paged)
	case "/api/log-join":
		s.join(w, body)
	case "/api/log-leave":
		s.leave(w, body)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller has gone.
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Store) append(w http.ResponseWriter, topic, part, producer, epochText, seqText, at string, body []byte) {
	records, ok := parseRecords(body)
	if !ok || topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(topic, part)
	offset := len(p.records)
	if at != "" && at != strconv.Itoa(offset) {
		reply(w, http.StatusPreconditionFailed, map[string]int{"end": offset})
		return
	}
	if producer != "" {
		epoch, _ := strconv.ParseUint(epochText, 10, 64)
		seq, _ := strconv.ParseUint(seqText, 10, 64)
		wr := p.writers[producer]
		if wr == nil {
			wr = &writer{answers: map[uint64]int{}}
			p.writers[producer] = wr
		}
		switch {
		case epoch < wr.epoch:
			reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		case epoch > wr.epoch:
			wr.epoch, wr.started, wr.answers = epoch, false, map[uint64]int{}
		}
		if len(records) > 0 {
			if first, repeated := wr.answers[seq]; repeated && wr.started {
				reply(w, http.StatusOK, map[string]int{"offset": first, "end": len(p.records)})
				return
			}
			if wr.started && seq != wr.last+1 {
				reply(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": wr.last + 1})
				return
			}
			wr.started, wr.last = true, seq
			wr.answers[seq] = offset
			if seq >= 5 {
				delete(wr.answers, seq-5)
			}
		}
	}
	for _, r := range records {
		p.add(r)
	}
	if len(records) > 0 {
		s.wake()
	}
	reply(w, http.StatusOK, map[string]int{"offset": offset, "end": len(p.records)})
}

func parseRecords(body []byte) ([]record, bool) {
	var list []record
	for len(body) > 0 {
		if len(body) < 5 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if n < 1 || len(body) < 4+n || n > 262144 {
			return nil, false
		}
		content := body[4 : 4+n]
		k := int(content[0])
		if 1+k > n {
			return nil, false
		}
		list = append(list, record{string(content[1 : 1+k]), slices.Clone(content[1+k:])})
		body = body[4+n:]
	}
	return list, true
}

func (s *Store) read(w http.ResponseWriter, r *http.Request, topic, part, fromText, maxText, waitText string) {
	from, _ := strconv.Atoi(fromText)
	maxKB, err := strconv.Atoi(maxText)
	if err != nil {
		maxKB = 1024
	}
	waitMS, _ := strconv.Atoi(waitText)
	deadline := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer deadline.Stop()
	for waiting := waitMS > 0; ; {
		s.mu.Lock()
		p, changed := s.part(topic, part), s.changed
		if from < len(p.records) || !waiting {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for i := from; i < len(p.records); i++ {
				rec := p.records[i]
				size := 1 + len(rec.key) + len(rec.value)
				if len(out)+4+size > maxKB*1024 {
					break
				}
				out = binary.BigEndian.AppendUint32(out, uint32(size))
				out = append(append(append(out, byte(len(rec.key))), rec.key...), rec.value...)
			}
			s.mu.Unlock()
			if storeMode(s.mode.Load()) == storeBusy {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			_, _ = w.Write(out)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) newestPage(w http.ResponseWriter, topic, part string, after []string, paged bool) {
	const pageLength = 500
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(topic, part)
	keys := make([]string, 0, len(p.newest))
	for k := range p.newest {
		if !paged || k > after[0] {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	items := []item{}
	for _, k := range keys[:min(len(keys), pageLength)] {
		i := p.newest[k]
		items = append(items, item{k, base64.StdEncoding.EncodeToString(p.records[i].value), i})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "more": len(keys) > pageLength, "end": len(p.records)})
}

func (s *Store) join(w http.ResponseWriter, body []byte) {
	var in struct {
		Group      string   `json:"group"`
		Member     string   `json:"member"`
		Topics     []string `json:"topics"`
		TTLMS      int64    `json:"ttl_ms"`
		Generation uint64   `json:"generation"`
	}
	if json.Unmarshal(body, &in) != nil || len(in.Topics) != 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(in.Group)
	g.expire()
	if g.members[in.Member] == nil {
		g.members[in.Member] = &member{}
		g.generation++
	}
	m := g.members[in.Member]
	m.ttl, m.heard, m.topics = time.Duration(in.TTLMS)*time.Millisecond, time.Now(), in.Topics
	parts := [][]any{}
	for i := range g.holder {
		wanted := g.target(i)
		switch {
		case wanted == in.Member && (g.holder[i] == "" || g.holder[i] == in.Member):
			g.holder[i] = in.Member
			parts = append(parts, []any{in.Topics[0], i, 0})
		case g.holder[i] == in.Member && in.Generation >= g.generation:
			// The member has taken note that the partition is not its own any more.
			g.holder[i] = ""
		}
	}
	reply(w, http.StatusOK, map[string]any{"generation": g.generation, "ttl_ms": in.TTLMS, "parts": parts})
}

func (s *Store) leave(w http.ResponseWriter, body []byte) {
	var in struct {
		Group  string `json:"group"`
		Member string `json:"member"`
	}
	if json.Unmarshal(body, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group(in.Group).remove(in.Member)
	reply(w, http.StatusOK, map[string]any{})
}

func (s *Store) group(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{members: map[string]*member{}}
		s.groups[name] = g
	}
	return g
}

func (g *group) expire() {
	for name, m := range g.members {
		if time.Since(m.heard) > m.ttl {
			g.remove(name)
		}
	}
}

func (g *group) remove(name string) {
	if g.members[name] == nil {
		return
	}
	delete(g.members, name)
	g.generation++
	for i, h := range g.holder {
		if h == name {
			g.holder[i] = ""
		}
	}
}

// target returns the member that partition i is to belong to.
func (g *group) target(i int) string {
	names := make([]string, 0, len(g.members))
	for name := range g.members {
		names = append(names, name)
	}
	if len(names) == 0 {
		return ""
	}
	slices.SortFunc(names, strings.Compare)
	return names[i%len(names)]
}
