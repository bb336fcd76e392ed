package main

import (
	"fmt"
	"time"
)

// scenarios are the cases by name.
var scenarios = map[string]func(record string){
	"advice":       slowAdvice,
	"crash-twice":  crashTwice,
	"crashes":      crashes,
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

// crashes: four workers crash one after the other, each two seconds after it has started the same
// task of five seconds.
func crashes(record string) {
	w := newWorld(record, 2, 8)
	w.durations = func(string, int) (time.Duration, string) { return 5 * time.Second, "done" }
	w.submit(jobPrefix, jobID, oneStep("batch", map[string]any{"count": 1, "estimate_ms": 5000}))
	name := task(jobID, 0, 0)
	for i := 0; w.trouble && i < 4; i++ {
		if !w.await(15*time.Second, func() bool { return len(w.runsOf(name)) == i+1 && w.running(name) != nil }) {
			w.breaks("LOST: the task is not started again after %d crashes", i)
			break
		}
		r := w.running(name)
		time.Sleep(time.Until(r.startedAt.Add(2 * time.Second)))
		k := w.worker(r.worker)
		k.crash()
		time.Sleep(time.Second)
		k.start()
	}
	state := ""
	w.await(25*time.Second, func() bool {
		state = w.state(jobPrefix, jobID)
		time.Sleep(300 * time.Millisecond)
		return state == "done" || state == "failed"
	})
	if state != "done" {
		w.breaks("LOST: the job is shown as %s, and none of its runs has ended failed", state)
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
