package scheduler_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
	"github.com/siskinvane/siskinvane/internal/standin/cluster"
	"github.com/siskinvane/siskinvane/internal/version/queue"
)

const (
	service   platform.ServiceName = "reports"
	queueName queue.Name           = "digest"
	// round is the time between two looks at each worker in a rig.
	round = 50 * time.Millisecond
)

var bounds = scheduler.Bounds{
	MaxLease: 10 * time.Second, StopGrace: time.Second, RemoteFactor: 1.5,
}

// rig runs a shard against a cluster, one round after the other, without
// goroutines.
type rig struct {
	t       testing.TB
	now     time.Duration
	cluster *cluster.Cluster
	shard   *scheduler.Shard
	config  *queue.Config
	entries map[job.ID]*job.Entry
	// log is what was recorded of each job.
	log   map[job.ID]job.Progress
	claim uint32
	past  []scheduler.Predecessor
	// backed is when a quorum of the workers was recorded under the present claim.
	backed time.Duration
	// enrolled are the recorded workers, hidden those without an entry.
	enrolled map[platform.WorkerID]job.Enrollment
	hidden   map[platform.WorkerID]bool
	// frozen rigs record nothing, as without the store.
	frozen bool
	paces  []scheduler.PaceAction
}

func newRig(t testing.TB, workers int) *rig {
	r := &rig{
		t: t, now: time.Minute, cluster: cluster.New(),
		entries: map[job.ID]*job.Entry{}, log: map[job.ID]job.Progress{},
		enrolled: map[platform.WorkerID]job.Enrollment{}, hidden: map[platform.WorkerID]bool{},
		config: queue.New(1, []*queue.Queue{{Name: queueName, Service: service, MaxFailures: 3, Stretch: 2, Target: time.Second}},
			[]*queue.Service{{Name: service}}, queue.Limits{}),
	}
	for i := range workers {
		r.cluster.Add(r.now, workerInfo(i))
	}
	r.takeOver(false)
	return r
}

func workerInfo(i int) fleet.Worker {
	const perRack = 4
	rack := platform.RackID(fmt.Sprintf("r%d", i/perRack))
	return fleet.Worker{
		ID: platform.WorkerID(fmt.Sprintf("w%02d", i)), Service: service, Rack: rack,
		Addr:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 0, byte(i)}), 80),
		Labels: []string{"a", string(rack)},
		Room:   platform.Resources{MilliCPU: 32_000, MemoryMB: 128_000},
	}
}

// takeOver makes a new owner that knows only what was recorded.
func (r *rig) takeOver(released bool) {
	if r.claim > 0 {
		r.past = append(r.past, scheduler.Predecessor{Claim: r.claim, Backed: r.backed, Replaced: r.now, Released: released})
	}
	r.backed = 0
	r.claim++
	r.shard = scheduler.New(bounds, job.Ownership{Epoch: platform.Epoch(r.claim), Claim: r.claim}, r.now, r.past)
	r.shard.Claimed(r.now)
	r.shard.SetConfig(r.config)
	for _, e := range r.enrolled {
		must.NoError(r.t, r.shard.Enroll(e))
	}
	for id, e := range r.entries {
		e.Progress = r.log[id]
		r.shard.AddJob(r.now, *e)
	}
	r.list()
}

// list hands the workers' entries to the shard.
func (r *rig) list() {
	listed := map[platform.WorkerID]bool{}
	for _, w := range r.cluster.Entries() {
		if r.hidden[w.ID] {
			continue
		}
		listed[w.ID] = true
		r.shard.SetWorker(r.now, w)
	}
	for _, id := range r.shard.Listed() {
		if !listed[id] {
			r.shard.RemoveWorker(r.now, id)
		}
	}
}

// submit accepts a job whose tasks take a second unless length says otherwise.
func (r *rig) submit(id string, length func(job.TaskRef) time.Duration, fails func(job.TaskRef, platform.Attempt) bool, steps ...job.Step) job.ID {
	return r.submitAs(id, func(*job.Submission) {}, length, fails, steps...)
}

