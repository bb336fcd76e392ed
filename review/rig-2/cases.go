package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// entryQueue is the queue of short jobs, as the site file of a small deployment has them.
var entryQueue = queueSpec{name: "entries", prefix: "/entries/", priority: 0, attempts: 3, stretch: 1.5, targetMS: 250, timeoutMS: 3000}

// nightlyQueue is a queue of long jobs that may wait.
var nightlyQueue = queueSpec{name: "nightly", prefix: "/nightly/", priority: 2, attempts: 3, stretch: 3, targetMS: 60_000, timeoutMS: 3000}

// finishTime is how long after the end of the traffic jobs are asked for, and idleBound how long
// a job may have nothing running while there is room.
const (
	finishTime = 14 * time.Second
	idleBound  = 3 * time.Second
	ackBound   = 4 * time.Second
)

// entryJob returns a job of short tasks.
func entryJob() jobSpec {
	step := map[string]any{"count": 6, "cpu": 3100, "mem_mb": 6200, "estimate_ms": 640}
	kind := taskKind{runs: 640 * time.Millisecond, cpu: 3100}
	return jobSpec{id: newID(), prefix: entryQueue.prefix, steps: []map[string]any{step}, kinds: []taskKind{kind}}
}

// traffic hands in short jobs until it is stopped.
type traffic struct {
	d        *deployment
	mu       sync.Mutex
	accepted []jobSpec
	refused  int
	stopped  chan struct{}
	clients  sync.WaitGroup
}

func (d *deployment) startTraffic(pause time.Duration) *traffic {
	t := &traffic{d: d, stopped: make(chan struct{})}
	t.clients.Go(func() {
		for {
			select {
			case <-t.stopped:
				return
			case <-time.After(pause):
			}
			t.clients.Go(func() {
				j := entryJob()
				err := d.submit(j, 5, true)
				t.mu.Lock()
				defer t.mu.Unlock()
				if err == nil {
					t.accepted = append(t.accepted, j)
				} else {
					t.refused++
				}
			})
		}
	})
	return t
}

// stop ends the traffic and returns the accepted jobs.
func (t *traffic) stop() []jobSpec {
	close(t.stopped)
	t.clients.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.d.log.printf("the traffic ends: %d short jobs accepted, %d not", len(t.accepted), t.refused)
	return t.accepted
}

// crashShare crashes a share of the workers, chosen at random or by zone, and starts them again
// after down.
func (d *deployment) crashWorkers(list []*worker, down time.Duration) {
	for _, w := range list {
		w.crash()
	}
	d.log.printf("%d workers crash: %v ...", len(list), list[0])
	time.AfterFunc(down, func() {
		for _, w := range list {
			if err := w.start(); err != nil {
				d.log.printf("worker %v does not start: %v", w, err)
			}
		}
		d.log.printf("%d workers are back", len(list))
	})
}

// unacknowledged returns the share of the ends that workers have listed for longer than ackBound
// and that are not acknowledged, and their number.
func (d *deployment) unacknowledged() (share float64, n int) {
	for _, w := range d.workers {
		if age, ends := w.oldestEnd(); age > ackBound {
			n += ends
		}
	}
	d.oracle.mu.Lock()
	defer d.oracle.mu.Unlock()
	return float64(n) / float64(max(1, d.oracle.ends)), n
}

// wideJob loses the workers of one zone for some seconds while a job of many small tasks runs.
func wideJob(log *recorder, trouble bool) ([]string, error) {
	const steps, width, cpu = 3, 10_000, 30
	const startLimit, trafficTime = 30 * time.Second, 75 * time.Second
	d, err := newDeployment(log, 3, 22, 32_000, 125_000)
	defer d.stop()
	if err != nil {
		return nil, err
	}
	d.declare(1, []queueSpec{nightlyQueue, entryQueue})
	if err := d.start(15 * time.Second); err != nil {
		return nil, err
	}
	wide := jobSpec{id: newID(), prefix: nightlyQueue.prefix}
	for range steps {
		wide.steps = append(wide.steps, map[string]any{"count": width, "cpu": cpu, "mem_mb": 100, "estimate_ms": 40_000})
		wide.kinds = append(wide.kinds, taskKind{runs: 40 * time.Second, cpu: cpu})
	}
	if err := d.submit(wide, 5, false); err != nil {
		return nil, fmt.Errorf("the wide job: %w", err)
	}
	begun := time.Now()
	entries := d.startTraffic(500 * time.Millisecond)
	show := func() (done, running int) {
		done, _, running, starts := d.oracle.counts(wide.id)
		share, runs := d.load()
		log.printf("wide job: %d of %d tasks done, %d running, %d starts; %.0f%% of the room in use by %d runs", done, steps*width, running, starts, 100*share, runs)
		return done, running
	}
	for running := 0; running < steps*width && time.Since(begun) < startLimit; {
		time.Sleep(time.Second)
		_, running = show()
	}
	if done, running := show(); done > 0 || running < steps*width {
		return nil, fmt.Errorf("the tasks did not all run at the same time")
	}
	if trouble {
		var lost []*worker
		for _, w := range d.workers {
			if w.zone == zones[2] {
				lost = append(lost, w)
			}
		}
		d.crashWorkers(lost, 4500*time.Millisecond)
	}
	for time.Since(begun) < trafficTime {
		time.Sleep(4 * time.Second)
		show()
	}
	accepted := entries.stop()
	time.Sleep(finishTime)
	return d.judgeEnd(wide, accepted, show), nil
}

