package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// scenarios are the cases by name.
var scenarios = map[string]func(record string){
	"wide-jobs":    wideJobs,
	"late-start":   lateStart,
	"late-ack":     lateAck,
	"advice":       slowAdvice,
	"crash-twice":  crashTwice,
	"queues":       queues,
	"lasting-done": lastingDone,
}

const jobID = "5c0e7a21d94b36f8"

func task(id string, step, index int) string { return fmt.Sprintf("%s.0.%d.%d", id, step, index) }

// oneStep is a job of one step.
func oneStep(spec string, step map[string]any) map[string]any {
	for name, v := range map[string]any{"cpu": 1000, "mem_mb": 256, "estimate_ms": 900} {
		if _, set := step[name]; !set {
			step[name] = v
		}
	}
	return map[string]any{"spec": spec, "steps": []map[string]any{step}}
}

// lasts is the behaviour of tasks that run until they are stopped.
func lasts(string, int) (time.Duration, string) { return forever, "done" }

// slowAdvice: the advice service takes the time that the manifest declares, which for thirty workers
// is over five seconds.
func slowAdvice(record string) {
	w := newWorld(record, 2, 40)
	w.durations = func(string, int) (time.Duration, string) { return 500 * time.Millisecond, "done" }
	w.advice.timing = map[string]any{"decide_ms": 500, "period_ms": 20, "valid_ms": 10000}
	if w.trouble {
		w.advice.timing = map[string]any{"decide_ms": 500, "period_ms": 160, "valid_ms": 10000}
	}
	w.declare(2)
	time.Sleep(3 * time.Second)
	w.submit(otherPrefix, jobID, oneStep("advised", map[string]any{"count": 2, "estimate_ms": 500}))
	if !w.await(60*time.Second, func() bool { return len(w.runsOf(task(jobID, 0, 0))) > 0 }) {
		w.breaks("LOST: the job was accepted 60 s ago, all 40 workers are free, and nothing of it was started; it is %s", w.state(otherPrefix, jobID))
	}
	w.judge()
}

// crashTwice: a worker crashes, is back under its id after a second, gets tasks that last, and is lost
// for good four seconds later.
func crashTwice(record string) {
	w := newWorld(record, 2, 8)
	w.durations = lasts
	const tasks = 24
	k := w.workers[0]
	time.Sleep(3 * time.Second)
	if w.trouble {
		k.crash()
		time.Sleep(time.Second)
		k.start()
	}
	time.Sleep(time.Second)
	w.submit(jobPrefix, jobID, oneStep("lasting", map[string]any{"count": tasks, "long_running": true, "anti_affinity": 4}))
	if !w.await(8*time.Second, func() bool { return w.countRunning(jobID, tasks) == tasks }) {
		w.cannotRun("the tasks are not started")
	}
	time.Sleep(3 * time.Second)
	if w.trouble {
		var lost []string
		for i := range tasks {
			if r := w.running(task(jobID, 0, i)); r.worker == k.id {
				lost = append(lost, r.task)
			}
		}
		if len(lost) == 0 {
			w.cannotRun("%s has got no task", k.id)
		}
		k.crash()
		crashed := time.Now()
		// Nothing disturbs the deployment from here on.
		for _, name := range lost {
			if !w.await(time.Until(crashed.Add(9*time.Second)), func() bool { return w.running(name) != nil }) {
				w.breaks("LOST: %s lasts and has not run for 9 s after its last run, without a disruption in these; its job is %s", name, w.state(jobPrefix, jobID))
			}
		}
		w.await(time.Until(crashed.Add(30*time.Second)), func() bool { return w.countRunning(jobID, tasks) == tasks })
		w.note("%d of %d tasks run %.1f s after the loss", w.countRunning(jobID, tasks), tasks, time.Since(crashed).Seconds())
	}
	w.judge()
}

// queues: a caller of the second queue uses the id of a job of the first one.
func queues(record string) {
	w := newWorld(record, 2, 4)
	w.durations = func(string, int) (time.Duration, string) { return 6 * time.Second, "done" }
	w.submit(jobPrefix, jobID, oneStep("first", map[string]any{"count": 1, "estimate_ms": 6000}))
	time.Sleep(2 * time.Second)
	if w.trouble {
		if state := w.state(otherPrefix, jobID); state != "gone" {
			w.breaks("MIXED: the second queue shows a job that nobody has submitted to it: %s", state)
		}
		w.call(w.hosts[1], "DELETE", otherPrefix+jobID, nil)
	}
	time.Sleep(8 * time.Second)
	if state := w.state(jobPrefix, jobID); state != "done" {
		w.breaks("LOST: the job of the first queue is shown as %s, and nobody has cancelled it there", state)
	}
	w.judge()
}

