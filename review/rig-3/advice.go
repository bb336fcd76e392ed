package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// adviceServer is a stand-in for the platform's advice service. It permits every worker, and
// handles one call at a time for each calling machine, in turn.
type adviceServer struct {
	w *world
	// timing is the advice of the second queue in the manifest, or nil.
	timing map[string]any

	mu      sync.Mutex
	callers map[string]*sync.Mutex
	tickets int
	calls   int
}

func (a *adviceServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Step    string
		Workers []string
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || len(in.Workers) > 100 {
		w.WriteHeader(400)
		return
	}
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	a.mu.Lock()
	if a.callers == nil {
		a.callers = map[string]*sync.Mutex{}
	}
	turn := a.callers[host]
	if turn == nil {
		turn = &sync.Mutex{}
		a.callers[host] = turn
	}
	a.calls++
	a.mu.Unlock()
	turn.Lock()
	defer turn.Unlock()
	if r.Context().Err() != nil {
		return
	}
	took := time.Duration(a.ms("decide_ms")+a.ms("period_ms")*len(in.Workers)) * time.Millisecond
	a.w.note("advice on %s for %d workers is asked for, takes %v", in.Step, len(in.Workers), took)
	select {
	case <-time.After(took):
	case <-r.Context().Done():
		a.w.note("advice on %s is not waited for", in.Step)
		return
	}
	var good [][]string
	a.mu.Lock()
	for _, id := range in.Workers {
		a.tickets++
		good = append(good, []string{id, fmt.Sprintf("t-%d", a.tickets)})
	}
	a.mu.Unlock()
	writeJSON(w, 200, map[string]any{"good": good, "valid_ms": a.ms("valid_ms")})
}

func (a *adviceServer) ms(name string) int {
	ms, _ := a.timing[name].(int)
	return ms
}
