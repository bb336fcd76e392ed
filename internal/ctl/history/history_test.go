package history

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const testJobID = "5c0e7a21d94b36f8"

// Logs of two hosts. The second host becomes the owner when the first one stops.
const (
	firstHostLog = `{"event":7303,"msg":"queues in force","time":"2026-02-11T03:18:17.000Z"}
not a line about ` + testJobID + `
{"event":7001,"job":"` + testJobID + `","msg":"job accepted","queue":"digest","tasks":2,"time":"2026-02-11T03:18:18.010Z"}
{"event":7110,"msg":"task started","task":"` + testJobID + `.0.0.0","time":"2026-02-11T03:18:18.020Z","worker":"w1"}
{"event":7110,"left_out":3,"msg":"task started","task":"00000000000000a1.0.0.0","time":"2026-02-11T03:18:18.020Z","worker":"w1"}
{"event":7207,"msg":"shard released to the next owner","time":"2026-02-11T03:18:19.000Z"}
`
	secondHostLog = `{"claim":2,"event":7201,"msg":"shard taken over","time":"2026-02-11T03:18:19.100Z"}
{"event":7116,"msg":"attempt given up","reason":"lease over","task":"` + testJobID + `.0.0.0","time":"2026-02-11T03:18:25.100Z","worker":"w1"}
{"event":7113,"job":"` + testJobID + `","msg":"step waits","no_room":4,"occurrence":0,"step":0,"time":"2026-02-11T03:18:26.200Z","waited_ms":1100}
{"event":7113,"job":"` + testJobID + `","msg":"step waits","no_room":5,"occurrence":0,"step":0,"time":"2026-02-11T03:18:27.200Z","waited_ms":2100}
{"event":7301,"msg":"store lost","time":"2026-02-11T03:18:40.000Z"}
`
)

func printHistory(t *testing.T, logs ...string) (*History, string) {
	t.Helper()
	h := New(testJobID)
	for i, l := range logs {
		must.NoError(t, h.AddLog([]string{"host-0", "host-1"}[i], strings.NewReader(l)))
	}
	var b strings.Builder
	must.NoError(t, h.Print(&b))
	return h, b.String()
}

// TestPrint checks that the lines of all hosts come in the order of time, that gaps
// are described and repeated lines merged, and that context events are included.
func TestPrint(t *testing.T) {
	h, text := printHistory(t, firstHostLog, secondHostLog)
	must.Eq(t, 1, h.UnreadableLines)
	must.Eq(t, `    +0.000  7001 host-0   job accepted queue=digest tasks=2
    +0.010  7110 host-0   task started task=5c0e7a21d94b36f8.0.0.0 worker=w1
    +0.990 .7207 host-0   shard released to the next owner
    +1.090 .7201 host-1   shard taken over claim=2
            -- 6.000 s: running, no end is known
    +7.090  7116 host-1   attempt given up reason=lease over task=5c0e7a21d94b36f8.0.0.0 worker=w1
            -- 1.100 s: what comes next has not started
    +8.190  7113 host-1   step waits no_room=5 occurrence=0 step=0 waited_ms=2100 (the last of 2 lines in 1.000 s)
            -- 12.800 s: no worker can take the tasks that wait
   +21.990 .7301 host-1   store lost
=> accepted and not over in these logs; the last line is 21.990 s after it
=> 1 starts, 0 not accepted, 0 failed
=> 1 attempts given up: lease over
=> step 0 waited 2100 ms for a worker: 5 without room, 0 unfit, 0 where it would disturb, 0 not heard yet
=> meanwhile: shard released to the next owner (1)
=> meanwhile: shard taken over (1)
=> meanwhile: store lost (1)
3 lines were left out of the logs by their bound a second; gaps may be theirs
1 lines could not be read
`, text)
}

// TestMergedLogs checks that lines with their host before the JSON object count as lines of that
// host, as in a file into which the logs of several hosts were merged.
func TestMergedLogs(t *testing.T) {
	h := New(testJobID)
	must.NoError(t, h.AddLog("merged", strings.NewReader(`0.10 host-0 {"event":7001,"job":"`+testJobID+`","time":"2026-02-11T03:18:18.010Z"}
0.20 host-1 {"event":7004,"job":"`+testJobID+`","time":"2026-02-11T03:18:18.110Z"}
`)))
	lines := h.Lines()
	must.Len(t, 2, lines)
	must.Eq(t, "host-0", lines[0].Source)
	must.Eq(t, "host-1", lines[1].Source)
	must.Zero(t, h.UnreadableLines)
}

func TestEndlessJob(t *testing.T) {
	_, text := printHistory(t, strings.Replace(firstHostLog, `"tasks":2`, `"tasks":2,"endless":true`, 1))
	must.StrContains(t, text, "=> runs until its caller cancels it")
}

func TestNoLines(t *testing.T) {
	_, text := printHistory(t, secondHostLog[strings.Index(secondHostLog, `{"event":7301`):])
	must.Eq(t, "no line about job "+testJobID+"\n", text)
}

func TestContextAfterJobEndOmitted(t *testing.T) {
	h, text := printHistory(t, firstHostLog+`{"event":7112,"job":"`+testJobID+`","msg":"job over","objective_ms":900,"state":"done","time":"2026-02-11T03:18:18.900Z","took_ms":890}
`, secondHostLog[strings.Index(secondHostLog, `{"event":7301`):])
	must.Len(t, 3, h.Lines())
	must.StrContains(t, text, "=> done after 890 ms, objective 900 ms\n")
}
