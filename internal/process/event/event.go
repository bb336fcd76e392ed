// Package event defines the numbered log events of all programs. Each event is declared
// once, in the file of its area, and described in docs/EVENTS.md; a test compares the
// two.
package event

import (
	"fmt"
	"sort"
	"sync"

	"github.com/sirupsen/logrus"
)

// Event is one kind of log line.
type Event struct {
	// Number identifies the event: 1xxx process, 2xxx log, 3xxx shards and
	// membership, 4xxx tasks and leases, 5xxx placement, 6xxx requests, 7xxx jobs and
	// the platform's services.
	Number int
	Level  logrus.Level
	// Text is the message of the log line.
	Text string
}

var (
	mu        sync.Mutex
	catalogue = map[int]Event{}
)

// declare adds an event to the catalogue. It panics if the number is in use.
func declare(number int, level logrus.Level, text string) Event {
	mu.Lock()
	defer mu.Unlock()
	if _, declared := catalogue[number]; declared {
		panic(fmt.Sprintf("event %d declared twice", number))
	}
	e := Event{Number: number, Level: level, Text: text}
	catalogue[number] = e
	return e
}

// Catalogue returns all events in ascending order of their numbers.
func Catalogue() []Event {
	mu.Lock()
	defer mu.Unlock()
	all := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Number < all[j].Number })
	return all
}

// Log writes the event to l with its number and fields, if its level is enabled.
func (e Event) Log(l *logrus.Logger, fields logrus.Fields) {
	if !l.IsLevelEnabled(e.Level) {
		return
	}
	l.WithFields(fields).WithField("event", e.Number).Log(e.Level, e.Text)
}
