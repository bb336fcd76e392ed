package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// program is the run command of the role "scheduler" in deploy/system.toml.
const program = "target/siskin-scheduler"

// Names of the small deployment. Each queue serves one case.
const (
	clientHost = "jobs.example"
	prefix     = "/jobs/"
	service    = "diario"
)

// Host is one process of the system with its addresses.
type Host struct {
	name, front, readiness, peer, settings, log string
	cmd                                         *exec.Cmd
	ended                                       chan struct{}
}

// System is a small deployment: the stand-ins of the platform and the system's processes.
type System struct {
	record   *Record
	store    *Store
	machines *Machines
	workers  []*Worker
	hosts    []*Host
	dir      string
	cloud    string
	platform string
	servers  []*http.Server
}

// deployment says how large a System is.
type deployment struct {
	hosts, workers  int
	milliCPU, memMB int64
	// attempts is how often a task may fail.
	attempts int
}

func serve(h http.Handler) (addr string, server *http.Server, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server = &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(ln) }()
	return ln.Addr().String(), server, nil
}

// Ports of the hosts lie below those that systems use for outgoing connections, which could
// otherwise take one before its host listens.
const (
	firstPort = 20000
	ports     = 12000
)

// freeAddr returns a loopback address with a port that is free now.
func freeAddr() (string, error) {
	var err error
	for range 100 {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports))
		var ln net.Listener
		if ln, err = net.Listen("tcp", addr); err == nil {
			return addr, ln.Close()
		}
	}
	return "", err
}

// startSystem starts the stand-ins and the processes, and waits until all hosts are ready
// and one accepts jobs.
func startSystem(d deployment) (*System, error) {
	s := &System{record: newRecord(), store: newStore()}
	s.machines = newMachines(s.record)
	var err error
	if s.dir, err = os.MkdirTemp("", "review"); err != nil {
		return s, err
	}
	for _, part := range []struct {
		addr    *string
		handler http.Handler
	}{{&s.platform, s.store}, {&s.cloud, s.machines}} {
		addr, server, err := serve(part.handler)
		if err != nil {
			return s, err
		}
		*part.addr, s.servers = addr, append(s.servers, server)
	}
	manifest, err := json.Marshal(map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "r-jobs", "host": clientHost, "path_prefix": prefix, "type": "unsafe", "timeout_ms": 3000,
			"target_duration_ms": 2000, "priority": 0, "backend": service, "attempts": d.attempts, "stretch": 2.0,
		}},
		"backends": []map[string]any{{"name": service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "admission_control": false, "standby": false}},
		"limits":   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		return s, err
	}
	s.store.Put("keyed.op", "config", manifest)
	for i := range d.workers {
		w, err := newWorker(fmt.Sprintf("i-%08x", 0x51000000+i), service, "zone-1", []string{"a", fmt.Sprintf("r1-%d", 1+i/8)}, d.milliCPU, d.memMB, s.store, s.record)
		if err != nil {
			return s, err
		}
		s.workers = append(s.workers, w)
		s.machines.add(w)
	}
	for i := range d.hosts {
		h, err := s.newHost(i)
		if err != nil {
			return s, err
		}
		s.hosts = append(s.hosts, h)
		if err := h.start(); err != nil {
			return s, err
		}
	}
	return s, s.awaitReady()
}

// newHost writes the settings file of a host, with the fields of deploy/settings.json.tmpl.
func (s *System) newHost(i int) (*Host, error) {
	h := &Host{name: fmt.Sprintf("edge-%d", i+1)}
	for _, addr := range []*string{&h.front, &h.readiness, &h.peer} {
		var err error
		if *addr, err = freeAddr(); err != nil {
			return nil, err
		}
	}
	settings, err := json.Marshal(map[string]any{
		"host": h.name, "failure_domain": "zone-1", "callers": h.front, "readiness": h.readiness, "peer": h.peer,
		"store": s.platform, "machines": s.cloud, "memory_mb": 284, "processors": 1, "link_mbps": 1000.0,
		"bounds": map[string]any{
			"max_lease_ms": 10000, "stop_grace_ms": 900, "machine_lease_ms": 3000, "declarations_ms": 2000, "shutdown_s": 6,
			"remote_factor": 1.5, "retention_s": 120, "append_bytes": 2097152,
		},
	})
	if err != nil {
		return nil, err
	}
	h.settings, h.log = filepath.Join(s.dir, h.name+".json"), filepath.Join(s.dir, h.name+".log")
	return h, os.WriteFile(h.settings, settings, 0o644)
}

