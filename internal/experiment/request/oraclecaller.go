package request

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/siskinvane/siskinvane/internal/request/outcome"
	"github.com/siskinvane/siskinvane/internal/standin/endpoint"
)

// recordsPerCaller is the number of records per caller.
const recordsPerCaller = 4

const (
	// failurePause is a caller's pause after a request without a complete answer.
	failurePause = 2 * time.Millisecond
	// keyedPercent is the percentage of POST requests that carry an idempotency key.
	// They are repeated through random entry hosts until they are answered, at most
	// maxRepeats times.
	keyedPercent = 20
	maxRepeats   = 5
	// resendPercent is the percentage of answered requests with a key that are sent
	// again.
	resendPercent = 20
	repeatPause   = 50 * time.Millisecond
)

// methods lists the methods; each element is drawn with the same probability.
var methods = [...]string{"POST", "POST", "GET", "GET", "PUT"}

// oracleCaller writes and reads records that no other caller accesses.
type oracleCaller struct {
	oracle  *oracle
	index   int
	rnd     *rand.Rand
	caller  caller
	session string
	// written holds the request identifier of the last answered write of each record.
	// generation is part of a record's path and changes after a write of unknown
	// outcome, because that write may still run later.
	written    [recordsPerCaller]string
	generation [recordsPerCaller]int
}

func newOracleCaller(o *oracle, n int) *oracleCaller {
	return &oracleCaller{oracle: o, index: n, rnd: rand.New(rand.NewPCG(o.config.Seed, uint64(n)<<32))}
}

// loop sends this caller's share of the requests.
func (c *oracleCaller) loop() {
	defer c.caller.close()
	o := c.oracle
	for i := range o.config.Requests / o.config.Callers {
		record := c.rnd.IntN(recordsPerCaller)
		q := call{method: methods[c.rnd.IntN(len(methods))], timeout: oracleTimeout, session: c.session}
		q.id = fmt.Sprintf("%s-%d-%d", q.method, c.index, i)
		q.path = fmt.Sprintf("/child/%d-%d-%d", c.index, record, c.generation[record])
		if q.method != "GET" {
			q.body = "nap"
		}
		if q.method == "POST" && c.rnd.IntN(100) < keyedPercent {
			q.key = q.id
		}
		c.checkReply(record, q, c.send(q))
	}
}

// send sends q and repeats it if it carries an idempotency key.
func (c *oracleCaller) send(q call) reply {
	o := c.oracle
	for n := 0; ; n++ {
		addr := o.testbed.hosts[c.rnd.IntN(len(o.testbed.hosts))].path.Addr()
		r := c.caller.send(addr, q)
		o.record(q, r, n)
		if r.err != nil {
			time.Sleep(failurePause)
		}
		answered := r.err == nil && r.outcome == outcome.Answered
		if q.key == "" || n == maxRepeats || answered && c.rnd.IntN(100) >= resendPercent {
			return r
		}
		time.Sleep(repeatPause)
	}
}

// checkReply checks an answer against the caller's own writes and updates them.
func (c *oracleCaller) checkReply(record int, q call, r reply) {
	if r.err != nil || r.outcome == outcome.Unknown || q.key != "" && r.outcome != outcome.Answered {
		if q.method != "GET" {
			c.written[record] = ""
			c.generation[record]++
		}
		return
	}
	if r.outcome != outcome.Answered {
		return
	}
	id, value, err := endpoint.ParseBody(r.body)
	if err != nil || id != q.id {
		c.oracle.increment(&c.oracle.report.WrongAnswer)
		return
	}
	if r.session != "" && !c.oracle.config.NoSessions {
		c.session = r.session
	}
	switch {
	case q.method != "GET":
		c.written[record] = q.id
	case c.written[record] != "" && value != c.written[record]:
		c.oracle.increment(&c.oracle.report.StaleRead)
	}
}
