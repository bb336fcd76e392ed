package forward

import (
	"github.com/cespare/xxhash/v2"
	"github.com/siskinvane/siskinvane/internal/request/header"
	"github.com/siskinvane/siskinvane/internal/request/idempotency"
	"github.com/siskinvane/siskinvane/internal/request/outcome"
	"github.com/siskinvane/siskinvane/internal/request/retry"
)

// runWithKey runs r, at most once if it carries an idempotency key. A repeat gets the
// recorded answer of the first request.
func (f *Forwarder) runWithKey(r *request) error {
	text := r.c.Request.Header.Peek(header.IdempotencyKey)
	if len(text) == 0 || retry.Safe(r.method) || f.config.Coordinator == nil {
		return f.runAdmitted(r)
	}
	if len(text) > idempotency.MaxKeyBytes {
		return outcome.New(400, outcome.NotRun, outcome.BadRequest, "%s: %d bytes, at most %d",
			header.IdempotencyKey, len(text), idempotency.MaxKeyBytes)
	}
	key := idempotency.Key{Service: r.service.Name, Key: string(text)}
	permit, answer, err := f.config.Coordinator.Begin(key, r.fingerprint(), r.deadline)
	if err != nil {
		return err
	}
	if answer != nil {
		r.replay(answer)
		return nil
	}
	r.keyed = true
	err = f.runAdmitted(r)
	f.config.Coordinator.End(permit, r.reportedOutcome(err), r.recordedAnswer)
	return err
}

// reportedOutcome returns the outcome that the caller gets.
func (r *request) reportedOutcome(err error) outcome.Outcome {
	switch {
	case err != nil:
		return outcome.FromError(err).Outcome
	case r.recordedAnswer != nil:
		return outcome.Answered
	}
	return outcome.Unknown
}

// fingerprint returns a hash of the request's method, target and body. Of a streamed
// body it covers only the length.
func (r *request) fingerprint() uint64 {
	h := xxhash.New()
	h.WriteString(r.method)                      //nolint:errcheck // writing to a hash cannot fail
	h.Write(r.target)                            //nolint:errcheck // writing to a hash cannot fail
	h.WriteString(header.FormatLength(r.length)) //nolint:errcheck // writing to a hash cannot fail
	h.Write(r.body)                              //nolint:errcheck // writing to a hash cannot fail
	return h.Sum64()
}

// recordAnswer copies the complete response to the caller, for replay to repeats.
func (r *request) recordAnswer() {
	if !r.keyed {
		return
	}
	resp := &r.c.Response
	a := &idempotency.Answer{Status: resp.StatusCode(), Body: append([]byte(nil), resp.BodyBytes()...)}
	resp.Header.VisitAll(func(key, value []byte) {
		if !header.IsFramingField(key) {
			a.Header = append(a.Header, idempotency.Field{Name: string(key), Value: string(value)})
		}
	})
	r.recordedAnswer = a
}

// replay responds with the recorded answer to the first request with the key.
func (r *request) replay(a *idempotency.Answer) {
	resp := &r.c.Response
	resp.SetStatusCode(a.Status)
	for _, field := range a.Header {
		resp.Header.Add(field.Name, field.Value)
	}
	resp.Header.Set(header.Replayed, "true")
	resp.SetBody(a.Body)
}
