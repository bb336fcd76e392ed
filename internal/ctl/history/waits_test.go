package history

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// waitsLog holds the merged logs of three hosts, with a prefix before each line as a collector
// of logs writes it. Host "c" is of a version that does not name its failure domain.
const waitsLog = `
 -0.9000 a {"event":1001,"failure_domain":"north","host":"a"}
 -0.9000 b {"event":1001,"failure_domain":"south","host":"b"}
 -0.9000 c {"event":1001,"host":"c"}
  0.0000 a {"event":7001,"job":"0a","queue":"q","tasks":2,"endless":false,"time":"2026-02-11T03:18:18.000Z"}
  0.0000 a {"event":7110,"task":"0a.0.0.0","attempt":1,"waited_ms":10}
  0.0000 a {"event":7110,"task":"0a.0.0.1","attempt":1,"waited_ms":3000}
  0.0000 a {"event":7113,"job":"0a","waiting":4,"no_room":5,"harmful":2,"unheard":0,"entries_age_ms":0}
  0.0000 a {"event":7113,"job":"0a","waiting":1,"no_room":5,"unheard":3,"entries_age_ms":0}
  0.0000 a {"event":7115,"task":"0a.0.0.0","attempt":1,"reason":"takes headroom"}
  0.0000 a {"event":7111,"task":"0a.0.0.0","attempt":1,"how":"stopped","ran_ms":1500}
  0.0000 a {"event":7110,"task":"0a.0.0.0","attempt":2,"waited_ms":9000}
  0.0000 a {"event":7111,"task":"0a.0.0.0","attempt":2,"how":"done","ran_ms":70}
  0.0000 a {"event":7112,"left_out":3,"job":"0a","state":"done","took_ms":3000,"objective_ms":2000,"tasks":2,"starts":3,"first_start_ms":10,"longest_wait_ms":9000,"stops":1,"stopped_ran_ms":1500}
  0.0000 b {"event":7002,"job":"0b","queue":"q","reason":"would wait","retry_after_ms":2000,"time":"2026-02-11T03:18:18.000Z"}
  0.0000 c {"event":7001,"job":"0b","queue":"q","tasks":50,"endless":false,"time":"2026-02-11T03:18:21.500Z"}
  0.0000 b {"event":7002,"job":"0c","queue":"q","tasks":20,"reason":"store unavailable: no answer for 1s","time":"2026-02-11T03:18:18.000Z"}
  0.0000 b {"event":7002,"job":"0c","queue":"q","reason":"store unavailable: no answer for 2s","time":"2026-02-11T03:18:19.000Z"}
  0.0000 b {"event":7001,"job":"0d","queue":"p","tasks":8,"endless":true,"time":"2026-02-11T03:18:18.000Z"}
  0.0000 b {"event":7110,"task":"0d.0.0.0","attempt":1,"waited_ms":40}
  0.0000 b {"event":7110,"task":"0d.0.0.1","attempt":1,"waited_ms":70}
  0.0000 b {"event":7003,"job":"0e","time":"2026-02-11T03:18:18.000Z"}
  0.0000 b a line that was cut {"event":7001,"job":"0f"
`

// TestWaits checks that each job counts once in its queue and size and at the failure domain
// that it came to first, that waits are those of the job's last line where there is one, and that lines left out are counted.
func TestWaits(t *testing.T) {
	w := NewWaits()
	must.NoError(t, w.AddLog("merged", strings.NewReader(waitsLog)))

	one := func(v float64) Spread { return Spread{1, v, v, v} }
	must.Eq(t, []WaitRow{
		{Group: "p", Size: "8-19", Endless: true, Jobs: 1, Accepted: 1, Unfinished: 1, FirstStart: one(40), LongestWait: one(70)},
		{
			Group: "q", Size: "1-7", Jobs: 1, Accepted: 1, Done: 1, Late: 1, Against: one(1.5),
			FirstStart: one(10), LongestWait: one(9000), Stops: 1, StoppedRanS: 1.5,
		},
		{Group: "q", Size: "20-49", Jobs: 1, Refused: 1},
		{Group: "q", Size: "50+", Jobs: 1, Accepted: 1, Refused: 1, Returned: 1, Unfinished: 1, ReturnAfter: one(3500)},
	}, w.Rows())

	domains := w.DomainRows()
	must.Len(t, 2, domains)
	must.Eq(t, "north", domains[0].Group)
	must.Eq(t, 1, domains[0].Jobs)
	must.Eq(t, "south", domains[1].Group)
	must.Eq(t, 4, domains[1].Jobs)
	must.Eq(t, 1, domains[1].Open)

	must.Eq(t, []RefusalRow{
		{Reason: "store unavailable", Refusals: 2, Jobs: 1, Never: 1},
		{Reason: "would wait", Refusals: 1, Jobs: 1, RetryAfter: one(2000)},
	}, w.RefusalRows())
	must.Eq(t, []CauseRow{{Queue: "q", Cause: "no_room", Lines: 1, TaskSeconds: 4}, {Queue: "q", Cause: "unheard", Lines: 1, TaskSeconds: 1}}, w.CauseRows())
	must.Eq(t, []StopRow{{Reason: "takes headroom", Ordered: 1, Ended: 1, Ran: one(1500), RanSeconds: 1.5}}, w.StopRows())

	var b strings.Builder
	must.NoError(t, w.Print(&b))
	must.StrContains(t, b.String(), "3 lines of event 7112 were left out of the logs")
}

func TestSizeClass(t *testing.T) {
	for tasks, want := range map[int]string{1: "1-7", 7: "1-7", 8: "8-19", 19: "8-19", 20: "20-49", 49: "20-49", 50: "50+", 900: "50+"} {
		must.Eq(t, want, sizeClass(tasks))
	}
}