func (h *Host) start() error {
	out, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(program)
	cmd.Env = []string{"SISKINVANE_SETTINGS=" + h.settings, "PATH=" + os.Getenv("PATH")}
	cmd.Stdout, cmd.Stderr = out, out
	// The process ends with this one, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.cmd, h.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

func (h *Host) signal(sig syscall.Signal) error { return h.cmd.Process.Signal(sig) }

// kill kills the process and waits until it is gone.
func (h *Host) kill() {
	if h.cmd != nil {
		_ = h.cmd.Process.Kill()
		<-h.ended
	}
}

func (s *System) awaitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for _, h := range s.hosts {
		for !isReady(h) {
			if time.Now().After(deadline) {
				return fmt.Errorf("host %s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	for s.owner() == nil {
		if time.Now().After(deadline) {
			return errors.New("no host gives orders")
		}
		time.Sleep(50 * time.Millisecond)
	}
	// The owner reaches all workers and measures for some seconds before it judges load.
	time.Sleep(4 * time.Second)
	return nil
}

func isReady(h *Host) bool {
	resp, err := http.Get("http://" + h.readiness + "/api/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// owner returns the host that the platform gave the partition of the jobs to, or nil.
func (s *System) owner() *Host {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	g := s.store.groups["shards"]
	if g == nil {
		return nil
	}
	for _, h := range s.hosts {
		if name := g.holder[0]; len(name) > len(h.name) && name[:len(h.name)+1] == h.name+"-" {
			return h
		}
	}
	return nil
}

// stop ends all processes and keeps their logs if KEEP_LOGS names a folder.
func (s *System) stop() {
	for _, h := range s.hosts {
		if h.cmd != nil {
			_ = h.signal(syscall.SIGCONT)
		}
		h.kill()
		if to := os.Getenv("KEEP_LOGS"); to != "" {
			if data, err := os.ReadFile(h.log); err == nil {
				_ = os.WriteFile(filepath.Join(to, h.name+".log"), data, 0o644)
			}
		}
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	if s.dir != "" {
		_ = os.RemoveAll(s.dir)
	}
}

// step is a step of a job as clients submit it.
type step struct {
	Count         int   `json:"count"`
	CPU           int64 `json:"cpu"`
	MemMB         int64 `json:"mem_mb"`
	EstimateMS    int64 `json:"estimate_ms,omitempty"`
	DependsOn     []int `json:"depends_on,omitempty"`
	Checkpointing bool  `json:"checkpointing,omitempty"`
	LongRunning   bool  `json:"long_running,omitempty"`
	MayMiss       int   `json:"may_miss,omitempty"`
	AntiAffinity  int   `json:"anti_affinity,omitempty"`
}

// answer is what a client got; status is 0 if it got none.
type answer struct {
	status int
	state  string
}

// call makes one call of a client to a host, which leaves after the given time.
func (s *System) call(h *Host, method, id string, body []byte, leaves time.Duration) answer {
	req, err := http.NewRequest(method, "http://"+h.front+prefix+id, bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	req.Host = clientHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", strconv.Itoa(3000))
	client := &http.Client{Timeout: leaves, Transport: &http.Transport{DisableKeepAlives: true}}
	s.record.line("client sends %s %s to %s", method, id, h.name)
	resp, err := client.Do(req)
	if err != nil {
		s.record.line("client has no answer to %s %s from %s and leaves", method, id, h.name)
		return answer{}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		s.record.line("client has no whole answer to %s %s from %s", method, id, h.name)
		return answer{}
	}
	a := answer{status: resp.StatusCode}
	var state struct {
		State string `json:"state"`
	}
	if json.Unmarshal(data, &state) == nil {
		a.state = state.State
	}
	s.record.line("client gets %d %s to %s %s from %s", a.status, a.state, method, id, h.name)
	return a
}

const clientTimeout = 3 * time.Second

// submit hands a job in until it is accepted, at one host after the other.
func (s *System) submit(id string, p payload, steps ...step) error {
	body, err := jobBody(p, steps)
	if err != nil {
		return err
	}
	for try := range 10 {
		if s.call(s.hosts[try%len(s.hosts)], "POST", id, body, clientTimeout).status == 200 {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

func jobBody(p payload, steps []step) ([]byte, error) {
	spec, err := json.Marshal(p)
	if err != nil {
		return nil, err
	}
	return json.Marshal(map[string]any{"spec": string(spec), "steps": steps})
}
