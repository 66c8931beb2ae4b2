// Package idempotency makes sure that a non-idempotent request with an id of
// its caller's runs at most once.
package idempotency

import (
	"context"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/commit"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/platform"
	"celeryreach.example/celeryreach/record"
	"celeryreach.example/celeryreach/row"
)

const prefix = "idempotency/"

// Idempotency keeps one row for each id in the platform's table.
type Idempotency struct {
	// Clock stamps the records for expiry.
	Clock clockwork.Clock
	// Platform holds the records.
	Platform platform.Platform
	// Host is the name of this host.
	Host string
	// Incarnation is the incarnation of this host.
	Incarnation uint64
}

// Begin inserts the record of an attempt. The attempt may run only if the
// returned outcome is empty; an Answered outcome comes with the record whose
// answer is to be given again.
func (i *Idempotency) Begin(ctx context.Context, account, id, attempt, digest string) (record.Record, outcome.Outcome) {
	r := record.Record{Attempt: attempt, Host: i.Host, Incarnation: i.Incarnation, Digest: digest, Started: i.Clock.Now().UTC()}
	k := key(account, id)
	b, err := codec.Marshal(r)
	if err != nil {
		return r, refuse(outcome.BadRequest, outcome.RanNo, err.Error())
	}
	c := commit.Commit{Expect: []row.Row{{Key: k}}, Put: []row.Row{{Key: k, Value: b}}}
	ok, err := i.Platform.Commit(ctx, c)
	if err == nil && ok {
		return r, outcome.Outcome{}
	}
	return i.settle(ctx, k, r)
}

// Finish records the answer of an attempt that Begin admitted.
func (i *Idempotency) Finish(ctx context.Context, account, id string, r record.Record) error {
	k := key(account, id)
	o, err := i.Platform.Read(ctx, k)
	if err != nil {
		return err
	}
	b, err := codec.Marshal(r)
	if err != nil {
		return err
	}
	_, err = i.Platform.Commit(ctx, commit.Commit{Expect: []row.Row{o}, Put: []row.Row{{Key: k, Value: b}}})
	return err
}

// Abandon removes the record of an attempt that is proven not to have run.
func (i *Idempotency) Abandon(ctx context.Context, account, id string) error {
	_, err := i.Platform.Commit(ctx, commit.Commit{Delete: []string{key(account, id)}})
	return err
}

// settle reads back the row after an insert that failed or whose answer was
// lost. Our own attempt's name in it means that the insert took effect.
func (i *Idempotency) settle(ctx context.Context, k string, r record.Record) (record.Record, outcome.Outcome) {
	o, err := i.Platform.Read(ctx, k)
	if err != nil || o.Version == 0 {
		return r, refuse(outcome.StoreUnavailable, outcome.RanNo, "the request could not be recorded")
	}
	var v record.Record
	if err := codec.Unmarshal(o.Value, &v); err != nil {
		return r, refuse(outcome.OutcomeUnknown, outcome.RanUnknown, "the record cannot be read")
	}
	switch {
	case v.Attempt == r.Attempt:
		return r, outcome.Outcome{}
	case v.Digest != r.Digest:
		return v, refuse(outcome.Conflict, outcome.RanNo, "the id was used with another request")
	case v.Done:
		return v, outcome.Outcome{Outcome: outcome.Answered, Ran: outcome.RanYes}
	case v.Host == i.Host && v.Incarnation != i.Incarnation:
		return v, refuse(outcome.OutcomeUnknown, outcome.RanUnknown, "the host that ran it is gone")
	default:
		return v, refuse(outcome.Running, outcome.RanUnknown, "an earlier attempt runs")
	}
}

func refuse(o, ran, m string) outcome.Outcome {
	return outcome.Outcome{Outcome: o, Ran: ran, Message: m}
}

func key(account, id string) string {
	return prefix + account + "/" + id
}