// judgeJobs asks for jobs at the end of a day and watches for idleBound whether one has nothing
// running, though tasks of it are not done and under half of the room is in use.
func (d *deployment) judgeJobs(jobs []jobSpec) (broken []string) {
	idle := jobs
	for begun := time.Now(); time.Since(begun) <= idleBound; time.Sleep(200 * time.Millisecond) {
		share, _ := d.load()
		idle = d.oracle.idle(idle)
		if share >= 0.5 {
			idle = nil
		}
	}
	for i, j := range idle {
		if i < 5 {
			done, _, _, _ := d.oracle.counts(j.id)
			d.log.printf("GET %s: %s; %d of %d tasks have ended done, and for %v none runs", j.id, d.state(j), done, j.tasks(), idleBound)
		}
	}
	if len(idle) > 0 {
		broken = append(broken, fmt.Sprintf("LOST: %d of %d accepted jobs have had nothing running for %v at the end, with tasks to run and room for them", len(idle), len(jobs), idleBound))
	}
	unknown := 0
	for _, j := range jobs {
		if state := d.state(j); state == "410" || state == "0" {
			unknown++
			d.log.printf("GET %s: %s", j.id, state)
		}
	}
	if unknown > 0 {
		broken = append(broken, fmt.Sprintf("LOST: %d of %d accepted jobs are not known or get no answer", unknown, len(jobs)))
	}
	return broken
}

// judgeEnd judges the jobs at the end of a day and shows the ends that are not acknowledged.
func (d *deployment) judgeEnd(wide jobSpec, accepted []jobSpec, show func() (done, running int)) (broken []string) {
	show()
	broken = d.judgeJobs([]jobSpec{wide})
	d.log.printf("GET %s: %s; the store has refused %d appends for their size", wide.id, d.state(wide), d.store.refusals())
	broken = append(broken, d.judgeJobs(accepted)...)
	share, n := d.unacknowledged()
	d.log.printf("%d ends (%.0f%% of all) are listed for over %v and not acknowledged", n, 100*share, ackBound)
	d.oracle.mu.Lock()
	defer d.oracle.mu.Unlock()
	return append(broken, d.oracle.broken...)
}

// cancelTime is how long after the acknowledgement of a cancel a machine may start tasks of the job
// (cancel_ms), and stopGrace how long they may then run on (stop_grace_ms).
const (
	cancelTime = 3 * time.Second
	stopGrace  = 900 * time.Millisecond
)

