package scheduler_test

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
	"github.com/siskinvane/siskinvane/internal/standin/cluster"
	"github.com/siskinvane/siskinvane/internal/version/queue"
)

const (
	service   platform.ServiceName = "reports"
	queueName queue.Name           = "digest"
	// tickInterval is the time between two renew calls to each worker.
	tickInterval = 50 * time.Millisecond
)

var bounds = scheduler.Bounds{
	MaxLease: 10 * time.Second, StopGrace: time.Second, RemoteFactor: 1.5,
}

// harness runs a shard against a simulated cluster, tick by tick, without goroutines.
type harness struct {
	t       testing.TB
	now     time.Duration
	cluster *cluster.Cluster
	shard   *scheduler.Shard
	config  *queue.Config
	entries map[job.ID]*job.Entry
	// log is the recorded progress of each job.
	log          map[job.ID]job.Progress
	claim        uint32
	predecessors []scheduler.Predecessor
	// quorumAt is when a quorum of the workers was recorded under the current claim.
	quorumAt time.Duration
	// enrolled are the recorded workers, unregistered those without an entry.
	enrolled     map[platform.WorkerID]job.Enrollment
	unregistered map[platform.WorkerID]bool
	// recordingPaused suspends recording, as during an outage of the store.
	recordingPaused bool
	// refused is a job whose records the log refuses, or empty.
	refused job.ID
	// readingPaused suspends the reading of the log.
	readingPaused  bool
	throttleOrders []scheduler.ThrottleAction
	// refusedJob is a job whose starts all workers refuse, or empty.
	refusedJob job.ID
	// refusesConnections is a worker that no start order reaches, or empty.
	refusesConnections platform.WorkerID
	// heldUp are the renew orders with a lease end that are under way, by worker. While it is set,
	// the next one to each worker is not delivered, and no other is sent to that worker.
	heldUp map[platform.WorkerID]heldUpRenewal
	// unanswered are the attempts with a start order that got no answer.
	unanswered map[string]bool
	// renewInterval is the time between two renew calls to each worker.
	renewInterval time.Duration
	// maxStarts is the number of start orders per plan.
	maxStarts int
	// advisor answers the requests for advice, or is nil. ticketsRequired makes workers refuse
	// starts without a valid ticket.
	advisor         *advisor
	ticketsRequired bool
	// workers is the number of workers at the start.
	workers int
	// earlierVersion is set if owners are of a version that does not bound its leases.
	earlierVersion bool
	// restartedHosts is set if the host of each new owner has just restarted: it knows only
	// what the log holds, of which ownership is the record of the owner.
	restartedHosts bool
	ownership      store.Record
	// evacuated are the failure domains in which no start may be sent.
	evacuated []platform.FailureDomain
}

// unlimitedStarts is more start orders than any test plans.
const unlimitedStarts = 1 << 20

func newHarness(t testing.TB, workers int) *harness {
	h := &harness{
		t: t, now: time.Minute, cluster: cluster.New(), maxStarts: unlimitedStarts, renewInterval: tickInterval, workers: workers,
		entries: map[job.ID]*job.Entry{}, log: map[job.ID]job.Progress{},
		enrolled: map[platform.WorkerID]job.Enrollment{}, unregistered: map[platform.WorkerID]bool{}, unanswered: map[string]bool{},
		config: queue.New(1, []*queue.Queue{{Name: queueName, Service: service, MaxFailures: 3, Stretch: 2, Target: time.Second}},
			[]*queue.Service{{Name: service}}, queue.Limits{}),
	}
	for i := range workers {
		h.cluster.AddWorker(h.now, workerInfo(i))
	}
	h.takeOver(false)
	return h
}

func workerInfo(i int) fleet.Worker {
	const perRack = 4
	rack := platform.RackID(fmt.Sprintf("r%d", i/perRack))
	return fleet.Worker{
		ID: platform.WorkerID(fmt.Sprintf("w%02d", i)), Service: service, Rack: rack, Domain: platform.FailureDomain("d" + string(rack[1:])),
		Addr:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 0, byte(i)}), 80),
		Labels:   []string{"a", string(rack)},
		Capacity: platform.Resources{MilliCPU: 32_000, MemoryMB: 128_000},
	}
}

