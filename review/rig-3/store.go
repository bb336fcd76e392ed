package main

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeServer is a stand-in for the platform's metadata store. All topics have parts partitions.
type storeServer struct {
	mu      sync.Mutex
	logs    map[string]*logPart
	groups  map[string]*storeGroup
	changed chan struct{}
}

type keyedRecord struct {
	key   string
	value []byte
}

type logPart struct {
	records   []keyedRecord
	newest    map[string]int
	producers map[string]*producer
}

type producer struct {
	epoch, seq uint64
	recent     map[uint64]appendAnswer
}

type appendAnswer struct {
	Offset int `json:"offset"`
	End    int `json:"end"`
}

type storeGroup struct {
	generation int64
	members    map[string]*groupMember
	// owner and assigned are the member that holds a partition and the one that gets it next.
	owner, assigned [storeParts]string
	topic           string
}

type groupMember struct {
	seen time.Time
	ttl  time.Duration
}

const storeParts = 4

func newStore() *storeServer {
	return &storeServer{logs: map[string]*logPart{}, groups: map[string]*storeGroup{}, changed: make(chan struct{})}
}

func (s *storeServer) part(topic, part string) *logPart {
	name := topic + "/" + part
	p := s.logs[name]
	if p == nil {
		p = &logPart{newest: map[string]int{}, producers: map[string]*producer{}}
		s.logs[name] = p
	}
	return p
}

// put appends records in the name of operators and workers.
func (s *storeServer) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(s.part(topic, "0"), []keyedRecord{{key, value}})
}

func (s *storeServer) append(p *logPart, records []keyedRecord) appendAnswer {
	answer := appendAnswer{Offset: len(p.records)}
	for _, r := range records {
		p.newest[r.key] = len(p.records)
		if len(r.value) == 0 {
			delete(p.newest, r.key)
		}
		p.records = append(p.records, r)
	}
	answer.End = len(p.records)
	close(s.changed)
	s.changed = make(chan struct{})
	return answer
}

func (s *storeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/log-append":
		s.serveAppend(w, r)
	case "/api/log-read":
		s.serveRead(w, r)
	case "/api/log-newest":
		s.serveNewest(w, r)
	case "/api/log-join", "/api/log-leave":
		s.serveGroup(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func decodeRecords(body []byte) []keyedRecord {
	var list []keyedRecord
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		content := body[4 : 4+n]
		body = body[4+n:]
		k := int(content[0])
		list = append(list, keyedRecord{string(content[1 : 1+k]), bytes.Clone(content[1+k:])})
	}
	return list
}

func (s *storeServer) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	records := decodeRecords(body)
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(q.Get("topic"), q.Get("part"))
	status, answer := s.carryOut(p, records, q.Get("producer"), q.Get("epoch"), q.Get("seq"))
	writeJSON(w, status, answer)
}

// carryOut appends records unless the producer's epoch or sequence number forbids it.
func (s *storeServer) carryOut(p *logPart, records []keyedRecord, name, epochText, seqText string) (int, any) {
	if name == "" {
		return 200, s.append(p, records)
	}
	epoch, _ := strconv.ParseUint(epochText, 10, 64)
	seq, _ := strconv.ParseUint(seqText, 10, 64)
	pr := p.producers[name]
	switch {
	case pr == nil:
		pr = &producer{epoch: epoch, recent: map[uint64]appendAnswer{}}
		p.producers[name] = pr
	case epoch < pr.epoch:
		return 409, map[string]any{"reason": "fenced"}
	case epoch > pr.epoch:
		pr.epoch, pr.recent = epoch, map[uint64]appendAnswer{}
	default:
		if a, ok := pr.recent[seq]; ok && len(records) > 0 {
			return 200, a
		}
		if len(records) > 0 && seq != pr.seq+1 {
			return 409, map[string]any{"reason": "seq", "seq": pr.seq + 1}
		}
	}
	if len(records) == 0 {
		pr.seq = seq
		return 200, appendAnswer{len(p.records), len(p.records)}
	}
	pr.seq = seq
	a := s.append(p, records)
	pr.recent[seq] = a
	delete(pr.recent, seq-5)
	return 200, a
}

