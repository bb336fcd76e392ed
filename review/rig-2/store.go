package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the store, as a small deployment states them.
const (
	recordBytes  = 262144
	callBytes    = 2097152
	appendTime   = 2 * time.Millisecond
	rememberedBy = 5
)

// metaStore is the platform's metadata store: a log with producers, newest records and groups.
type metaStore struct {
	mu     sync.Mutex
	topics map[string]*logPartition
	groups map[string]*memberGroup
	// appending makes the appends of all partitions follow one another.
	appending sync.Mutex
	// rejected counts the appends with a record that is too large.
	rejected int
	server   *http.Server
	addr     string
}

type logPartition struct {
	records   [][]byte
	newest    map[string]int
	producers map[string]*producer
	changed   chan struct{}
}

type producer struct {
	epoch, seq uint64
	results    map[uint64]int
}

type memberGroup struct {
	generation uint64
	members    map[string]time.Time
	holder     string
}

func newMetaStore(ip string) (*metaStore, error) {
	s := &metaStore{topics: map[string]*logPartition{}, groups: map[string]*memberGroup{}}
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.serveAppend)
	mux.HandleFunc("GET /api/log-read", s.serveRead)
	mux.HandleFunc("GET /api/log-newest", s.serveNewest)
	mux.HandleFunc("POST /api/log-join", s.serveJoin)
	mux.HandleFunc("POST /api/log-leave", s.serveLeave)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *metaStore) partition(topic string) *logPartition {
	p := s.topics[topic]
	if p == nil {
		p = &logPartition{newest: map[string]int{}, producers: map[string]*producer{}, changed: make(chan struct{})}
		s.topics[topic] = p
	}
	return p
}

// add appends records. The caller holds mu.
func (p *logPartition) add(records [][]byte) int {
	first := len(p.records)
	for _, r := range records {
		if len(r) > 0 && len(r) >= 1+int(r[0]) {
			p.newest[string(r[1:1+int(r[0])])] = len(p.records)
		}
		p.records = append(p.records, r)
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return first
}

// put writes a record for the operator or a worker.
func (s *metaStore) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	s.partition(topic).add([][]byte{append(record, value...)})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *metaStore) serveAppend(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("topic")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if topic == "keyed.op" || topic == "keyed.servers" {
		reply(w, 403, nil)
		return
	}
	records, tooLarge := splitRecords(body)
	s.appending.Lock()
	defer s.appending.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if tooLarge || len(body) > callBytes {
		s.rejected++
		reply(w, 400, map[string]any{"reason": "size"})
		return
	}
	p := s.partition(topic)
	name := q.Get("producer")
	if name == "" {
		if len(records) > 0 {
			first := p.add(records)
			reply(w, 200, map[string]any{"offset": first, "end": len(p.records)})
			return
		}
		reply(w, 200, map[string]any{"offset": len(p.records), "end": len(p.records)})
		return
	}
	epoch, _ := strconv.ParseUint(q.Get("epoch"), 10, 64)
	seq, _ := strconv.ParseUint(q.Get("seq"), 10, 64)
	known := p.producers[name]
	switch {
	case known != nil && epoch < known.epoch:
		reply(w, 409, map[string]any{"reason": "fenced"})
		return
	case known == nil || epoch > known.epoch:
		known = &producer{epoch: epoch, results: map[uint64]int{}}
		p.producers[name] = known
	default:
		if first, repeated := known.results[seq]; repeated {
			reply(w, 200, map[string]any{"offset": first, "end": len(p.records)})
			return
		}
		if seq != known.seq+1 {
			reply(w, 409, map[string]any{"reason": "seq", "seq": known.seq + 1})
			return
		}
	}
	first := len(p.records)
	if len(records) > 0 {
		first = p.add(records)
	}
	known.seq, known.results[seq] = seq, first
	if seq >= rememberedBy {
		delete(known.results, seq-rememberedBy)
	}
	reply(w, 200, map[string]any{"offset": first, "end": len(p.records)})
}

// splitRecords returns the records of an append, and whether one is too large.
func splitRecords(body []byte) (records [][]byte, tooLarge bool) {
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if n > len(body) {
			return nil, true
		}
		tooLarge = tooLarge || n > recordBytes
		records = append(records, slices.Clone(body[:n]))
		body = body[n:]
	}
	return records, tooLarge
}

func (s *metaStore) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	maxKB, err := strconv.Atoi(q.Get("max_kb"))
	if err != nil {
		maxKB = 1024
	}
	waitMS, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		p := s.partition(q.Get("topic"))
		changed := p.changed
		if from < len(p.records) || waitMS == 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for i := from; i < len(p.records) && (i == from || len(out)+4+len(p.records[i]) <= maxKB*1024); i++ {
				out = binary.BigEndian.AppendUint32(out, uint32(len(p.records[i])))
				out = append(out, p.records[i]...)
			}
			s.mu.Unlock()
			w.Header().Set("Content-Type", "application/octet-stream")
			_, _ = w.Write(out)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			waitMS = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *metaStore) serveNewest(w http.ResponseWriter, r *http.Request) {
	const maxItems, maxBytes = 500, 1 << 20
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(q.Get("topic"))
	keys := make([]string, 0, len(p.newest))
	for k := range p.newest {
		if !q.Has("depends_on") || k > q.Get("depends_on") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, k := range keys {
		value := p.records[p.newest[k]][1+len(k):]
		if len(value) == 0 {
			continue
		}
		if len(items) == maxItems || size > maxBytes {
			more = true
			break
		}
		size += len(value)
		items = append(items, map[string]any{"key": k, "value": value, "offset": p.newest[k]})
	}
	reply(w, 200, map[string]any{"items": items, "more": more, "end": len(p.records)})
}

// expire removes the members that have not joined within their time. The caller holds mu.
func (g *memberGroup) expire(now time.Time) {
	for name, until := range g.members {
		if now.After(until) {
			g.remove(name)
		}
	}
}

func (g *memberGroup) remove(name string) {
	if _, member := g.members[name]; !member {
		return
	}
	delete(g.members, name)
	g.generation++
	if g.holder == name {
		g.holder = ""
	}
}

func (s *metaStore) group(name string) *memberGroup {
	g := s.groups[name]
	if g == nil {
		g = &memberGroup{members: map[string]time.Time{}}
		s.groups[name] = g
	}
	g.expire(time.Now())
	return g
}

func (s *metaStore) serveJoin(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Group, Member string
		Topics        []string
		TTLMS         int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || len(in.Topics) == 0 {
		reply(w, 400, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(in.Group)
	if _, member := g.members[in.Member]; !member {
		g.generation++
	}
	g.members[in.Member] = time.Now().Add(time.Duration(in.TTLMS) * time.Millisecond)
	if g.holder == "" {
		g.holder = in.Member
		g.generation++
	}
	parts := [][]any{}
	if g.holder == in.Member {
		parts = append(parts, []any{in.Topics[0], 0, 0})
	}
	reply(w, 200, map[string]any{"generation": g.generation, "ttl_ms": in.TTLMS, "parts": parts})
}

func (s *metaStore) serveLeave(w http.ResponseWriter, r *http.Request) {
	var in struct{ Group, Member string }
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		reply(w, 400, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group(in.Group).remove(in.Member)
	reply(w, 200, map[string]any{})
}

// refusals returns how many appends were refused for their size.
func (s *metaStore) refusals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejected
}