// lastingDone: the run of a task that lasts ends done.
func lastingDone(record string) {
	w := newWorld(record, 2, 4)
	w.durations = lasts
	w.submit(jobPrefix, jobID, oneStep("lasting", map[string]any{"count": 2, "long_running": true}))
	if !w.await(8*time.Second, func() bool { return w.countRunning(jobID, 2) == 2 }) {
		w.cannotRun("the tasks are not started")
	}
	time.Sleep(4 * time.Second)
	name := task(jobID, 0, 0)
	if w.trouble {
		w.worker(w.running(name).worker).endTask(name, "done")
	}
	time.Sleep(12 * time.Second)
	if w.running(name) == nil {
		w.breaks("LOST: %s lasts and has not run for 12 s after its last run; its job is %s", name, w.state(jobPrefix, jobID))
	}
	w.judge()
}

// lateStart: a worker leaves the orders to start a task unanswered, crashes, is back under its id, and
// carries the first of them out then, six seconds after it was sent.
func lateStart(record string) {
	w := newWorld(record, 2, 8)
	w.durations = func(name string, _ int) (time.Duration, string) {
		if strings.HasPrefix(name, jobID) {
			return 12 * time.Second, "done"
		}
		return forever, "done"
	}
	name := task(jobID, 0, 0)
	var mu sync.Mutex
	var late *worker
	var left *order
	for _, k := range w.workers {
		k.leaves = func(path string, o *order) bool {
			mu.Lock()
			defer mu.Unlock()
			if !w.trouble || path != "/api/run-start" || o.Task != name || o.Attempt != 1 || late != nil && late != k {
				return false
			}
			if left == nil {
				late, left = k, o
				w.note("worker %s leaves the start of %s attempt %d unanswered", k.id, o.Task, o.Attempt)
			}
			return true
		}
	}
	// Other work makes the last worker the first choice for the task, and then the last one.
	const before, after = "00000000000000c1", "00000000000000c2"
	w.submit(jobPrefix, before, oneStep("before", map[string]any{"count": 7, "cpu": 1500, "long_running": true, "anti_affinity": 1}))
	if !w.await(10*time.Second, func() bool { return w.countRunning(before, 7) == 7 }) {
		w.cannotRun("the other work is not started")
	}
	w.submit(jobPrefix, jobID, oneStep("batch", map[string]any{"count": 1, "estimate_ms": 12000}))
	began := time.Now()
	w.submit(jobPrefix, after, oneStep("after", map[string]any{"count": 1, "cpu": 4000, "long_running": true}))
	if !w.await(10*time.Second, func() bool { return w.running(name) != nil }) {
		w.cannotRun("the task is not started")
	}
	if w.trouble {
		time.Sleep(time.Until(began.Add(5 * time.Second)))
		late.crash()
		late.begins = func() { late.carryOutLate("/api/run-start", left) }
		time.Sleep(time.Second)
		late.start()
	}
	w.await(30*time.Second, func() bool { time.Sleep(500 * time.Millisecond); return w.state(jobPrefix, jobID) == "done" })
	w.judge()
}

