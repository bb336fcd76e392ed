// Package queue defines the queues and services that operators declare, and finds
// the queue of a request.
package queue

import (
	"context"
	"strings"
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
)

// Name names a queue.
type Name string

// Queue accepts jobs for the workers of a service.
type Queue struct {
	Name Name
	// Host and Prefix select the queue's requests.
	Host, Prefix string
	Service      platform.ServiceName
	// Priority 0 is the most urgent.
	Priority int
	// MaxFailures is how often a task may fail before its job fails.
	MaxFailures int
	// Stretch and Target define a job's latency objective: Stretch times its
	// critical path plus Target.
	Stretch float64
	Target  time.Duration
	// Timeout limits the handling of a request.
	Timeout time.Duration
	// Advice is set if workers need a permission of the advice service.
	Advice *Advice
}

// Advice describes the timing of the advice service for a queue.
type Advice struct {
	// Delay and DelayPerWorker determine the response time.
	Delay, DelayPerWorker time.Duration
	// Validity is how long a ticket may be used.
	Validity time.Duration
}

// Service is a pool of workers.
type Service struct {
	Name platform.ServiceName
	// AdmissionControl is set if the workers refuse tasks that do not fit.
	AdmissionControl bool
	// Standby is set if the pool is switched off.
	Standby bool
	// HealthPath returns status 200 while a worker considers itself healthy.
	HealthPath string
}

// Limits are the limits of requests.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Config is one version of all declarations.
type Config struct {
	Version  int64
	Queues   map[Name]*Queue
	Services map[platform.ServiceName]*Service
	Limits   Limits

	byHost map[string][]*Queue
}

// New returns a configuration with an index of its queues by host.
func New(version int64, queues []*Queue, services []*Service, limits Limits) *Config {
	c := &Config{
		Version: version, Limits: limits,
		Queues:   map[Name]*Queue{},
		Services: map[platform.ServiceName]*Service{},
		byHost:   map[string][]*Queue{},
	}
	for _, q := range queues {
		c.Queues[q.Name] = q
		c.byHost[q.Host] = append(c.byHost[q.Host], q)
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	return c
}

// Find returns the queue of host with the longest prefix of path, or nil.
func (c *Config) Find(host, path string) *Queue {
	var found *Queue
	for _, q := range c.byHost[host] {
		if strings.HasPrefix(path, q.Prefix) && (found == nil || len(q.Prefix) > len(found.Prefix)) {
			found = q
		}
	}
	return found
}

// UnusableError reports a version of the declarations that cannot be decoded. The version
// before stays in force.
type UnusableError struct {
	Err error
}

// Error implements error.
func (e *UnusableError) Error() string { return "declarations not usable: " + e.Err.Error() }

// Unwrap returns the error of the decoder.
func (e *UnusableError) Unwrap() error { return e.Err }

// Declared is what operators have declared.
type Declared struct {
	// Config is the newest version of the declarations, or nil if there was no newer one.
	Config *Config
	// Evacuated are all failure domains whose workers are to get no new tasks, sorted.
	Evacuated []platform.FailureDomain
	// Odd are the errors of evacuations that name no domain, and of those that are obeyed
	// although the rest of their record cannot be read.
	Odd []error
}

// Source follows what operators declare. It is not safe for concurrent use.
type Source interface {
	// Next waits a bounded time for a change and returns what is declared. If the newest
	// version of the declarations cannot be decoded it returns the newest one that can, if
	// any, and *UnusableError beside all else; the next call goes on after both. After any
	// other error nothing was read.
	Next(ctx context.Context) (Declared, error)
}
