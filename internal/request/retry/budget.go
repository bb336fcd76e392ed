package retry

import "sync"

const (
	// budgetRatio is the number of retries allowed per request.
	budgetRatio = 0.1
	// budgetBurst bounds the number of unused retries that accumulate.
	budgetBurst = 64
)

// Budget is a token bucket that limits retries to a fraction of the requests of one
// service. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a budget with a full burst.
func NewBudget() *Budget { return &Budget{tokens: budgetBurst} }

// Deposit adds the tokens that one new request earns.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+budgetRatio, budgetBurst)
}

// Withdraw takes the token for one retry. It returns false if the budget is
// exhausted.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
