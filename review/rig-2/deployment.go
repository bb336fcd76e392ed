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
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes record.txt: what was sent, answered and run.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{file: f, started: time.Now()}, err
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// host is one host with its siskin-scheduler.
type host struct {
	name, zone, ip               string
	callers, readiness, settings string
	command                      *exec.Cmd
	exited                       chan struct{}
	output                       *os.File
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	log     *recorder
	dir     string
	store   *metaStore
	oracle  *oracle
	hosts   []*host
	workers []*worker
	client  *http.Client
	base    int
	// memoryMB is the memory that a process may use.
	memoryMB int
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// ip returns a loopback address of the deployment.
func (d *deployment) ip(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.base>>8, d.base&255, n)
}

func freePort(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func newDeployment(log *recorder, hosts, workersPerZone int, cpu, memMB int64) (*deployment, error) {
	dir, err := os.MkdirTemp("", "siskin-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{log: log, dir: dir, oracle: newOracle(log), base: 256*(16+rand.IntN(200)) + rand.IntN(256), memoryMB: 284}
	d.client = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
	if d.store, err = newMetaStore(d.ip(1)); err != nil {
		return d, err
	}
	for i := range hosts {
		h := &host{name: fmt.Sprintf("edge-%d", i+1), zone: zones[i%len(zones)], ip: d.ip(10 + i)}
		if err := d.writeSettings(h); err != nil {
			return d, err
		}
		d.hosts = append(d.hosts, h)
	}
	for z, zone := range zones {
		for i := range workersPerZone {
			w := &worker{
				id: fmt.Sprintf("i-%08x%02x", rand.Uint32(), i), zone: zone, rack: fmt.Sprintf("r%d-%d", z, i/8), ip: d.ip(100 + z),
				cpu: cpu, memMB: memMB, store: d.store, oracle: d.oracle,
			}
			if err := w.start(); err != nil {
				return d, err
			}
			d.workers = append(d.workers, w)
		}
	}
	return d, nil
}

func (d *deployment) writeSettings(h *host) error {
	var addrs [3]string
	for i := range addrs {
		a, err := freePort(h.ip)
		if err != nil {
			return err
		}
		addrs[i] = a
	}
	h.callers, h.readiness = addrs[0], addrs[1]
	value, err := json.Marshal(map[string]any{
		"host": h.name, "failure_domain": h.zone, "callers": h.callers, "readiness": h.readiness, "peer": addrs[2],
		"metrics": h.ip + ":9464", "store": d.store.addr, "memory_mb": d.memoryMB, "processors": 1, "link_mbps": 1000,
		"bounds": map[string]any{
			"max_lease_ms": maxHold.Milliseconds(), "stop_grace_ms": 900, "machine_lease_ms": 3000, "declarations_ms": 2000,
			"shutdown_s": 6, "remote_factor": 1.5, "retention_s": 120, "append_bytes": callBytes,
		},
	})
	if err != nil {
		return err
	}
	h.settings = filepath.Join(d.dir, h.name+".json")
	if h.output, err = os.Create(filepath.Join(d.dir, h.name+".log")); err != nil {
		return err
	}
	return os.WriteFile(h.settings, value, 0o600)
}

// startHost starts a host's process with the command of the deploy file.
func (d *deployment) startHost(h *host) error {
	h.command = exec.Command("target/siskin-scheduler")
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SISKINVANE_SETTINGS=" + h.settings}
	h.command.Stdout, h.command.Stderr = h.output, h.output
	if err := h.command.Start(); err != nil {
		return err
	}
	exited, command := make(chan struct{}), h.command
	h.exited = exited
	go func() {
		err := command.Wait()
		d.log.printf("process %d of %s has ended: %v", command.Process.Pid, h.name, err)
		close(exited)
	}()
	d.log.printf("process %d of %s started", command.Process.Pid, h.name)
	return nil
}

func (h *host) alive() bool {
	select {
	case <-h.exited:
		return false
	default:
		return h.command != nil
	}
}

func (h *host) signal(s os.Signal) { _ = h.command.Process.Signal(s) }

// residentMB returns the resident memory of a host's process.
func (h *host) residentMB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// stop ends all processes of the deployment.
func (d *deployment) stop() {
	for _, h := range d.hosts {
		if h.command != nil && h.alive() {
			h.signal(syscall.SIGKILL)
			<-h.exited
		}
		h.output.Close()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.dir)
	}
}

// start starts all processes and waits until the hosts are ready.
func (d *deployment) start(limit time.Duration) error {
	for _, h := range d.hosts {
		if err := d.startHost(h); err != nil {
			return err
		}
	}
	until := time.Now().Add(limit)
	for _, h := range d.hosts {
		for !d.ready(h) {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready after %v", h.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.log.printf("all %d hosts are ready", len(d.hosts))
	return nil
}

func (d *deployment) ready(h *host) bool {
	resp, err := d.client.Get("http://" + h.readiness + "/api/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}

// queueSpec is a route of the manifest.
type queueSpec struct {
	name, prefix        string
	priority, attempts  int
	stretch             float64
	targetMS, timeoutMS int64
}

func (d *deployment) declare(version int, queues []queueSpec) {
	routes := []map[string]any{}
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": q.name, "host": "jobs.example", "path_prefix": q.prefix, "type": "unsafe", "timeout_ms": q.timeoutMS,
			"target_duration_ms": q.targetMS, "priority": q.priority, "backend": "svc", "attempts": q.attempts, "stretch": q.stretch,
		})
	}
	value, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"backends": []map[string]any{{"name": "svc", "health_path": "/health", "max_conns": 64, "admission_control": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
	})
	if err != nil {
		panic(err)
	}
	d.store.put("keyed.op", "config", value)
	d.log.printf("the operator writes version %d of the manifest", version)
}

// jobSpec is a job that a client hands in.
type jobSpec struct {
	id, prefix string
	steps      []map[string]any
	kinds      []taskKind
	schedule   map[string]any
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (j jobSpec) tasks() int {
	n := 0
	for _, s := range j.steps {
		n += s["count"].(int)
	}
	return n
}

// know tells the workers how the tasks of a job run.
func (d *deployment) know(j jobSpec) []byte {
	text := "job " + j.id
	body := map[string]any{"spec": text, "steps": j.steps}
	for k, v := range j.schedule {
		body[k] = v
	}
	d.oracle.mu.Lock()
	defer d.oracle.mu.Unlock()
	d.oracle.specs[j.id] = text
	for i, k := range j.kinds {
		d.oracle.kinds[fmt.Sprintf("%s.%d", j.id, i)] = k
	}
	value, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return value
}

var errRefused = errors.New("refused")

// submit hands a job in and repeats the request as clients do. It returns nil once the job
// was accepted, and errRefused if every answer said that it was not.
func (d *deployment) submit(j jobSpec, tries int, quiet bool) error {
	body := d.know(j)
	refused := true
	for range tries {
		status, _ := d.call("POST", j.prefix+j.id, body)
		if !quiet {
			d.log.printf("POST %s (%d tasks): %d", j.id, j.tasks(), status)
		}
		if status/100 == 2 {
			return nil
		}
		refused = refused && (status == 429 || status == 503)
		time.Sleep(300 * time.Millisecond)
	}
	if refused {
		return errRefused
	}
	return errors.New("no answer")
}

// state asks for a job's state: its name, or the status code.
func (d *deployment) state(j jobSpec) string {
	status, body := d.call("GET", j.prefix+j.id, nil)
	var answer struct{ State string }
	if status == 200 && json.Unmarshal(body, &answer) == nil {
		return answer.State
	}
	return strconv.Itoa(status)
}

// call makes one request to a host that runs. The status is 0 if there was no answer.
func (d *deployment) call(method, path string, body []byte) (int, []byte) {
	var up []*host
	for _, h := range d.hosts {
		if h.alive() {
			up = append(up, h)
		}
	}
	if len(up) == 0 {
		return 0, nil
	}
	h := up[rand.IntN(len(up))]
	req, err := http.NewRequest(method, "http://"+h.callers+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = "jobs.example"
	req.Header.Set("X-Deadline-Ms", "3000")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	value, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, value
}

// load returns the share of the workers' processor time in use, and the runs.
func (d *deployment) load() (share float64, runs int) {
	var used, room int64
	for _, w := range d.workers {
		cpu, n := w.load()
		used, runs = used+cpu, runs+n
		w.mu.Lock()
		if w.up {
			room += w.cpu
		}
		w.mu.Unlock()
	}
	return float64(used) / float64(max(1, room)), runs
}

// counts returns how many tasks of a job have ended "done", have ended "failed" and run.
func (o *oracle) counts(id string) (done, failed, running, starts int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	prefix := id + "."
	for task, n := range o.starts {
		if strings.HasPrefix(task, prefix) {
			starts += n
			running += o.running[task]
			if o.done[task] > 0 {
				done++
			}
			failed += o.failed[task]
		}
	}
	return done, failed, running, starts
}
