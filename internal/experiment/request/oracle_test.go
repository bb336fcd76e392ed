package request

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"
)

// TestOracle is a short run of "siskin-bench requests --oracle".
func TestOracle(t *testing.T) {
	report, err := RunOracle(OracleConfig{
		Requests: 8000, Callers: 32, Entries: 3, Endpoints: 4, Seed: 1, FaultPercent: 4,
	})
	must.NoError(t, err)
	report.Print(os.Stderr)
	must.Eq(t, 0, report.RanTwice)
	must.Eq(t, 0, report.NotRunButRan)
	must.Eq(t, 0, report.WrongAnswer)
	must.Eq(t, 0, report.AnsweredUnrun)
	must.Eq(t, 0, report.StaleRead)
	must.Greater(t, report.Requests/2, report.Answered)
}

// TestOracleDetectsViolations guards against an oracle that detects nothing: entries
// that retry after an unknown outcome run some requests twice, and callers that drop
// their session tokens get stale reads.
func TestOracleDetectsViolations(t *testing.T) {
	report, err := RunOracle(OracleConfig{
		Requests: 4000, Callers: 32, Entries: 2, Endpoints: 4, Seed: 1, FaultPercent: 10, RetryUnknown: true, NoSessions: true,
	})
	must.NoError(t, err)
	must.Positive(t, report.RanTwice)
	must.Positive(t, report.StaleRead)
}