// submitAs is submit with other fields of the submission.
func (r *rig) submitAs(id string, change func(*job.Submission), length func(job.TaskRef) time.Duration, fails func(job.TaskRef, platform.Attempt) bool, steps ...job.Step) job.ID {
	s := &job.Submission{
		Queue: queueName, Service: service, MaxFailures: 3, Stretch: 2, TargetMS: 1000, AcceptedMS: r.now.Milliseconds(),
		Spec: job.Spec{Payload: "payload of " + id, Steps: steps},
	}
	change(s)
	e := &job.Entry{ID: job.ID(id), Submission: s}
	r.entries[e.ID] = e
	r.cluster.Job(e.ID, s, length, fails)
	r.shard.AddJob(r.now, *e)
	return e.ID
}

// play goes on for a time.
func (r *rig) play(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.round()
	}
}

// round advances the time, looks at each worker, plans and records.
func (r *rig) round() {
	r.now += round
	r.cluster.Advance(r.now)
	for i := range 64 {
		r.hold(platform.WorkerID(fmt.Sprintf("w%02d", i)))
	}
	r.plan()
	r.record()
}

func (r *rig) hold(id platform.WorkerID) {
	_, order, ok := r.shard.HoldOrder(r.now, id)
	if !ok {
		return
	}
	lists, answered := r.cluster.Hold(r.now, id, order)
	if !answered {
		r.shard.HoldFailed(r.now, r.now, id)
		return
	}
	r.shard.HoldAnswered(r.now, r.now, id, lists)
}

// plan gives orders until there are none left.
func (r *rig) plan() {
	for range 10 {
		a := r.shard.Plan(r.now, r.now.Milliseconds())
		if len(a.Starts)+len(a.Stops)+len(a.Paces) == 0 {
			return
		}
		for _, start := range a.Starts {
			answer, answered := r.cluster.Start(r.now, start.Worker.ID, start.Order)
			r.shard.StartAnswered(r.now, start, answer, outcome(answered))
		}
		for _, stop := range a.Stops {
			answer, answered := r.cluster.Stop(r.now, stop.Worker.ID, stop.Order)
			r.shard.StopAnswered(r.now, stop, answer, outcome(answered))
		}
		for _, pace := range a.Paces {
			r.paces = append(r.paces, pace)
			answer, answered := r.cluster.Pace(r.now, pace.Worker.ID, pace.Order)
			r.shard.PaceAnswered(r.now, pace, answer, outcome(answered))
		}
	}
}

func outcome(answered bool) error {
	if answered {
		return nil
	}
	return platform.ErrOutcomeUnknown
}

func (r *rig) record() {
	if r.frozen {
		return
	}
	u := r.shard.Unrecorded(r.now.Milliseconds())
	for _, c := range u.Changes {
		r.log[c.ID] = c.Progress
	}
	for _, e := range u.Enrolled {
		r.enrolled[e.Worker] = e
	}
	for _, id := range u.Dismissed {
		delete(r.enrolled, id)
	}
	n := 0
	for _, e := range r.enrolled {
		if e.Claim == r.claim {
			n++
		}
	}
	if r.backed == 0 && job.IsQuorum(n, len(r.enrolled)) {
		r.backed = r.now
	}
	r.shard.Recorded(u)
}

// state returns what the log says of a job.
func (r *rig) state(id job.ID) job.State { return r.log[id].State }

// clean fails the test if a promise was broken.
func (r *rig) clean() {
	r.t.Helper()
	must.SliceEmpty(r.t, r.cluster.Violations())
}

func batch(tasks int) job.Step {
	return job.Step{Tasks: tasks, Size: platform.Resources{MilliCPU: 4000, MemoryMB: 6000}, EstimateMS: 1000, Checkpointing: true}
}

// seconds gives all tasks the same length.
func seconds(s float64) func(job.TaskRef) time.Duration {
	return func(job.TaskRef) time.Duration { return time.Duration(s * float64(time.Second)) }
}

// always lets each attempt fail.
func always(job.TaskRef, platform.Attempt) bool { return true }
