package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is a small deployment: hosts that run siskin-scheduler as processes of their own, and
// stand-ins for the store, the machine service, workers and clients in this process.
type world struct {
	began   time.Time
	trouble bool
	ip      string
	dir     string
	store   *storeServer
	cloud   *cloudServer
	advice  *adviceServer
	workers []*worker
	hosts   []*host
	// durations says how long a task runs and how it ends.
	durations func(task string, attempt int) (time.Duration, string)

	// processes guards the hosts' processes and ended, which is set once no more may start.
	processes sync.Mutex
	ended     bool

	mu     sync.Mutex
	record *os.File
	runs   map[string][]*runRecord
	broken []string
}

// runRecord is one run of a task.
type runRecord struct {
	worker, task  string
	life, attempt int
	startedAt     time.Time
	mu            sync.Mutex
	endedAt       time.Time
	how           string
	ackedAt       time.Time
	lasting       bool
	expected      time.Duration
}

func (r *runRecord) finish(how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.how == "" {
		r.endedAt, r.how = time.Now(), how
	}
}

// state returns when and how the run ended. The time is zero while it goes on.
func (r *runRecord) state() (endedAt time.Time, how string, ackedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endedAt, r.how, r.ackedAt
}

func (r *runRecord) percent() int {
	if r.lasting {
		return 100
	}
	return int(min(99, 100*time.Since(r.startedAt)/max(1, r.expected)))
}

const forever = time.Hour

// host is one machine that runs the program.
type host struct {
	w        *world
	name, ip string
	front    string
	settings string
	cmd      *exec.Cmd
	log      *os.File
	exited   chan struct{}
}

func newWorld(record string, hosts, workers int) *world {
	w := &world{began: time.Now(), trouble: os.Getenv("TROUBLE") != "0", store: newStore(), runs: map[string][]*runRecord{}}
	var err error
	if w.record, err = os.Create(record); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if w.dir, err = os.MkdirTemp("", "rig3-"); err != nil {
		w.cannotRun("%v", err)
	}
	// A network of its own keeps two runs at a time apart: the metrics' port is fixed.
	w.ip = fmt.Sprintf("127.%d.%d.1", 10+os.Getpid()%200, 1+os.Getpid()/200%250)
	w.durations = func(string, int) (time.Duration, string) { return time.Second, "done" }
	w.cloud = &cloudServer{w: w}
	w.advice = &adviceServer{w: w}
	storeAddr, cloudAddr, adviceAddr := w.listen(w.store), w.listen(w.cloud), w.listen(w.advice)
	for i := range workers {
		k := &worker{w: w, id: fmt.Sprintf("i-%02d", i), service: "svc", zone: fmt.Sprintf("z%d", i%2), rack: fmt.Sprintf("r%d", i), cpu: 16000, memMB: 64000}
		k.addr = fmt.Sprintf("%s%d:8080", strings.TrimSuffix(w.ip, "1"), 100+i)
		w.workers = append(w.workers, k)
		k.start()
	}
	w.declare(1)
	for i := range hosts {
		w.hosts = append(w.hosts, w.newHost(i, storeAddr, cloudAddr, adviceAddr))
	}
	for _, h := range w.hosts {
		h.start()
	}
	return w
}

func (w *world) listen(h http.Handler) string {
	ln, err := net.Listen("tcp", w.ip+":0")
	if err != nil {
		w.cannotRun("%v", err)
	}
	go func() { _ = http.Serve(ln, h) }()
	return ln.Addr().String()
}

const (
	jobHost     = "jobs.example"
	jobPrefix   = "/q1/"
	otherPrefix = "/q2/"
)

