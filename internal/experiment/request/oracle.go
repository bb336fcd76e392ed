package request

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinvane/siskinvane/internal/request/outcome"
	"github.com/siskinvane/siskinvane/internal/request/retry"
	"github.com/siskinvane/siskinvane/internal/standin/endpoint"
)

const (
	oracleTimeout = 400 * time.Millisecond
	replicaLag    = 20 * time.Millisecond
)

// OracleConfig configures a run of the oracle.
type OracleConfig struct {
	Requests  int
	Callers   int
	Entries   int
	Endpoints int
	Seed      uint64
	// FaultPercent is the percentage of requests for which an endpoint fails.
	FaultPercent int
	// RetryUnknown makes entries retry after unknown outcomes, which the oracle must
	// detect.
	RetryUnknown bool
	// NoSessions makes callers drop their session tokens, so that the oracle must
	// detect stale reads.
	NoSessions bool
}

// Report is the result of a run of the oracle. The last group must be zero.
type Report struct {
	Requests int
	Answered int
	NotRun   int
	Unknown  int
	// Repeats counts requests repeated with the same idempotency key, Replayed the
	// answers that were replayed.
	Repeats, Replayed int
	// Broken counts requests whose answer did not arrive completely.
	Broken int
	// Events counts the injected faults.
	Events  int
	Elapsed time.Duration
	// SlowestRefusal is the longest wait of a caller for a refusal.
	SlowestRefusal time.Duration

	// RanTwice counts non-idempotent requests that ran more than once.
	RanTwice int
	// NotRunButRan counts requests that ran although the answer was "not-run".
	NotRunButRan int
	// WrongAnswer counts answers that belong to other requests and truncated answers
	// that were delivered as complete.
	WrongAnswer int
	// StaleRead counts reads that did not see the caller's own previous write.
	StaleRead int
	// AnsweredUnrun counts answered requests that did not run.
	AnsweredUnrun int
}

// Faults returns the number of violated guarantees.
func (r *Report) Faults() int {
	return r.RanTwice + r.NotRunButRan + r.WrongAnswer + r.StaleRead + r.AnsweredUnrun
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "requests %d in %s, events %d\n", r.Requests, r.Elapsed.Round(time.Millisecond), r.Events)
	fmt.Fprintf(w, "told: answered %d, not-run %d, unknown %d, broken %d\n", r.Answered, r.NotRun, r.Unknown, r.Broken)
	fmt.Fprintf(w, "repeats with the same key %d, of them replayed %d\n", r.Repeats, r.Replayed)
	fmt.Fprintf(w, "slowest refusal %s\n", r.SlowestRefusal.Round(time.Millisecond))
	fmt.Fprintf(w, "non-idempotent run more than once: %d\n", r.RanTwice)
	fmt.Fprintf(w, "told not-run but ran: %d\n", r.NotRunButRan)
	fmt.Fprintf(w, "foreign or short answer as success: %d\n", r.WrongAnswer)
	fmt.Fprintf(w, "stale read after own write: %d\n", r.StaleRead)
	fmt.Fprintf(w, "answered but did not run: %d\n", r.AnsweredUnrun)
}

// oracle holds the state of one run.
type oracle struct {
	config  OracleConfig
	testbed *testbed
	runs    *endpoint.Executions
	sent    atomic.Int64

	mu       sync.Mutex
	report   Report
	outcomes map[string]outcome.Outcome
}

// RunOracle sends requests under faults and compares the answers that callers got with
// what the endpoints ran.
func RunOracle(c OracleConfig) (*Report, error) {
	keys, err := writeKeys()
	if err != nil {
		return nil, err
	}
	defer os.Remove(keys)
	runs := endpoint.NewExecutions()
	b, err := startTestbed(testbedConfig{
		entries: c.Entries, endpoints: c.Endpoints, targetLatency: 50 * time.Millisecond,
		endpoint: endpoint.Config{Executions: runs}, history: endpoint.NewHistory(replicaLag),
		faultPlan: func(n int) func() endpoint.Fault {
			return endpoint.RandomFaults(rand.New(rand.NewPCG(c.Seed, uint64(n))), c.FaultPercent)
		},
		retryUnknown: c.RetryUnknown, sessionKeys: keys,
	})
	if err != nil {
		return nil, err
	}
	o := &oracle{config: c, testbed: b, runs: runs, outcomes: map[string]outcome.Outcome{}}
	start := time.Now()
	err = o.run()
	b.stop()
	o.report.Elapsed = time.Since(start)
	o.checkOutcomes()
	return &o.report, err
}

// writeKeys creates a temporary file with one session key and returns its path.
func writeKeys() (string, error) {
	f, err := os.CreateTemp("", "siskin-keys-*.json")
	if err != nil {
		return "", err
	}
	defer f.Close()
	_, err = f.WriteString(`{"keys":[{"id":"oracle","secret":"c3RhbmQtaW4tc2VjcmV0LWtleQ=="}]}`)
	return f.Name(), err
}

// run runs the callers and injects faults until they are done.
func (o *oracle) run() error {
	var callers sync.WaitGroup
	for i := range o.config.Callers {
		callers.Add(1)
		go func() {
			defer callers.Done()
			newOracleCaller(o, i).loop()
		}()
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		callers.Wait()
	}()
	err := o.injectFaults(done)
	<-done
	return err
}

// record records the answer to a call; repeat is the number of earlier sendings.
func (o *oracle) record(q call, r reply, repeat int) {
	o.sent.Add(1)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.report.Requests++
	if repeat > 0 {
		o.report.Repeats++
	}
	if r.replayed {
		o.report.Replayed++
	}
	if r.err != nil {
		o.report.Broken++
		o.outcomes[q.id] = outcome.Unknown
		return
	}
	// "not-run" refers to a single sending: a request counts as not run only if every
	// sending of it got this answer.
	if last, ok := o.outcomes[q.id]; !ok || last == outcome.NotRun || r.outcome == outcome.Answered {
		o.outcomes[q.id] = r.outcome
	}
	switch r.outcome {
	case outcome.Answered:
		o.report.Answered++
	case outcome.NotRun:
		o.report.NotRun++
		o.report.SlowestRefusal = max(o.report.SlowestRefusal, r.duration)
	default:
		o.report.Unknown++
	}
}

func (o *oracle) increment(field *int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	*field++
}

// checkOutcomes checks the answers against what the endpoints ran.
func (o *oracle) checkOutcomes() {
	for id, answer := range o.outcomes {
		executions := o.runs.Count(id)
		switch {
		case answer == outcome.NotRun && executions > 0:
			o.report.NotRunButRan++
		case answer == outcome.Answered && executions == 0:
			o.report.AnsweredUnrun++
		}
	}
	repeated := o.runs.ExecutedMoreThan(1, func(id string) bool {
		method, _, _ := strings.Cut(id, "-")
		return !retry.Idempotent(method)
	})
	o.report.RanTwice = len(repeated)
}
