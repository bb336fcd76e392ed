package day

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/platform/store"
	"github.com/siskinvane/siskinvane/internal/process/keyed"
	"github.com/siskinvane/siskinvane/internal/process/pause"
	"github.com/siskinvane/siskinvane/internal/standin/memstore"
	"github.com/siskinvane/siskinvane/internal/version/queue"
)

const (
	// declarationsBound is the time within which a version of the declarations has to be in
	// force on a host whose reads get replies.
	declarationsBound = 2 * time.Second
	// declarationsInterval is the mean time between two versions.
	declarationsInterval = 700 * time.Millisecond
	// declarationsCheckInterval is the time between two checks of the versions in force.
	declarationsCheckInterval = 50 * time.Millisecond
)

var (
	declarationsPartition = store.Partition{Topic: "keyed.declarations"}
	declarationsKey       = "declarations"
)

// declared holds the versions of the declarations and when they were written. It is safe
// for concurrent use.
type declared struct {
	mu       sync.Mutex
	versions []declaredVersion
}

type declaredVersion struct {
	number  int64
	written time.Duration
}

// writtenBy returns the newest version that was written by the time t, or 0.
func (d *declared) writtenBy(t time.Duration) declaredVersion {
	d.mu.Lock()
	defer d.mu.Unlock()
	var newest declaredVersion
	for _, v := range d.versions {
		if v.written <= t {
			newest = v
		}
	}
	return newest
}

// declare writes a version of the declarations. All versions declare the same queue.
func (sim *simulation) declare(version int64) {
	sim.store.Put(declarationsPartition, store.Record{Key: declarationsKey, Value: strconv.AppendInt(nil, version, 10)})
	sim.declared.mu.Lock()
	defer sim.declared.mu.Unlock()
	sim.declared.versions = append(sim.declared.versions, declaredVersion{version, sim.now()})
}

// changeDeclarations writes versions of the declarations until ctx is done.
func (sim *simulation) changeDeclarations(ctx context.Context, random *rand.Rand) {
	for version := int64(2); ; version += 1 + random.Int64N(4) {
		if pause.For(ctx, time.Duration((0.5+random.Float64())*float64(declarationsInterval))) != nil {
			return
		}
		sim.declare(version)
	}
}

// checkDeclarations checks until ctx is done that each version is in force in time, and
// returns the violations: one for each version and host.
func (sim *simulation) checkDeclarations(ctx context.Context) []string {
	var violations []string
	reported := map[string]bool{}
	for pause.For(ctx, declarationsCheckInterval) == nil {
		now := sim.now()
		due := sim.declared.writtenBy(now - declarationsBound)
		for _, h := range sim.runningHosts() {
			n := h.node.Load()
			since, replies := h.view.RepliesSince()
			if n == nil || !replies || now-max(since, time.Duration(h.startedAt.Load())) < declarationsBound {
				continue
			}
			inForce := int64(0)
			if c := n.Queues(); c != nil {
				inForce = c.Version
			}
			key := fmt.Sprintf("host %d: version %d", h.index, due.number)
			if inForce < due.number && !reported[key] {
				reported[key] = true
				violations = append(violations, fmt.Sprintf("CONFIG: %s, written %v before, is not in force, but %d", key, now-due.written, inForce))
			}
		}
	}
	return violations
}

// declarations follows the declarations and evacuations as one host reads them. It implements
// queue.Source.
type declarations struct {
	follower  *keyed.Follower
	evacuated map[platform.FailureDomain]bool
}

func newDeclarations(view *memstore.View) *declarations {
	return &declarations{evacuated: map[platform.FailureDomain]bool{}, follower: keyed.NewFollower(keyed.FollowerConfig{
		Store: view, Partition: declarationsPartition, Within: declarationsBound,
	})}
}

// Next implements queue.Source.
func (d *declarations) Next(ctx context.Context) (queue.Declared, error) {
	changes, err := d.follower.Next(ctx)
	if err != nil {
		return queue.Declared{}, err
	}
	if changes.All {
		clear(d.evacuated)
	}
	var declared queue.Declared
	for _, r := range changes.Records {
		if domain, ok := strings.CutPrefix(r.Key, evacuationPrefix); ok {
			if delete(d.evacuated, platform.FailureDomain(domain)); len(r.Value) > 0 {
				d.evacuated[platform.FailureDomain(domain)] = true
			}
			continue
		}
		version, err := strconv.ParseInt(string(r.Value), 10, 64)
		if err != nil {
			return queue.Declared{}, &queue.UnusableError{Err: err}
		}
		declared.Config = queue.New(version,
			[]*queue.Queue{{Name: queueName, Service: service, MaxFailures: 3, Stretch: 2, Target: time.Second}},
			[]*queue.Service{{Name: service}}, queue.Limits{})
	}
	declared.Evacuated = slices.Sorted(maps.Keys(d.evacuated))
	return declared, nil
}