// declare writes a version of the manifest.
func (w *world) declare(version int) {
	value, _ := json.Marshal(map[string]any{
		"version":  version,
		"routes":   w.routes(),
		"backends": []map[string]any{{"name": "svc", "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "admission_control": false, "standby": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	w.store.put("keyed.op", "config", value)
}

// routes returns two queues. The second one has advice if the scenario sets its timing.
func (w *world) routes() []map[string]any {
	var list []map[string]any
	for i, prefix := range []string{jobPrefix, otherPrefix} {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("r-%d", i+1), "host": jobHost, "path_prefix": prefix, "type": "unsafe", "timeout_ms": 3000, "target_duration_ms": 2500,
			"priority": 0, "backend": "svc", "attempts": 3, "stretch": 2.0,
		})
	}
	if t := w.advice.timing; t != nil {
		list[1]["advice"] = t
	}
	return list
}

// newHost fills the template of the deploy file for one host.
func (w *world) newHost(i int, storeAddr, cloudAddr, adviceAddr string) *host {
	h := &host{w: w, name: fmt.Sprintf("edge-%d", i), ip: strings.TrimSuffix(w.ip, "1") + fmt.Sprint(10+i)}
	h.front = h.ip + ":8161"
	values := map[string]any{
		"node_name": h.name, "zone": fmt.Sprintf("z%d", i%2), "ip": h.ip,
		"listen_addrs": map[string]any{"front": h.front, "readiness": h.ip + ":8167"},
		"port_range":   []any{7720, 7735}, "platform": map[string]any{"address": storeAddr, "call_bytes": 2097152},
		"cloud": map[string]any{"address": cloudAddr}, "advice": adviceAddr,
		"limits": map[string]any{"memory_mb": memoryMB, "cores": 1, "max_fds": 4100, "link_mbps": 1000.0},
		"bounds": map[string]any{
			"max_hold_ms": maxHoldMS, "stop_grace_ms": 900, "lease_ms": 3000, "config_apply_ms": 2000, "grace_s": 6,
			"remote_factor": 1.5, "status_s": 120,
		},
	}
	text, err := os.ReadFile(w.deployed("template"))
	if err != nil {
		w.cannotRun("%v", err)
	}
	h.settings = filepath.Join(w.dir, h.name+".json")
	if err := os.WriteFile(h.settings, fill(text, values), 0o600); err != nil {
		w.cannotRun("%v", err)
	}
	return h
}

// deployed returns a text of the deploy file's only role.
func (w *world) deployed(name string) string {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		w.cannotRun("%v", err)
	}
	m := regexp.MustCompile(`(?m)^` + name + ` = "(.*)"$`).FindSubmatch(text)
	if m == nil {
		w.cannotRun("the deploy file names no %s", name)
	}
	return string(m[1])
}

var (
	section = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/([a-z_.]+)\}\}`)
	value   = regexp.MustCompile(`\{\{([a-z0-9_.]+)(\|json)?\}\}`)
)

// fill fills a template as the platform does, as far as the project's template needs it.
func fill(text []byte, values map[string]any) []byte {
	find := func(path string) any {
		var v any = values
		for _, name := range strings.Split(path, ".") {
			switch in := v.(type) {
			case map[string]any:
				v = in[name]
			case []any:
				v = in[0]
			default:
				return nil
			}
		}
		return v
	}
	text = section.ReplaceAllFunc(text, func(m []byte) []byte {
		parts := section.FindSubmatch(m)
		if find(string(parts[1])) == nil {
			return nil
		}
		return parts[2]
	})
	return value.ReplaceAllFunc(text, func(m []byte) []byte {
		parts := value.FindSubmatch(m)
		v := find(string(parts[1]))
		if len(parts[2]) > 0 {
			out, _ := json.Marshal(v)
			return out
		}
		return fmt.Append(nil, v)
	})
}

func (h *host) start() {
	log, err := os.OpenFile(filepath.Join(h.w.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		h.w.cannotRun("%v", err)
	}
	h.log = log
	command := strings.Fields(h.w.deployed("run"))
	h.cmd = exec.Command(command[0], command[1:]...)
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SISKINVANE_SETTINGS=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	if err := h.cmd.Start(); err != nil {
		h.w.cannotRun("%v", err)
	}
	h.exited = make(chan struct{})
	h.w.note("host %s starts", h.name)
	go func() {
		_ = h.cmd.Wait()
		close(h.exited)
		h.w.note("host %s has ended: %v", h.name, h.cmd.ProcessState)
	}()
}

// limitMemory kills each process whose resident memory exceeds limitMB, and starts it again a second
// later, as the platform does. The function returned tells how often, by host.
func (w *world) limitMemory(limitMB int) (kills func() []int) {
	counts := make([]int, len(w.hosts))
	var mu sync.Mutex
	for i, h := range w.hosts {
		go func() {
			for {
				time.Sleep(50 * time.Millisecond)
				resident := h.residentMB()
				if resident <= limitMB {
					continue
				}
				w.note("host %s takes %d MB and is killed", h.name, resident)
				mu.Lock()
				counts[i]++
				mu.Unlock()
				h.restart(time.Second)
			}
		}()
	}
	return func() []int {
		mu.Lock()
		defer mu.Unlock()
		return append([]int(nil), counts...)
	}
}

// residentMB returns the resident memory of the host's process, or 0 if that has ended.
func (h *host) residentMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	m := resident.FindSubmatch(text)
	if m == nil {
		return 0
	}
	kB, _ := strconv.Atoi(string(m[1]))
	return kB / 1024
}

var resident = regexp.MustCompile(`(?m)^VmRSS:\s+(\d+) kB`)

// restart kills the host's process and starts it again after a pause, unless the run ends.
func (h *host) restart(pause time.Duration) {
	h.w.processes.Lock()
	_ = h.cmd.Process.Signal(syscall.SIGKILL)
	<-h.exited
	h.w.processes.Unlock()
	time.Sleep(pause)
	h.w.processes.Lock()
	defer h.w.processes.Unlock()
	if !h.w.ended {
		h.start()
	}
}

// ranSince reports whether a run of a task went on at the given time or later.
func (w *world) ranSince(task string, at time.Time) bool {
	for _, r := range w.runsOf(task) {
		if endedAt, _, _ := r.state(); endedAt.IsZero() || endedAt.After(at) {
			return true
		}
	}
	return false
}

// reservedShare returns the share of the workers' processors that running tasks reserve. All tasks of
// a scenario that uses it take one core at least; those that fill reserve none, and are counted all the same.
func (w *world) reservedShare() float64 {
	reserved, all := 0, 0
	for _, k := range w.workers {
		k.mu.Lock()
		reserved += 4000 * len(k.life.running)
		all += k.cpu
		k.mu.Unlock()
	}
	return float64(reserved) / float64(all)
}

func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that a rule is broken.
func (w *world) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.note("BROKEN %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, text)
}

func (w *world) cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	w.end(2)
}

// end ends all processes and exits.
func (w *world) end(code int) {
	w.processes.Lock()
	w.ended = true
	for _, h := range w.hosts {
		if h.cmd != nil && h.cmd.Process != nil {
			_ = h.cmd.Process.Signal(syscall.SIGCONT)
			_ = h.cmd.Process.Signal(syscall.SIGKILL)
			<-h.exited
		}
	}
	if dir := os.Getenv("KEEP_LOGS"); dir != "" {
		for _, h := range w.hosts {
			text, _ := os.ReadFile(filepath.Join(w.dir, h.name+".log"))
			_ = os.WriteFile(filepath.Join(dir, h.name+".log"), text, 0o600)
		}
	}
	_ = os.RemoveAll(w.dir)
	os.Exit(code)
}

// judge ends the run with the outcome.
func (w *world) judge() {
	w.mu.Lock()
	broken := w.broken
	w.mu.Unlock()
	for _, text := range broken {
		fmt.Println("broken:", text)
	}
	if len(broken) > 0 {
		w.end(1)
	}
	fmt.Println("held")
	w.end(0)
}

func (w *world) behaviour(task string, attempt int) (time.Duration, string) {
	return w.durations(task, attempt)
}

// begin records that a run begins, and whether it is the second at a time.
func (w *world) begin(k *worker, l *life, o *order) *runRecord {
	duration, _ := w.behaviour(o.Task, o.Attempt)
	r := &runRecord{worker: k.id, task: o.Task, life: l.number, attempt: o.Attempt, startedAt: time.Now(), lasting: duration >= forever, expected: duration}
	w.mu.Lock()
	earlier := w.runs[o.Task]
	w.runs[o.Task] = append(earlier, r)
	w.mu.Unlock()
	for _, e := range earlier {
		endedAt, how, ackedAt := e.state()
		switch {
		case endedAt.IsZero():
			w.breaks("TWICE: %s attempt %d starts on %s while attempt %d runs on %s", o.Task, o.Attempt, k.id, e.attempt, e.worker)
		case how == "done" && !e.lasting && !ackedAt.IsZero():
			w.breaks("TWICE: %s attempt %d starts on %s after attempt %d has ended done on %s, and that end was taken note of", o.Task, o.Attempt, k.id, e.attempt, e.worker)
		}
	}
	return r
}

// acknowledged records that the end of a run was taken note of.
func (w *world) acknowledged(l *life, r *runRecord) {
	w.note("end of %s attempt %d (%s) on %s is taken note of", r.task, r.attempt, r.how, r.worker)
	r.mu.Lock()
	done, ended := r.how == "done" && !r.lasting, r.endedAt
	counts := done && !l.lapsedAt.After(ended)
	if counts {
		r.ackedAt = time.Now()
	}
	r.mu.Unlock()
	if !counts {
		// The end of a run whose lease lapsed before it was taken note of does not count.
		return
	}
	for _, other := range w.runsOf(r.task) {
		if other.startedAt.After(ended) {
			w.breaks("TWICE: %s attempt %d started on %s after attempt %d had ended done, and that end is taken note of", r.task, other.attempt, other.worker, r.attempt)
		}
	}
}

func (w *world) runsOf(task string) []*runRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*runRecord(nil), w.runs[task]...)
}

// running returns the run of a task that goes on, or nil.
func (w *world) running(task string) *runRecord {
	for _, r := range w.runsOf(task) {
		if endedAt, _, _ := r.state(); endedAt.IsZero() {
			return r
		}
	}
	return nil
}

// countRunning counts the first n tasks of a job's first step that run.
func (w *world) countRunning(id string, n int) int {
	running := 0
	for i := range n {
		if w.running(task(id, 0, i)) != nil {
			running++
		}
	}
	return running
}

func (w *world) worker(id string) *worker {
	for _, k := range w.workers {
		if k.id == id {
			return k
		}
	}
	return nil
}

// call makes one call of a client.
func (w *world) call(h *host, method, path string, body any) (int, string) {
	var in io.Reader
	if body != nil {
		text, _ := json.Marshal(body)
		in = bytes.NewReader(text)
	}
	r, err := http.NewRequest(method, "http://"+h.front+path, in)
	if err != nil {
		w.cannotRun("%v", err)
	}
	r.Host = jobHost
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", "3000")
	client := http.Client{Timeout: 3 * time.Second}
	resp, err := client.Do(r)
	if err != nil {
		w.note("client: %s %s at %s: no answer", method, path, h.name)
		return 0, ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	w.note("client: %s %s at %s: %d %s", method, path, h.name, resp.StatusCode, text)
	return resp.StatusCode, string(text)
}

// submit hands a job in until it is accepted.
func (w *world) submit(prefix, id string, spec map[string]any) {
	for try := 0; try < 40; try++ {
		if status, _ := w.call(w.hosts[try%len(w.hosts)], "POST", prefix+id, spec); status == 200 {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	w.cannotRun("job %s is not accepted", id)
}

// state asks for the state of a job of a queue.
func (w *world) state(prefix, id string) string {
	for _, h := range w.hosts {
		status, text := w.call(h, "GET", prefix+id, nil)
		var out struct{ State string }
		if status == 200 && json.Unmarshal([]byte(text), &out) == nil {
			return out.State
		}
		if status == 410 {
			return "gone"
		}
	}
	return "no answer"
}

// await waits until ok holds, and reports whether it does in time.
func (w *world) await(timeout time.Duration, ok func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return ok()
}