// cancel cancels a job of many small tasks while they run. Without the trouble it cancels one of a
// thousandth of the tasks.
func cancel(log *recorder, trouble bool) ([]string, error) {
	const steps, cpu = 5, 15
	width := 10_000
	if !trouble {
		width /= 1000
	}
	d, err := newDeployment(log, 3, 22, 32_000, 125_000)
	defer d.stop()
	if err != nil {
		return nil, err
	}
	d.declare(1, []queueSpec{nightlyQueue, entryQueue})
	if err := d.start(15 * time.Second); err != nil {
		return nil, err
	}
	entries := d.startTraffic(500 * time.Millisecond)
	wide := jobSpec{id: newID(), prefix: nightlyQueue.prefix}
	for range steps {
		wide.steps = append(wide.steps, map[string]any{"count": width, "cpu": cpu, "mem_mb": 100, "estimate_ms": 60_000})
		wide.kinds = append(wide.kinds, taskKind{runs: 60 * time.Second, cpu: cpu})
	}
	if err := d.submit(wide, 5, false); err != nil {
		return nil, fmt.Errorf("the wide job: %w", err)
	}
	time.Sleep(15 * time.Second)
	_, _, running, _ := d.oracle.counts(wide.id)
	log.printf("%d of %d tasks run", running, steps*width)
	acked := time.Time{}
	for range 5 {
		status, _ := d.call("DELETE", wide.prefix+wide.id, nil)
		log.printf("DELETE %s: %d", wide.id, status)
		if status/100 == 2 || status == 410 {
			acked = time.Now()
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	if acked.IsZero() {
		return nil, fmt.Errorf("no cancel was answered")
	}
	time.Sleep(cancelTime + stopGrace)
	var broken []string
	if _, _, late, starts := d.oracle.counts(wide.id); late > 0 {
		broken = append(broken, fmt.Sprintf("UNASKED: %d of %d tasks run on %.1f s after the cancel was acknowledged; %d starts", late, running, time.Since(acked).Seconds(), starts))
	}
	for running > 0 && time.Since(acked) < 40*time.Second {
		_, _, running, _ = d.oracle.counts(wide.id)
		log.printf("%.1f s after the cancel %d tasks run", time.Since(acked).Seconds(), running)
		time.Sleep(time.Second)
	}
	entries.stop()
	return broken, nil
}

// schedule hands in a job that is to run each minute and whose first time was some weeks ago, so
// that many of its times are due. The platform kills and restarts processes that use more memory
// than they may.
func schedule(log *recorder, trouble bool) ([]string, error) {
	const times, interval, past = 100_000, time.Minute, 60 * 24 * time.Hour
	d, err := newDeployment(log, 3, 22, 32_000, 125_000)
	defer d.stop()
	if err != nil {
		return nil, err
	}
	d.declare(1, []queueSpec{nightlyQueue, entryQueue})
	if err := d.start(15 * time.Second); err != nil {
		return nil, err
	}
	watched := d.watchMemory()
	entries := d.startTraffic(500 * time.Millisecond)
	time.Sleep(5 * time.Second)
	j := jobSpec{
		id: newID(), prefix: nightlyQueue.prefix,
		steps: []map[string]any{{"count": 20, "cpu": 500, "mem_mb": 500, "estimate_ms": 500}},
		kinds: []taskKind{{runs: 500 * time.Millisecond, cpu: 500}},
	}
	first := time.Now().Add(10 * time.Second)
	if trouble {
		first = time.Now().Add(-past)
	}
	j.schedule = map[string]any{"repeat_count": times, "start_at_ms": first.UnixMilli(), "interval_ms": interval.Milliseconds()}
	if err := d.submit(j, 5, false); err != nil {
		return nil, fmt.Errorf("the scheduled job: %w", err)
	}
	for range 12 {
		time.Sleep(5 * time.Second)
		done, _, running, starts := d.oracle.counts(j.id)
		log.printf("scheduled job: %d tasks done, %d running, %d starts", done, running, starts)
	}
	accepted := entries.stop()
	time.Sleep(finishTime)
	broken := d.judgeJobs(accepted)
	ends := watched()
	often := 0
	for name, n := range ends {
		log.printf("%s has exceeded its memory %d times", name, n)
		if n >= 3 {
			often++
		}
	}
	if often >= 2 {
		broken = append(broken, fmt.Sprintf("Fault: the processes of %d hosts have ended three times or more by exceeding their memory", often))
	}
	return broken, nil
}

// watchMemory kills the processes that use more memory than they may and starts ended ones again,
// as the platform does. The returned function ends that and returns how often each host's
// process was killed.
func (d *deployment) watchMemory() (stop func() map[string]int) {
	stopped, ended, ends := make(chan struct{}), make(chan struct{}), map[string]int{}
	go func() {
		defer close(ended)
		for {
			select {
			case <-stopped:
				return
			case <-time.After(50 * time.Millisecond):
			}
			for _, h := range d.hosts {
				if !h.alive() {
					if err := d.startHost(h); err != nil {
						d.log.printf("%s does not start: %v", h.name, err)
					}
					continue
				}
				if mb := h.residentMB(); mb > d.memoryMB {
					ends[h.name]++
					d.log.printf("%s uses %d MB of %d MB and is killed", h.name, mb, d.memoryMB)
					h.signal(syscall.SIGKILL)
					<-h.exited
				}
			}
		}
	}()
	return func() map[string]int {
		close(stopped)
		<-ended
		return ends
	}
}