// lateAck: a worker leaves a renewal unanswered, crashes and is back under its id. While the next
// renewal is under way as long, two tasks end there, and the first renewal is carried out.
func lateAck(record string) {
	w := newWorld(record, 2, 8)
	const later = "00000000000000b2"
	w.durations = func(name string, _ int) (time.Duration, string) {
		if strings.HasPrefix(name, later) {
			return 2500 * time.Millisecond, "done"
		}
		return 300 * time.Millisecond, "done"
	}
	k := w.workers[0]
	var mu sync.Mutex
	var left *order
	leaveNext, acked := false, 0
	k.leaves = func(path string, o *order) bool {
		mu.Lock()
		defer mu.Unlock()
		if path != "/api/hold" {
			return false
		}
		acked = max(acked, o.AckedThrough)
		if !leaveNext || left == nil && o.AckedThrough < 4 {
			return false
		}
		leaveNext = false
		if left == nil {
			left = o
		}
		w.note("worker %s leaves a hold unanswered, acked through %d", k.id, o.AckedThrough)
		return true
	}
	leave := func() { mu.Lock(); leaveNext = true; mu.Unlock() }
	isLeft := func() bool { mu.Lock(); defer mu.Unlock(); return left != nil }
	w.submit(jobPrefix, jobID, oneStep("first", map[string]any{"count": 4, "estimate_ms": 300, "requirements": k.rack}))
	if !w.await(10*time.Second, func() bool { mu.Lock(); defer mu.Unlock(); return acked >= 4 }) {
		w.cannotRun("the ends of the first job are not taken note of")
	}
	sent := time.Now()
	if w.trouble {
		leave()
		if !w.await(5*time.Second, isLeft) {
			w.cannotRun("no renewal to leave unanswered")
		}
		sent = time.Now()
		time.Sleep(500 * time.Millisecond)
		k.crash()
		time.Sleep(500 * time.Millisecond)
		k.start()
	}
	time.Sleep(500 * time.Millisecond)
	w.submit(jobPrefix, later, oneStep("second", map[string]any{"count": 2, "estimate_ms": 2500, "requirements": k.rack}))
	if !w.await(10*time.Second, func() bool { return w.countRunning(later, 2) == 2 }) {
		w.cannotRun("the second job is not started")
	}
	if w.trouble {
		last := w.running(task(later, 0, 1)).startedAt
		time.Sleep(time.Until(last.Add(1900 * time.Millisecond)))
		leave()
		time.Sleep(time.Until(last.Add(2600 * time.Millisecond)))
		w.note("the late renewal was sent %.1f s ago", time.Since(sent).Seconds())
		k.mu.Lock()
		k.carryOutLate("/api/hold", left)
		k.mu.Unlock()
	}
	w.await(20*time.Second, func() bool { time.Sleep(300 * time.Millisecond); return w.state(jobPrefix, later) == "done" })
	w.judge()
}

// memoryMB is the memory of a process, as on the site that the cases name.
const memoryMB = 284

// wideJobs: forty callers hand in a best-effort job each, with an image of its own and as many tasks
// as the program takes. Small jobs come before, beside and after them.
func wideJobs(record string) {
	w := newWorld(record, 3, 8)
	w.durations = func(string, int) (time.Duration, string) { return 400 * time.Millisecond, "done" }
	kills := w.limitMemory(memoryMB)
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	accepted := map[string]time.Time{}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
			}
			id := fmt.Sprintf("5ae11%011x", i)
			if status, _ := w.call(w.hosts[i%len(w.hosts)], "POST", jobPrefix+id, oneStep("small", map[string]any{"count": 1, "estimate_ms": 400})); status == 200 {
				mu.Lock()
				accepted[id] = time.Now()
				mu.Unlock()
			}
		}
	})
	perStep := 10
	if w.trouble {
		perStep = 10_000
	}
	wide := 0
	for i := range 40 {
		var steps []map[string]any
		for range 5 {
			steps = append(steps, map[string]any{"count": perStep, "cpu": 4000, "mem_mb": 256, "estimate_ms": 5000, "fills": true, "image": fmt.Sprintf("team-%d", i)})
		}
		if status, _ := w.call(w.hosts[i%len(w.hosts)], "POST", jobPrefix+fmt.Sprintf("a71de%011x", i), map[string]any{"spec": "wide", "steps": steps}); status == 200 {
			wide++
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.note("%d wide jobs are accepted", wide)
	time.Sleep(time.Until(w.began.Add(80 * time.Second)))
	close(stop)
	clients.Wait()
	// For 3 s a small job has nothing running: none of its runs went on in that time.
	from := time.Now()
	time.Sleep(3 * time.Second)
	waiting, busy := 0, w.reservedShare()
	for id, at := range accepted {
		if at.Before(from.Add(-10*time.Second)) && !w.ranSince(task(id, 0, 0), from) && w.state(jobPrefix, id) != "done" {
			waiting++
		}
	}
	w.note("%d small jobs are accepted, %d of them wait; %.2f of the workers' processors are reserved; kills: %v", len(accepted), waiting, busy, kills())
	if waiting > 0 && busy < 0.5 {
		w.breaks("LOST: %d of %d small jobs that were accepted over 10 s before have nothing running for 3 s, with %.0f%% of the processors reserved", waiting, len(accepted), 100*busy)
	}
	three := 0
	for _, n := range kills() {
		if n >= 3 {
			three++
		}
	}
	if three >= 2 {
		w.breaks("Fault: the processes of %d of %d hosts exceeded %d MB three times or more", three, len(w.hosts), memoryMB)
	}
	w.judge()
}