// takeOver replaces the owner by one that knows only what was recorded.
func (h *harness) takeOver(released bool) {
	if h.claim > 0 {
		h.predecessors = append(h.predecessors, scheduler.Predecessor{Claim: h.claim, QuorumAt: h.quorumAt, ReplacedAt: h.now, Released: released, BoundsLeases: !h.earlierVersion})
	}
	if h.claim > 0 {
		h.readTerms()
	}
	h.quorumAt = 0
	h.claim++
	h.shard = scheduler.New(bounds, h.owner(), h.now, h.predecessors)
	h.recordOwnership(h.shard.PastTerms(h.now))
	h.shard.ClaimRecorded(h.now)
	h.shard.OwnershipConfirmed(h.now)
	h.shard.SetConfig(h.config)
	h.shard.SetEvacuated(h.evacuated)
	for _, e := range h.enrolled {
		must.NoError(h.t, h.shard.Enroll(e))
	}
	for id, e := range h.entries {
		e.Progress = h.log[id]
		h.shard.AddJob(h.now, *e)
	}
	h.syncWorkers()
}

// owner is the current owner.
func (h *harness) owner() job.Ownership {
	return job.Ownership{Epoch: platform.Epoch(h.claim), Claim: h.claim, BoundsLeases: !h.earlierVersion}
}

// recordOwnership writes the record of the current owner with the terms of earlier ones.
func (h *harness) recordOwnership(past []job.PastTerm) {
	r, err := job.OwnershipRecord(h.owner(), past)
	must.NoError(h.t, err)
	h.ownership = r
}

// readTerms applies what the record of the owner before tells of earlier ones. Hosts that have
// restarted know nothing else.
func (h *harness) readTerms() {
	told := h.loadPredecessors()
	if h.restartedHosts {
		h.predecessors = told
	}
	for i := range h.predecessors {
		for _, p := range told {
			if p.Claim == h.predecessors[i].Claim && h.predecessors[i].SuccessionAt == 0 {
				h.predecessors[i].SuccessionAt = p.SuccessionAt
			}
		}
	}
}

// loadPredecessors returns what a host that loads the log now knows of earlier owners.
func (h *harness) loadPredecessors() []scheduler.Predecessor {
	page := store.Page{Records: []store.StoredRecord{{Record: h.ownership}}}
	for _, e := range h.enrolled {
		r, err := job.EnrollmentRecord(e)
		must.NoError(h.t, err)
		page.Records = append(page.Records, store.StoredRecord{Record: r})
	}
	slices.SortFunc(page.Records, func(a, b store.StoredRecord) int { return strings.Compare(a.Key, b.Key) })
	table := job.NewTable()
	_, err := table.Apply(page, h.now)
	must.NoError(h.t, err)
	return scheduler.Predecessors(table.Owners())
}

// evacuate makes operators evacuate the given failure domains and no others.
func (h *harness) evacuate(domains ...platform.FailureDomain) {
	h.evacuated = domains
	h.shard.SetEvacuated(domains)
}

// syncWorkers passes the workers' entries to the shard.
func (h *harness) syncWorkers() {
	registered := map[platform.WorkerID]bool{}
	for _, w := range h.cluster.Entries() {
		if h.unregistered[w.ID] {
			continue
		}
		registered[w.ID] = true
		h.shard.SetWorker(h.now, w)
	}
	for _, id := range h.shard.Registered() {
		if !registered[id] {
			h.shard.RemoveWorker(h.now, id)
		}
	}
	h.shard.EntriesRead(h.now, h.now)
}

// submit accepts a job whose tasks take a second unless length says otherwise.
func (h *harness) submit(id string, length func(job.TaskRef) time.Duration, fails func(job.TaskRef, platform.Attempt) bool, steps ...job.Step) job.ID {
	return h.submitAs(id, func(*job.Submission) {}, length, fails, steps...)
}

