package retry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestAllowed(t *testing.T) {
	base := State{Replayable: true, Tries: 1, TimeLeft: time.Second}
	with := func(f func(*State)) State {
		s := base
		f(&s)
		return s
	}
	tests := map[string]struct {
		state State
		want  bool
	}{
		"write that cannot have run": {base, true},
		"write that may have run":    {with(func(s *State) { s.MayHaveRun = true }), false},
		"read that may have run":     {with(func(s *State) { s.MayHaveRun, s.Safe = true, true }), true},
		"body consumed":              {with(func(s *State) { s.Replayable = false }), false},
		"tries used up":              {with(func(s *State) { s.Tries = MaxTries }), false},
		"no time left":               {with(func(s *State) { s.TimeLeft = 0 }), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { must.Eq(t, test.want, test.state.Allowed()) })
	}
}

func TestBudgetLimitsRetriesToFraction(t *testing.T) {
	b := NewBudget()
	for b.Withdraw() {
	}
	retries := 0
	for range 10_000 {
		b.Deposit()
		if b.Withdraw() {
			retries++
		}
	}
	must.Between(t, 990, retries, 1001)
}

func TestSafeAndIdempotentMethods(t *testing.T) {
	for _, m := range []string{"GET", "HEAD", "OPTIONS"} {
		must.True(t, Safe(m))
	}
	for _, m := range []string{"POST", "PATCH", "PUT", "DELETE", "LINK", ""} {
		must.False(t, Safe(m))
	}
	must.True(t, Idempotent("PUT"))
	must.False(t, Idempotent("POST"))
}
