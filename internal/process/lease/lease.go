// Package lease decides which attempts on a worker the owner of a shard starts,
// renews and stops, and which it records as ended. It is pure: it computes
// actions from the task table, the history of contact with the worker, a
// permission and a clock reading.
//
// # At most one running attempt per task
//
// A task gets a new attempt only after the earlier one is recorded as ended, and
// Decide returns that record only when one of these holds:
//
//   - The worker answered a stop call with Accepted, or reports the attempt as
//     ended. It then refuses to start the attempt for the rest of its boot.
//   - The worker reports a boot other than the one named in the assignment. A
//     start call names the boot of the assignment, never a newer one, so the new
//     boot refuses a delayed or repeated start.
//   - The lease has lapsed, see Contact.LapsedAt.
//
// A lease can be extended by a start or renewal of this owner or of an earlier
// owner of the shard:
//
//   - Calls of this owner carry an expiry in the worker's clock that is at most
//     CallExpiry after the call was made. Therefore all leases end at most
//     CallExpiry + TTL after the last call.
//   - An earlier owner may make calls until the stale-owner timeout of package
//     outage has passed since the start of its last read of the log, which began
//     before this owner's claim. Its leases have lapsed once that timeout +
//     CallExpiry + TTL have passed since this owner read its claim back, or
//     earlier if the worker has accepted a call under this owner's epoch, since
//     it refuses lower epochs from then on.
//
// A worker that has not answered for SilenceTimeout gets no more starts or
// renewals; otherwise it could extend leases indefinitely without the owner
// knowing.
package lease

import (
	"time"

	"github.com/siskinvane/siskinvane/internal/platform"
	"github.com/siskinvane/siskinvane/internal/process/outage"
)

const (
	// TTL is how long an attempt keeps running without a renewal.
	TTL = 15 * time.Second
	// RenewPeriod is the time between renewals of a worker's leases.
	RenewPeriod = 5 * time.Second
	// CallExpiry bounds the time between making a start or renewal call and its
	// taking effect at the worker.
	CallExpiry = 3 * time.Second
	// SilenceTimeout is the time without an answer after which a worker gets no
	// starts and renewals until it answers a report call.
	SilenceTimeout = 7 * time.Second
	// ClockMargin covers the difference in rate between the owner's and the
	// worker's clock over the longest interval that is measured with both.
	ClockMargin = 2 * time.Second
	// MaxReportAge bounds the age of the report whose clock reading an expiry is
	// computed from.
	MaxReportAge = 30 * time.Second
)

// Contact is the history of an owner's contact with one worker under one epoch.
// Times are readings of the owner's monotonic clock. The zero value is for a
// worker that was never reached. Methods are not safe for concurrent use.
type Contact struct {
	// Report is the latest report, or nil. It must not be modified.
	Report *platform.Report
	// ReportedAt is when Report was received.
	ReportedAt time.Time
	// AnsweredAt is when the worker last answered any call.
	AnsweredAt time.Time
	// CalledAt is when the last start or renewal that may have taken effect was
	// made.
	CalledAt time.Time
	// RenewedAt is when the last renewal was accepted.
	RenewedAt time.Time
	// FencedAt is when the worker first accepted a call under the owner's epoch in
	// its present boot, which fences off earlier owners; zero if it did not.
	FencedAt time.Time
	// Generation is the latest platform.Report.Generation received from the worker.
	Generation uint64
}

// RecordReport stores a report received at now. If the worker's boot is a new one,
// it clears the fencing time, since that boot still accepts earlier epochs.
func (c *Contact) RecordReport(r *platform.Report, now time.Time) {
	if c.Report != nil && c.Report.Boot != r.Boot {
		c.FencedAt = time.Time{}
	}
	c.Report, c.ReportedAt, c.AnsweredAt = r, now, now
	c.Generation = r.Generation
}

// RecordAnswer records that the worker answered a call at now. accepted is set if
// the worker accepted the owner's epoch.
func (c *Contact) RecordAnswer(now time.Time, accepted bool) {
	c.AnsweredAt = now
	if accepted && c.FencedAt.IsZero() {
		c.FencedAt = now
	}
}

// Boot returns the worker's boot as last reported, or "".
func (c *Contact) Boot() string {
	if c.Report == nil {
		return ""
	}
	return c.Report.Boot
}

// Silent reports whether the worker has not answered within SilenceTimeout.
func (c *Contact) Silent(now time.Time) bool {
	return c.AnsweredAt.IsZero() || now.Sub(c.AnsweredAt) > SilenceTimeout
}

// Callable reports whether a start or renewal may be made at now: the worker
// answers calls, and its last clock reading is recent enough to compute an
// expiry.
func (c *Contact) Callable(now time.Time) bool {
	return c.Report != nil && !c.Silent(now) && now.Sub(c.ReportedAt) <= MaxReportAge
}

// NotAfter returns the reading of the worker's clock after which the worker must
// refuse a call made at now. The worker's clock read Report.Now before the
// report was received, so it reaches the result at most CallExpiry after now.
func (c *Contact) NotAfter(now time.Time) platform.WorkerTime {
	return c.Report.Now + platform.WorkerTime(now.Sub(c.ReportedAt)+CallExpiry)
}

// LapsedAt returns the time by which every lease on the worker has certainly
// lapsed if no further call is made. claimed is when the owner read its claim
// back.
func (c *Contact) LapsedAt(claimed time.Time) time.Time {
	last := claimed.Add(outage.StaleOwnerTimeout + CallExpiry)
	if !c.FencedAt.IsZero() {
		last = c.FencedAt
	}
	if own := c.CalledAt.Add(CallExpiry); !c.CalledAt.IsZero() && own.After(last) {
		last = own
	}
	return last.Add(TTL + ClockMargin)
}