// submitAs is submit with a change to the submission.
func (h *harness) submitAs(id string, change func(*job.Submission), length func(job.TaskRef) time.Duration, fails func(job.TaskRef, platform.Attempt) bool, steps ...job.Step) job.ID {
	s := &job.Submission{
		Queue: queueName, Service: service, MaxFailures: 3, Stretch: 2, TargetMS: 1000, AcceptedMS: h.now.Milliseconds(),
		Spec: job.Spec{Payload: "payload of " + id, Steps: steps},
	}
	change(s)
	e := &job.Entry{ID: job.ID(id), Submission: s}
	h.entries[e.ID] = e
	h.cluster.Job(e.ID, s, length, fails)
	h.cluster.Accepted(h.now, e.ID)
	h.shard.AddJob(h.now, *e)
	return e.ID
}

// run advances the simulation by d.
func (h *harness) run(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.tick()
	}
}

// tick advances the time, calls each worker, plans and records.
func (h *harness) tick() {
	h.now += tickInterval
	h.cluster.Advance(h.now)
	if !h.readingPaused {
		h.shard.LogRead(h.now)
		h.shard.OwnershipConfirmed(h.now)
	}
	for i := range max(64, h.workers) {
		if (h.now/tickInterval+time.Duration(i))%(h.renewInterval/tickInterval) != 0 {
			continue
		}
		h.renewLeases(platform.WorkerID(fmt.Sprintf("w%02d", i)))
	}
	if h.advisor != nil {
		h.advisor.answer(h.now, h.shard)
	}
	h.plan()
	h.record()
}

// heldUpRenewal is a renew order that was sent and not carried out.
type heldUpRenewal struct {
	order fleet.RenewOrder
	sent  time.Duration
}

// leasePeriod is longer than the time between two renew orders with a lease end.
const leasePeriod = 1500 * time.Millisecond

// holdUpLeases lets time pass until an order with a lease end is under way to each of the
// workers that can get one, and returns these orders.
func (h *harness) holdUpLeases() map[platform.WorkerID]heldUpRenewal {
	h.heldUp = map[platform.WorkerID]heldUpRenewal{}
	defer func() { h.heldUp = nil }()
	for end := h.now + leasePeriod; h.now < end && len(h.heldUp) < h.workers; {
		h.tick()
	}
	return h.heldUp
}

// grantsLease returns the lease end of the order that grants the worker's next lease, or zero if none
// does in a leasePeriod. The order is not delivered.
func (h *harness) grantsLease(id platform.WorkerID) platform.WorkerTime {
	return h.holdUpLeases()[id].order.LeaseEnd
}

// awaitOrder returns the worker's next renew order that waits for an end as long as it may, and
// delivers the one before, which grants a lease.
func (h *harness) awaitOrder(id platform.WorkerID) fleet.RenewOrder {
	lease, ok := h.holdUpLeases()[id]
	must.True(h.t, ok)
	lists, _ := h.cluster.Renew(h.now, id, lease.order)
	h.shard.RenewAnswered(h.now, lease.sent, id, lists)
	_, order, _ := h.shard.RenewOrder(h.now, id)
	return order
}

func (h *harness) renewLeases(id platform.WorkerID) {
	if _, under := h.heldUp[id]; under {
		return
	}
	_, order, ok := h.shard.RenewOrder(h.now, id)
	if !ok {
		return
	}
	if h.heldUp != nil && order.LeaseEnd != 0 {
		h.heldUp[id] = heldUpRenewal{order, h.now}
		return
	}
	lists, answered := h.cluster.Renew(h.now, id, order)
	if !answered {
		h.shard.RenewFailed(h.now, h.now, id)
		return
	}
	h.shard.RenewAnswered(h.now, h.now, id, lists)
}

