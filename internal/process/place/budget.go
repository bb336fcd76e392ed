package place

const (
	// startsPerEviction is the number of task starts that allow one eviction.
	startsPerEviction = 60
	// maxSavedEvictions bounds the evictions that accumulate while none are made.
	maxSavedEvictions = 20
)

// Budget limits evictions to a share of the task starts.
type Budget struct{ starts int }

// Started adds n task starts to the budget.
func (b *Budget) Started(n int) {
	b.starts = min(b.starts+n, maxSavedEvictions*startsPerEviction)
}

// Left returns how many tasks the budget allows to evict now.
func (b *Budget) Left() int { return b.starts / startsPerEviction }

// Evicted charges n evictions to the budget.
func (b *Budget) Evicted(n int) { b.starts -= n * startsPerEviction }
