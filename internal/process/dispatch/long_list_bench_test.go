package dispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"github.com/siskinvane/siskinvane/internal/connection/httpcall"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/fleet"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/scheduler"
	"github.com/siskinvane/siskinvane/internal/scheduler/job"
	"github.com/siskinvane/siskinvane/internal/version/queue"
	siskinvane "github.com/siskinvane/siskinvane/platform"
)

// slowStore takes appendTime for each append and counts them. While it is down it refuses them.
type slowStore struct {
	store.Store
	down           atomic.Bool
	appends, bytes atomic.Int64
}

// appendTime is the time that an append takes.
const appendTime = 30 * time.Millisecond

// Append implements store.Store.
func (s *slowStore) Append(_ context.Context, _ store.Partition, records []store.Record, _ *store.Writer) (platform.Offset, error) {
	if s.down.Load() {
		return 0, store.ErrUnavailable
	}
	time.Sleep(appendTime)
	s.appends.Add(1)
	for _, r := range records {
		s.bytes.Add(int64(len(r.Key) + len(r.Value)))
	}
	return 0, nil
}

// listingWorker answers renewals over HTTP. Its tasks run until over is set; then all of them
// have ended, and it lists fleet.MaxListedEnds ends at a time.
type listingWorker struct {
	running []byte
	rows    [][]byte
	started time.Time
	over    *atomic.Bool
	// messages and bytes count the renewals of all workers and their bodies; unread counts the
	// workers with ends that are not acknowledged.
	messages, bytes, unread *atomic.Int64
	// otherOrders counts the orders of all workers that are no renewals.
	otherOrders *atomic.Int64

	mu    sync.Mutex
	acked int
}

