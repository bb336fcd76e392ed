// Package interference models how much tasks that share a worker slow each other
// down, and predicts the probability that a service misses its latency target. It
// learns from measurements that may arrive late. It does no I/O, and times are passed
// in. Nothing in it is safe for concurrent use.
package interference

import "github.com/siskinvane/siskinvane/internal/platform"

// Neighbour is the amount of work of one class on a worker: 1 for each task, and less
// for a throttled one.
type Neighbour struct {
	Class  platform.ClassName
	Amount float64
}

// negligibleAmount is the amount below which an entry is removed.
const negligibleAmount = 1e-6

// AddNeighbour adds an amount, which may be negative, to the entry of a class. The
// list stays sorted by class and without empty entries. AddNeighbour modifies and
// returns list.
func AddNeighbour(list []Neighbour, class platform.ClassName, amount float64) []Neighbour {
	i := 0
	for i < len(list) && list[i].Class < class {
		i++
	}
	if i == len(list) || list[i].Class != class {
		if amount < negligibleAmount {
			return list
		}
		list = append(list, Neighbour{})
		copy(list[i+1:], list[i:])
		list[i] = Neighbour{Class: class, Amount: amount}
		return list
	}
	list[i].Amount += amount
	if list[i].Amount < negligibleAmount {
		return append(list[:i], list[i+1:]...)
	}
	return list
}

// AmountOf returns the amount of a class in list.
func AmountOf(list []Neighbour, class platform.ClassName) float64 {
	for _, n := range list {
		if n.Class == class {
			return n.Amount
		}
	}
	return 0
}

func equalNeighbours(a, b []Neighbour) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
