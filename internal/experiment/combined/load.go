package combined

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/placer"
	"github.com/siskinvane/siskinvane/internal/process/settings"
	"github.com/siskinvane/siskinvane/internal/request/outcome"
	"github.com/siskinvane/siskinvane/internal/standin/worker"
)

const (
	requestTimeout = 5 * time.Second
	// writePercent is the percentage of requests that must not run twice.
	writePercent = 70
	// thinkTime is the mean of a caller's pause between two requests.
	thinkTime    = 20 * time.Millisecond
	submitPeriod = time.Second
	maxTasks     = 4
	percentBase  = 100
)

// callResult is a request and the answer that its caller got.
type callResult struct {
	id      string
	host    platform.HostID
	isWrite bool
	status  int
	outcome outcome.Outcome
	// bodyMatches is set if the body is the complete answer to this request.
	bodyMatches bool
	sentAt      time.Time
	duration    time.Duration
	err         error
}

// client opens a new connection for each request, so that only the entry decides about
// retries: the HTTP client may retry a request if a reused connection breaks.
var client = &http.Client{
	Timeout:   requestTimeout,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// call sends one request through a host's entry.
func (r *run) call(h settings.Host, method, id string) callResult {
	res := callResult{id: id, host: h.ID, isWrite: method == http.MethodPost, sentAt: time.Now()}
	url := fmt.Sprintf("http://%s/svc/%s/%s", h.Entry, r.command.Service, id)
	req, err := http.NewRequest(method, url, strings.NewReader(id))
	if err != nil {
		res.err = err
		return res
	}
	req.Header.Set(worker.HeaderRequest, id)
	resp, err := client.Do(req)
	if err == nil {
		defer resp.Body.Close()
		var body []byte
		body, err = io.ReadAll(resp.Body)
		res.status = resp.StatusCode
		res.outcome = outcome.Outcome(resp.Header.Get(outcome.Header))
		res.bodyMatches = string(body) == r.command.Service+" "+id
	}
	res.duration, res.err = time.Since(res.sentAt), err
	return res
}

// callLoop sends the requests of one caller until the load ends.
func (r *run) callLoop(random *rand.Rand) {
	for !r.loadStopped() {
		method := http.MethodGet
		if random.IntN(percentBase) < writePercent {
			method = http.MethodPost
		}
		id, err := uuid.NewRandomFromReader(randomReader{random})
		if err != nil {
			return
		}
		h, ok := r.balancer.pick(random)
		if !ok {
			time.Sleep(thinkTime)
			continue
		}
		res := r.call(h, method, id.String())
		if !dialFailed(res.err) {
			r.mu.Lock()
			r.results = append(r.results, res)
			r.mu.Unlock()
		}
		time.Sleep(time.Duration(random.ExpFloat64() * float64(thinkTime)))
	}
}

// dialFailed reports whether no connection could be made. Such requests are not counted,
// because a load balancer would have chosen another host.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// randomReader is a seeded source of random bytes.
type randomReader struct{ random *rand.Rand }

// Read implements io.Reader.
func (r randomReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(r.random.Uint32())
	}
	return len(p), nil
}

// job is a job whose submission was acknowledged.
type job struct {
	id    platform.JobID
	tasks int
}

// submitLoop submits small jobs until the load ends and records the acknowledged ones.
func (r *run) submitLoop(random *rand.Rand) {
	for i := 0; !r.loadStopped(); i++ {
		j := job{id: platform.JobID(fmt.Sprintf("job-%04d", i)), tasks: 1 + random.IntN(maxTasks)}
		template := templates[random.IntN(len(templates))]
		req := placer.SubmitRequest{ID: j.id, Template: template, Tasks: uint32(j.tasks)}
		h := r.hosts[random.IntN(len(r.hosts))]
		if r.apiClient.Call(context.Background(), h.Control, "POST", placer.PathSubmit, req, nil) == nil {
			r.mu.Lock()
			r.jobs = append(r.jobs, j)
			r.mu.Unlock()
		}
		time.Sleep(submitPeriod)
	}
}
