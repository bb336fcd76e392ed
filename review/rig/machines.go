package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sort"
	"sync"
	"time"
)

// upkeepTime is how long a machine is down for its upkeep.
const upkeepTime = 2 * time.Second

// Machines is a stand-in for the platform's machine service. Each worker has a machine.
type Machines struct {
	record *Record

	mu      sync.Mutex
	workers map[string]*Worker
	down    map[string]bool
	waves   map[int64][]string
	begun   map[int64][]string
}

func newMachines(rec *Record) *Machines {
	return &Machines{record: rec, workers: map[string]*Worker{}, down: map[string]bool{}, waves: map[int64][]string{}, begun: map[int64][]string{}}
}

func machineOf(w *Worker) string { return "m-" + w.id }

func (m *Machines) add(w *Worker) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.workers[machineOf(w)] = w
}

// DeclareWave writes a wave as the operator does.
func (m *Machines) DeclareWave(store *Store, number int64, maxCount int, workers ...*Worker) {
	var names []string
	for _, w := range workers {
		names = append(names, machineOf(w))
	}
	m.mu.Lock()
	m.waves[number] = names
	m.mu.Unlock()
	value, err := json.Marshal(map[string]any{"wave": number, "machines": names, "duration_s": 20, "max_count": maxCount})
	if err == nil {
		store.Put("keyed.op", "wave/1", value)
	}
}

// ServeHTTP implements http.Handler.
func (m *Machines) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch r.URL.Path {
	case "/api/machines":
		m.list(out)
	case "/api/machine-upkeep":
		m.upkeep(out, r, body)
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

func (m *Machines) list(out http.ResponseWriter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := make([]string, 0, len(m.workers))
	for name := range m.workers {
		names = append(names, name)
	}
	sort.Strings(names)
	machines := []map[string]any{}
	for _, name := range names {
		w, state := m.workers[name], "up"
		if m.down[name] {
			state = "upkeep"
		}
		machines = append(machines, map[string]any{
			"machine": name, "pool": w.service, "state": state, "zone": w.zone, "labels": w.labels,
			"room": map[string]int64{"cpu": w.milliCPU, "mem_mb": w.memMB, "gpu": 0}, "id": w.id,
		})
	}
	reply(out, http.StatusOK, map[string]any{"machines": machines, "next_token": nil})
}

func (m *Machines) upkeep(out http.ResponseWriter, r *http.Request, body []byte) {
	var in struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	if json.Unmarshal(body, &in) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.workers[in.Machine]
	switch {
	case w == nil:
		out.WriteHeader(http.StatusBadRequest)
		return
	case !slices.Contains(m.waves[in.Wave], in.Machine):
		reply(out, http.StatusConflict, map[string]string{"reason": "wave"})
		return
	case slices.Contains(m.begun[in.Wave], in.Machine):
		reply(out, http.StatusOK, map[string]any{})
		return
	case m.down[in.Machine]:
		reply(out, http.StatusConflict, map[string]string{"reason": "busy"})
		return
	}
	m.begun[in.Wave] = append(m.begun[in.Wave], in.Machine)
	m.down[in.Machine] = true
	m.record.line("upkeep of %s begins (wave %d, holder %s, token %s)", in.Machine, in.Wave, r.Header.Get("X-Lease-Holder"), r.Header.Get("X-Fencing-Token"))
	w.Crash()
	w.RemoveEntry()
	time.AfterFunc(upkeepTime, func() {
		if err := w.Restart(); err != nil {
			m.record.line("worker %s cannot start again: %v", w.id, err)
		}
		m.mu.Lock()
		delete(m.down, in.Machine)
		m.mu.Unlock()
	})
	reply(out, http.StatusOK, map[string]any{})
}
