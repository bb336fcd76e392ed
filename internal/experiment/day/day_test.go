package day

import (
	"flag"
	"fmt"
	"io"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
)

// TestMain starts the library's clock of meters outside of any bubble: it never
// ends.
func TestMain(m *testing.M) {
	metrics.NewMeter().Stop()
	os.Exit(m.Run())
}

func silent() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// play runs a day in virtual time.
func play(t *testing.T, p Plan) Report {
	t.Helper()
	var r Report
	synctest.Test(t, func(t *testing.T) {
		var err error
		r, err = Run(p, silent())
		must.NoError(t, err)
		// Calls under way end before the bubble does.
		time.Sleep(time.Minute)
	})
	for i, v := range r.Violations {
		if i < 5 {
			t.Log(v)
		}
	}
	must.SliceEmpty(t, r.Violations, must.Sprintf("seed %d, faults %+v", p.Seed, r.Faults))
	return r
}

func TestCalmDay(t *testing.T) {
	r := play(t, Plan{Hosts: 3, Workers: 12, Seconds: 10, QuietSeconds: 20, JobsPerSecond: 4, Seed: 1})
	must.Eq(t, r.Jobs, r.Accepted)
}

// TestUpkeepWave carries a wave out on a day on which the owner is killed in its midst
// and stopped later: the next owners go on from what was recorded.
func TestUpkeepWave(t *testing.T) {
	play(t, Plan{
		Hosts: 3, Workers: 12, Seconds: 20, QuietSeconds: 30, JobsPerSecond: 4, Seed: 4, Faults: []Fault{
			{AtMS: 1000, Kind: UpkeepWave, Worker: 3},
			{AtMS: 3000, ForMS: 1000, Kind: KillHost, Host: Owner},
			{AtMS: 9000, Kind: UpkeepWave, Worker: 5},
			{AtMS: 12000, ForMS: 1000, Kind: StopHost, Host: Owner},
		},
	})
}

// TestWorkersLeave lets workers drain and end one after the other.
func TestWorkersLeave(t *testing.T) {
	p := Plan{Hosts: 3, Workers: 6, Seconds: 20, QuietSeconds: 30, JobsPerSecond: 6, Seed: 6}
	for i := range 6 {
		p.Faults = append(p.Faults, Fault{AtMS: int64(1000 + 2500*i), ForMS: 2000, Kind: DrainWorker, Worker: i})
	}
	play(t, p)
}

// Flags for more days than CI plays.
var (
	days  = flag.Int("days", 12, "days with random faults")
	first = flag.Uint64("first", 1, "seed of the first day")
)

func TestRandomFaults(t *testing.T) {
	for i := range *days {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			play(t, Plan{
				Hosts: 4, Workers: 12, Seconds: 20, QuietSeconds: 45, JobsPerSecond: 4,
				RandomFaults: 4 + i%6, Seed: seed,
			})
		})
	}
}