// plan executes orders until there are none left.
func (h *harness) plan() {
	for range 10 {
		a := h.shard.Plan(h.now, h.now.Milliseconds(), h.maxStarts)
		if h.advisor != nil {
			h.advisor.request(h.now, a.AdviceRequests)
		}
		if len(a.Starts)+len(a.Stops)+len(a.Throttles) == 0 {
			return
		}
		for _, planned := range a.Starts {
			start, wanted := h.shard.BeginStart(h.now, planned)
			if !wanted {
				continue
			}
			if start.Order.Task.Job == h.refusedJob {
				h.shard.StartAnswered(h.now, start, fleet.Answer{Verdict: fleet.RefusedInvalid}, nil)
				continue
			}
			if h.ticketsRequired && !h.advisor.valid(h.now, start.Order) {
				h.shard.StartAnswered(h.now, start, fleet.Answer{Verdict: fleet.RefusedTicket}, nil)
				continue
			}
			if start.Worker.ID == h.refusesConnections {
				h.shard.StartAnswered(h.now, start, fleet.Answer{}, errNotSent)
				continue
			}
			must.SliceNotContains(h.t, h.evacuated, start.Worker.Domain, must.Sprintf("start of %v in an evacuated domain", start.Order.Task))
			answer, answered := h.cluster.Start(h.now, start.Worker.ID, start.Order)
			if !answered {
				h.unanswered[fmt.Sprint(start.Order.Task, start.Order.Attempt)] = true
			}
			h.shard.StartAnswered(h.now, start, answer, orderError(answered))
		}
		for _, stop := range a.Stops {
			answer, answered := h.cluster.Stop(h.now, stop.Worker.ID, stop.Order)
			h.shard.StopAnswered(h.now, stop, answer, orderError(answered))
		}
		for _, throttle := range a.Throttles {
			h.throttleOrders = append(h.throttleOrders, throttle)
			answer, answered := h.cluster.Throttle(h.now, throttle.Worker.ID, throttle.Order)
			h.shard.ThrottleAnswered(h.now, throttle, answer, orderError(answered))
		}
	}
}

var errNotSent = errors.New("connection refused")

func orderError(answered bool) error {
	if answered {
		return nil
	}
	return platform.ErrOutcomeUnknown
}

func (h *harness) record() {
	if h.recordingPaused {
		return
	}
	u := h.shard.TakeUnrecorded(h.now.Milliseconds())
	for _, c := range u.Changes {
		if c.ID == h.refused {
			u.Refuse(c.ID, "")
			continue
		}
		h.log[c.ID] = c.Progress
	}
	for _, e := range u.Enrolled {
		e.SeenAt = h.now
		h.enrolled[e.Worker] = e
	}
	for _, id := range u.Unenrolled {
		delete(h.enrolled, id)
	}
	if u.PastTerms != nil {
		h.recordOwnership(u.PastTerms)
	}
	n := 0
	for _, e := range h.enrolled {
		if e.Claim == h.claim {
			n++
		}
	}
	if h.quorumAt == 0 && job.IsQuorum(n, len(h.enrolled)) {
		h.quorumAt = h.now
	}
	h.shard.MarkRecorded(u)
}

// state returns the recorded state of a job.
func (h *harness) state(id job.ID) job.State { return h.log[id].State }

// checkViolations fails the test if the cluster saw a rule violated.
func (h *harness) checkViolations() {
	h.t.Helper()
	must.SliceEmpty(h.t, h.cluster.Violations())
}

func batchStep(tasks int) job.Step {
	return job.Step{Tasks: tasks, Size: platform.Resources{MilliCPU: 4000, MemoryMB: 6000}, EstimateMS: 1000, Checkpointing: true}
}

// fixedLength gives all tasks the same length, in seconds.
func fixedLength(s float64) func(job.TaskRef) time.Duration {
	return func(job.TaskRef) time.Duration { return time.Duration(s * float64(time.Second)) }
}

// alwaysFails makes each attempt fail.
func alwaysFails(job.TaskRef, platform.Attempt) bool { return true }
