// Package once runs a non-idempotent request with an id at most once, whichever
// host or failure domain its attempts reach.
package once

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"celeryreach.example/celeryreach/gate"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/record"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/ticket"
	"celeryreach.example/celeryreach/whole"
)

const (
	// bodyBytes bounds the body of a request with an id: it is held in
	// memory, since its digest decides before anything leaves.
	bodyBytes = 1 << 20
	// answerBytes bounds an answer that can be given again.
	answerBytes = 64 << 10
)

// ledger decides who may run an id and keeps how the attempt ended.
type ledger struct {
	begin func(ctx context.Context, account, id, attempt, digest string) (record.Record, outcome.Outcome)
	end   func(account, id string, r record.Record)
}

// Once stands at the entry host, before the request goes to its own failure
// domain or another one: so one attempt covers both, and the host that the
// caller talks to owns the record.
type Once struct {
	// Begin and End keep the records of callers' own ids in the store.
	Begin func(ctx context.Context, account, id, attempt, digest string) (record.Record, outcome.Outcome)
	End   func(account, id string, r record.Record)
	// Tickets keeps those of tickets in memory.
	Tickets *ticket.Ticket
}

// Serve runs r, or answers from the record of an earlier attempt.
func (o *Once) Serve(ctx context.Context, r *request.Request, w http.ResponseWriter, run func(context.Context, *request.Request, http.ResponseWriter) outcome.Outcome) outcome.Outcome {
	d, e := digest(r)
	if e.Outcome != "" {
		return e
	}
	l := ledger{begin: o.Begin, end: o.End}
	if ticket.Is(r.IdempotencyID) {
		l = ledger{begin: o.Tickets.Begin, end: o.Tickets.End}
	}
	c, e := l.begin(ctx, r.Credential.Account, r.IdempotencyID, r.ID, d)
	if e.Outcome == outcome.Answered {
		whole.Write(w, c.Status, c.Header, c.Body)
		return e
	}
	if e.Outcome != "" {
		return e
	}
	return l.run(ctx, r, w, c, run)
}

// run makes the attempt. A caller that leaves before the request was sent
// gives it up; one that leaves later changes nothing, because the caller will
// ask for the outcome, and a canceled request has none.
func (l ledger) run(ctx context.Context, r *request.Request, w http.ResponseWriter, c record.Record, run func(context.Context, *request.Request, http.ResponseWriter) outcome.Outcome) outcome.Outcome {
	r.Gate = new(gate.Gate)
	x, a := context.WithCancel(context.WithoutCancel(ctx))
	defer a()
	s := context.AfterFunc(ctx, func() {
		if r.Gate.Refuse() {
			a()
		}
	})
	defer s()
	k := &keep{writer: w, left: ctx, header: make(http.Header)}
	c.State = record.Unknown
	// The answer may break off with a panic, which ends the attempt as well.
	defer func() { l.end(r.Credential.Account, r.IdempotencyID, c) }()
	e := run(x, r, k)
	switch {
	case e.Outcome == outcome.Answered:
		k.fill(&c)
	case e.Ran == outcome.RanNo:
		c.State = record.Void
	}
	if ctx.Err() != nil {
		return outcome.Outcome{Outcome: outcome.Left, Ran: e.Ran, Message: "the caller left"}
	}
	return e
}

// digest buffers the body and returns the hash of method, target and body.
func digest(r *request.Request) (string, outcome.Outcome) {
	var b []byte
	if r.Body != nil {
		v, err := io.ReadAll(io.LimitReader(r.Body, bodyBytes+1))
		if err != nil {
			return "", outcome.Outcome{Outcome: outcome.BadRequest, Ran: outcome.RanNo, Message: "the body broke off"}
		}
		b = v
	}
	if len(b) > bodyBytes {
		return "", outcome.Outcome{
			Outcome: outcome.TooLarge, Ran: outcome.RanNo,
			Message: fmt.Sprintf("a request with an id may have a body of %d bytes", bodyBytes),
		}
	}
	r.Length = int64(len(b))
	r.Header.Set("Content-Length", strconv.Itoa(len(b)))
	r.Rewind = func() io.Reader { return bytes.NewReader(b) }
	r.Body = r.Rewind()
	h := sha256.New()
	// The lengths keep "ab"+"c" from being "a"+"bc".
	fmt.Fprintf(h, "%d %s %d %s %d ", len(r.Method), r.Method, len(r.Target), r.Target, len(b))
	h.Write(b)
	return hex.EncodeToString(h.Sum(nil)), outcome.Outcome{}
}