// ServeHTTP implements http.Handler.
func (w *listingWorker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if r.URL.Path != "/api/hold" {
		w.otherOrders.Add(1)
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var in struct {
		AckedThrough int   `json:"acked_through"`
		WaitMS       int64 `json:"wait_ms"`
	}
	if json.Unmarshal(body, &in) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	if w.acked < len(w.rows) && in.AckedThrough >= len(w.rows) {
		w.unread.Add(-1)
	}
	w.acked = max(w.acked, in.AckedThrough)
	rest := w.rows[w.acked:]
	w.mu.Unlock()
	for wait := in.WaitMS; wait > 0 && (!w.over.Load() || len(rest) == 0); wait -= 10 {
		time.Sleep(10 * time.Millisecond)
	}
	var running, finished []byte
	if !w.over.Load() {
		// A task without progress would be stopped.
		running = bytes.ReplaceAll(w.running, []byte("PERCENT"), fmt.Append(nil, min(99, time.Since(w.started).Milliseconds()/600)))
	} else {
		finished = bytes.Join(rest[:min(len(rest), fleet.MaxListedEnds)], []byte(","))
	}
	answer := fmt.Appendf(nil, `{"clock_ms":%d,"born":1,"running":[%s],"finished":[%s]}`, time.Since(w.started).Milliseconds()+1, running, finished)
	w.messages.Add(1)
	w.bytes.Add(int64(len(body) + len(answer)))
	_, _ = out.Write(answer)
}

// BenchmarkLongLists measures what it costs an owner to read and record long lists of ends, in
// real time and over HTTP. The processor time includes that of the simulated workers.
func BenchmarkLongLists(b *testing.B) {
	const tasksPerJob = 1000
	for _, c := range []struct {
		name          string
		workers, ends int
		// tracked is set if the owner has seen the tasks running, and the store is down for
		// outage when they end; otherwise a new owner reads the lists.
		tracked bool
		outage  time.Duration
	}{
		{"new owner, 100 workers, 10000 ends", 100, 10_000, false, 0},
		{"100 workers, 1000 ends, outage", 100, 1000, true, 4200 * time.Millisecond},
		{"2 workers, 10000 ends, outage", 2, 10_000, true, 4200 * time.Millisecond},
	} {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				var over atomic.Bool
				var messages, size, unread, otherOrders atomic.Int64
				over.Store(!c.tracked)
				unread.Store(int64(c.workers))
				jobs := c.workers * c.ends / tasksPerJob
				changes := fleet.Changes{All: true}
				var enrolled []job.Enrollment
				for i := range c.workers {
					w := &listingWorker{started: time.Now(), over: &over, messages: &messages, bytes: &size, unread: &unread, otherOrders: &otherOrders}
					for n := range c.ends {
						task := i + n*c.workers
						name := fmt.Sprintf("%016x.0.0.%d", task%jobs+1, task/jobs)
						w.rows = append(w.rows, fmt.Appendf(nil, `[%d,"%s",1,"done",""]`, n+1, name))
						if n > 0 && c.tracked {
							w.running = append(w.running, ',')
						}
						if c.tracked {
							w.running = fmt.Appendf(w.running, `["%s",1,"",PERCENT,1]`, name)
						}
					}
					server := httptest.NewServer(w)
					b.Cleanup(server.Close)
					addr := netip.MustParseAddrPort(server.Listener.Addr().String())
					entry := workerEntry(i)
					entry.Addr, entry.Started = addr, 1
					changes.Set = append(changes.Set, entry)
					enrolled = append(enrolled, job.Enrollment{Worker: entry.ID, Addr: addr.String(), Service: "s", Capacity: entry.Capacity, Claim: 1, Run: 1})
				}
				client, err := httpcall.New()
				must.NoError(b, err)
				logger := logrus.New()
				logger.SetOutput(io.Discard)
				began := time.Now()
				log := &slowStore{}
				d := New(Config{
					Store: log, Workers: siskinvane.NewWorkers(client), Ownership: job.Ownership{Epoch: 2, Claim: 2}, Logger: logger,
					Metrics: metrics.NewRegistry(), AppendBytes: 1 << 20, Bounds: scheduler.Bounds{MaxLease: 10 * time.Second, StopGrace: time.Second},
					Predecessors:    []scheduler.Predecessor{{Claim: 1, ReplacedAt: time.Minute, BoundsLeases: true}},
					Clock:           func() time.Duration { return time.Minute + time.Since(began) },
					ConfirmationAge: func() time.Duration { return 0 },
					OnRecorded:      func([]store.Record) {},
					ExpiredRecords:  func(int) []store.Record { return nil },
				})
				q := &queue.Queue{Name: "q", Service: "s", MaxFailures: 1, Stretch: 2, Target: time.Second}
				d.SetConfig(queue.New(1, []*queue.Queue{q}, []*queue.Service{{Name: "s"}}, queue.Limits{}))
				var entries []job.Entry
				for n := range jobs {
					e := entry(fmt.Sprintf("%016x", n+1), tasksPerJob)
					e.Submission.Spec.Steps[0] = job.Step{Tasks: tasksPerJob, Size: platform.Resources{MilliCPU: 1, MemoryMB: 1}, EstimateMS: 1000}
					entries = append(entries, e)
				}
				d.Enroll(enrolled)
				d.AddJobs(entries)
				before := processorTime()
				started := time.Now()
				d.Start()
				d.SetWorkers(d.Clock(), changes)
				if c.tracked {
					for tracked := 0; tracked < c.workers*c.ends; {
						time.Sleep(100 * time.Millisecond)
						tracked = 0
						for _, w := range changes.Set {
							_, finite := d.WorkerLoad(w.ID)
							tracked += finite
						}
					}
					messages.Store(0)
					size.Store(0)
					before = processorTime()
					log.down.Store(true)
					over.Store(true)
					time.Sleep(c.outage)
					b.ReportMetric(float64(messages.Load()), "outage-messages")
					b.ReportMetric(float64(size.Load()), "outage-bytes")
					b.ReportMetric((processorTime() - before).Seconds(), "outage-cpu-s")
					messages.Store(0)
					size.Store(0)
					before = processorTime()
					log.appends.Store(0)
					log.bytes.Store(0)
					log.down.Store(false)
					started = time.Now()
				}
				for unread.Load() > 0 {
					time.Sleep(time.Millisecond)
				}
				b.ReportMetric(time.Since(started).Seconds(), "drain-s")
				b.ReportMetric(float64(messages.Load()), "messages")
				b.ReportMetric(float64(size.Load()), "bytes")
				b.ReportMetric((processorTime() - before).Seconds(), "cpu-s")
				b.ReportMetric(float64(log.appends.Load()), "appends")
				b.ReportMetric(float64(log.bytes.Load()), "log-bytes")
				for _, e := range entries {
					// An ended job is forgotten once that is recorded.
					if state, known := d.State(e.ID); known {
						must.Eq(b, job.Done, state)
					}
				}
				must.Zero(b, otherOrders.Load())
				d.Abort()
			}
		})
	}
}

// processorTime returns the user and system time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
