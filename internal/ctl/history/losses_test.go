package history

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestLosses checks that each job that missed its objective counts once, under the
// most likely cause, also if its lines come from the logs of several hosts.
func TestLosses(t *testing.T) {
	logs := []string{
		`{"event":7001,"job":"a","queue":"q"}
{"event":7112,"job":"a","state":"done","took_ms":90,"objective_ms":100}
{"event":7002,"job":"b","queue":"q","reason":"store unavailable: no answer for 1.2s"}
{"event":7002,"job":"c","queue":"p","reason":"store unavailable: no answer for 3.4s"}
{"event":7002,"job":"d","queue":"q","reason":"would wait"}
{"event":7003,"job":"e"}
{"event":7001,"job":"f","queue":"q"}
{"event":7001,"job":"g","queue":"q","endless":true}
{"event":7001,"job":"h","queue":"q"}
{"event":7001,"job":"i","queue":"q"}
{"event":7001,"job":"j","queue":"q"}
not a line
`, `{"event":7001,"job":"d","queue":"q"}
{"event":7112,"job":"d","state":"done","took_ms":50,"objective_ms":100}
{"event":7110,"task":"h.0.0.0","waited_ms":900}
{"event":7112,"job":"h","state":"done","took_ms":1900,"objective_ms":100}
{"event":7110,"task":"i.0.0.0","waited_ms":0}
{"event":7116,"task":"i.0.0.0","reason":"lease over"}
{"event":7112,"job":"i","state":"done","took_ms":5900,"objective_ms":100}
{"event":7110,"task":"j.0.0.0","waited_ms":0}
`,
	}
	c := NewLosses()
	for _, l := range logs {
		must.NoError(t, c.AddLog("log", strings.NewReader(l)))
	}
	var b strings.Builder
	must.NoError(t, c.Print(&b))
	must.Eq(t, `jobs  share  over by, half  cause                           by queue
2     20.0%  -              refused: store unavailable      p 1, q 1
1     10.0%  5800 ms        late: attempt lost, lease over  q 1
1     10.0%  1800 ms        late: waited for a worker       q 1
1     10.0%  -              not over: nothing started       q 1
1     10.0%  -              not over: tasks without an end  q 1
1     10.0%  -              outcome open                    unknown 1
10                          jobs in all                     
`, b.String())
}
