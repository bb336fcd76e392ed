package forward

import (
	"github.com/cespare/xxhash/v2"
	"github.com/siskinvane/siskinvane/internal/request/header"
	"github.com/siskinvane/siskinvane/internal/request/idempotency"
	"github.com/siskinvane/siskinvane/internal/request/outcome"
	"github.com/siskinvane/siskinvane/internal/request/retry"
)

// runKeyed runs r, once only if it carries an idempotency key.
func (f *Forwarder) runKeyed(r *request) error {
	text := r.c.Request.Header.Peek(header.IdempotencyKey)
	if len(text) == 0 || retry.Safe(r.method) || f.config.Coordinator == nil {
		return f.admit(r)
	}
	if len(text) > idempotency.MaxKeyBytes {
		return outcome.New(400, outcome.NotRun, outcome.BadRequest, "%s: %d bytes, at most %d",
			header.IdempotencyKey, len(text), idempotency.MaxKeyBytes)
	}
	key := idempotency.Key{Service: r.service.Name, Key: string(text)}
	ticket, answer, err := f.config.Coordinator.Begin(key, r.print(), r.deadline)
	if err != nil {
		return err
	}
	if answer != nil {
		r.replay(answer)
		return nil
	}
	r.keyed = true
	err = f.admit(r)
	f.config.Coordinator.End(ticket, r.told(err), r.answer)
	return err
}

// told is the outcome that the caller gets.
func (r *request) told(err error) outcome.Outcome {
	switch {
	case err != nil:
		return outcome.FromError(err).Outcome
	case r.answer != nil:
		return outcome.Answered
	}
	return outcome.Unknown
}

// print identifies the request. Of a streamed body it holds the length only.
func (r *request) print() uint64 {
	h := xxhash.New()
	h.WriteString(r.method)                      //nolint:errcheck // a hash takes all bytes
	h.Write(r.target)                            //nolint:errcheck // a hash takes all bytes
	h.WriteString(header.FormatLength(r.length)) //nolint:errcheck // a hash takes all bytes
	h.Write(r.body)                              //nolint:errcheck // a hash takes all bytes
	return h.Sum64()
}

// keep copies the whole answer that the caller gets.
func (r *request) keep() {
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
	r.answer = a
}

// replay gives the caller the answer to the first request with its key.
func (r *request) replay(a *idempotency.Answer) {
	resp := &r.c.Response
	resp.SetStatusCode(a.Status)
	for _, field := range a.Header {
		resp.Header.Add(field.Name, field.Value)
	}
	resp.Header.Set(header.Replayed, "true")
	resp.SetBody(a.Body)
}
