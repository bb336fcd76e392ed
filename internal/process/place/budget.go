package place

const (
	// startsPerEviction is the number of task starts that allow one eviction.
	startsPerEviction = 60
	// maxSavedEvictions bounds the evictions that accumulate while none are made.
	maxSavedEvictions = 20
)

// EvictionBudget limits evictions to a share of the task starts.
type EvictionBudget struct{ starts int }

// AddStarts adds n task starts to the budget.
func (b *EvictionBudget) AddStarts(n int) {
	b.starts = min(b.starts+n, maxSavedEvictions*startsPerEviction)
}

// Available returns how many tasks the budget allows to evict now.
func (b *EvictionBudget) Available() int { return b.starts / startsPerEviction }

// Spend charges n evictions to the budget.
func (b *EvictionBudget) Spend(n int) { b.starts -= n * startsPerEviction }
