// Package dedup runs a non-idempotent request with an id at most once,
// regardless of the host or failure domain that its attempts reach.
package dedup

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/record"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/responsecopier"
	"celeryreach.example/celeryreach/sendgate"
	"celeryreach.example/celeryreach/ticketstore"
)

const (
	// maxBodyBytes limits the body of a request with an id. The body is held in
	// memory, because its digest is needed before the request is sent.
	maxBodyBytes = 1 << 20
	// maxAnswerBytes limits an answer that is recorded for replay.
	maxAnswerBytes = 64 << 10
)

// attemptStore decides whether an attempt may run its id, and records how the
// attempt ended.
type attemptStore struct {
	begin func(ctx context.Context, account, id, attempt, digest string) (record.Record, outcome.Outcome)
	end   func(account, id string, r record.Record)
}

// Dedup runs on the entry host, before the request is sent to the host's own
// failure domain or to another one. One attempt therefore covers both cases,
// and the host that the caller is connected to owns the record.
type Dedup struct {
	// Begin and End record caller-chosen ids in the store.
	Begin func(ctx context.Context, account, id, attempt, digest string) (record.Record, outcome.Outcome)
	End   func(account, id string, r record.Record)
	// Tickets records tickets in memory.
	Tickets *ticketstore.Ticketstore
}

// Serve runs r, or replays the recorded answer of an earlier attempt.
func (o *Dedup) Serve(ctx context.Context, r *request.Request, w http.ResponseWriter, run func(context.Context, *request.Request, http.ResponseWriter) outcome.Outcome) outcome.Outcome {
	d, e := digest(r)
	if e.Outcome != "" {
		return e
	}
	l := attemptStore{begin: o.Begin, end: o.End}
	if ticketstore.Is(r.IdempotencyID) {
		l = attemptStore{begin: o.Tickets.Begin, end: o.Tickets.End}
	}
	c, e := l.begin(ctx, r.Credential.Account, r.IdempotencyID, r.ID, d)
	if e.Outcome == outcome.Answered {
		responsecopier.Write(w, c.Status, c.Header, c.Body)
		return e
	}
	if e.Outcome != "" {
		return e
	}
	return l.run(ctx, r, w, c, run)
}

// run makes the attempt. A caller that disconnects before the request is sent
// cancels it. After that point the request continues, because the caller will
// repeat it to get the outcome, and a canceled request has no outcome.
func (l attemptStore) run(ctx context.Context, r *request.Request, w http.ResponseWriter, c record.Record, run func(context.Context, *request.Request, http.ResponseWriter) outcome.Outcome) outcome.Outcome {
	r.SendGate = new(sendgate.Sendgate)
	x, a := context.WithCancel(context.WithoutCancel(ctx))
	defer a()
	s := context.AfterFunc(ctx, func() {
		if r.SendGate.Refuse() {
			a()
		}
	})
	defer s()
	k := &recordingWriter{writer: w, callerCtx: ctx, header: make(http.Header)}
	c.State = record.Unknown
	// Forwarding the answer may panic, which must also end the attempt.
	defer func() { l.end(r.Credential.Account, r.IdempotencyID, c) }()
	e := run(x, r, k)
	switch {
	case e.Outcome == outcome.Answered:
		k.fillRecord(&c)
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
		v, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
		if err != nil {
			return "", outcome.Outcome{Outcome: outcome.BadRequest, Ran: outcome.RanNo, Message: "failed to read the request body"}
		}
		b = v
	}
	if len(b) > maxBodyBytes {
		return "", outcome.Outcome{
			Outcome: outcome.TooLarge, Ran: outcome.RanNo,
			Message: fmt.Sprintf("the body of a request with an id must not exceed %d bytes", maxBodyBytes),
		}
	}
	r.Length = int64(len(b))
	r.Header.Set("Content-Length", strconv.Itoa(len(b)))
	r.Rewind = func() io.Reader { return bytes.NewReader(b) }
	r.Body = r.Rewind()
	h := sha256.New()
	// The length prefixes make "ab"+"c" differ from "a"+"bc".
	fmt.Fprintf(h, "%d %s %d %s %d ", len(r.Method), r.Method, len(r.Target), r.Target, len(b))
	h.Write(b)
	return hex.EncodeToString(h.Sum(nil)), outcome.Outcome{}
}