func (s *storeServer) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	waitMS, _ := strconv.Atoi(q.Get("wait_ms"))
	maxKB, _ := strconv.Atoi(q.Get("max_kb"))
	if maxKB == 0 {
		maxKB = 1024
	}
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	s.mu.Lock()
	for {
		p, changed := s.part(q.Get("topic"), q.Get("part")), s.changed
		if from < len(p.records) || waitMS == 0 {
			break
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waitMS = 0
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
	}
	p := s.part(q.Get("topic"), q.Get("part"))
	out := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for i := from; i < len(p.records) && len(out) < maxKB*1024; i++ {
		rec := p.records[i]
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
		out = append(out, byte(len(rec.key)))
		out = append(out, rec.key...)
		out = append(out, rec.value...)
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	_, _ = w.Write(out)
}

func (s *storeServer) serveNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	answer := struct {
		Items []item `json:"items"`
		More  bool   `json:"more"`
		End   int    `json:"end"`
	}{Items: []item{}}
	s.mu.Lock()
	p := s.part(q.Get("topic"), q.Get("part"))
	var keys []string
	for k := range p.newest {
		if !q.Has("depends_on") || k > q.Get("depends_on") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	if len(keys) > 500 {
		keys, answer.More = keys[:500], true
	}
	for _, k := range keys {
		i := p.newest[k]
		answer.Items = append(answer.Items, item{k, base64.StdEncoding.EncodeToString(p.records[i].value), i})
	}
	answer.End = len(p.records)
	s.mu.Unlock()
	writeJSON(w, 200, answer)
}

func (s *storeServer) serveGroup(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Group, Member string
		Topics        []string
		TTLMS         int64 `json:"ttl_ms"`
		Generation    int64
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[in.Group]
	if g == nil {
		g = &storeGroup{members: map[string]*groupMember{}}
		s.groups[in.Group] = g
	}
	if strings.HasSuffix(r.URL.Path, "leave") {
		g.remove(in.Member)
		writeJSON(w, 200, map[string]any{})
		return
	}
	now := time.Now()
	for name, m := range g.members {
		if now.Sub(m.seen) > m.ttl {
			g.remove(name)
		}
	}
	g.topic = in.Topics[0]
	if g.members[in.Member] == nil {
		g.members[in.Member] = &groupMember{}
		g.distribute()
	}
	*g.members[in.Member] = groupMember{now, time.Duration(in.TTLMS) * time.Millisecond}
	var parts [][]any
	for i := range g.owner {
		if in.Generation >= g.generation && g.owner[i] == in.Member && g.assigned[i] != in.Member {
			g.owner[i] = ""
		}
		if g.assigned[i] == in.Member && (g.owner[i] == "" || g.owner[i] == in.Member) {
			g.owner[i] = in.Member
			parts = append(parts, []any{g.topic, i, 0})
		}
	}
	writeJSON(w, 200, map[string]any{"generation": g.generation, "ttl_ms": in.TTLMS, "parts": parts})
}

// distribute assigns the partitions evenly to the members.
func (g *storeGroup) distribute() {
	g.generation++
	var names []string
	for name := range g.members {
		names = append(names, name)
	}
	sort.Strings(names)
	for i := range g.assigned {
		g.assigned[i] = ""
		if len(names) > 0 {
			g.assigned[i] = names[i%len(names)]
		}
	}
}

func (g *storeGroup) remove(name string) {
	if g.members[name] == nil {
		return
	}
	delete(g.members, name)
	for i := range g.owner {
		if g.owner[i] == name {
			g.owner[i] = ""
		}
	}
	g.distribute()
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
