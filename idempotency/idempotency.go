// Package idempotency runs a non-idempotent request that carries a
// caller-chosen id at most once.
package idempotency

import (
	"context"
	"net/url"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/commitbatch"
	"celeryreach.example/celeryreach/deadline"
	"celeryreach.example/celeryreach/duplicate"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/record"
	"celeryreach.example/celeryreach/row"
	"celeryreach.example/celeryreach/store"
)

const (
	prefix = "idempotency/"
	// retryDelay limits the rate of requests to a store that answers with
	// errors.
	retryDelay = 10 * time.Millisecond
	// storeBackoff is how long requests are refused without calling the store
	// after it has failed, so that a slow store does not delay every caller by
	// the full Timeout.
	storeBackoff = 200 * time.Millisecond
)

// Idempotency keeps one row per id in the platform's table. The row is written
// before the request is sent, and an attempt that finds the row of another
// attempt never runs the request.
type Idempotency struct {
	// Clock gives the start time of the records, which expiry uses.
	Clock clockwork.Clock
	// Store holds the records.
	Store store.Store
	// CommitBatch batches the writes of the rows that permit requests to run.
	CommitBatch *commitbatch.Commitbatch
	// Host is the name of this host.
	Host string
	// Incarnation is the incarnation of this host.
	Incarnation uint64
	// IsAlive reports whether the process that owns a record is still running.
	IsAlive func(host string, incarnation uint64) bool
	// Timeout bounds the wait for the store. A request that has waited for this
	// time is refused.
	Timeout time.Duration
	// IndexRows returns additional rows that Begin writes with the record, so that
	// expiry can find it; nil means none.
	IndexRows func(key string, started time.Time) []row.Row

	mu sync.Mutex
	// active holds the running attempts, and the ended ones until their record
	// is written, by row key.
	active map[string]*attempt
	// voided holds the names of void attempts until their record is written.
	voided map[string]bool
	// pending holds the ended attempts whose record is not written yet.
	pending []*attempt
	wake    chan struct{}
	// backoffUntil is the time until which no insert calls the store.
	backoffUntil time.Time
}

// attempt is one arrival of a request that tries to own an id. Its record is
// final once done is closed.
type attempt struct {
	key     string
	digest  string
	record  record.Record
	version uint64
	done    chan struct{}
}

// Begin inserts the record of an attempt. If the returned outcome is empty, the
// attempt may run and must then be ended with End. If the outcome is Answered,
// the returned record holds the answer to replay.
func (i *Idempotency) Begin(ctx context.Context, account, id, name, digest string) (record.Record, outcome.Outcome) {
	r := record.Record{
		Attempt: name, Host: i.Host, Incarnation: i.Incarnation, Digest: digest,
		Started: i.Clock.Now().UTC(), State: record.Running,
	}
	k := Key(account, id)
	for {
		a, n := i.acquire(k, r)
		if n {
			return i.insert(ctx, a)
		}
		if a.digest != digest {
			return r, duplicate.Outcome(record.Record{Digest: a.digest}, digest, false)
		}
		select {
		case <-a.done:
		case <-ctx.Done():
			return r, refuse(outcome.Running, outcome.RanUnknown, "an earlier attempt is still running")
		}
		if a.record.State != record.Void {
			return a.record, i.outcomeFor(a.record, digest)
		}
	}
}

// End records the result of an attempt that Begin permitted to run. It does not
// wait for the store: Run writes the record, and until then this host serves
// the id from memory.
func (i *Idempotency) End(account, id string, r record.Record) {
	i.mu.Lock()
	defer i.mu.Unlock()
	a := i.active[Key(account, id)]
	if a == nil || a.record.Attempt != r.Attempt {
		panic("idempotency: End called for an attempt that is not running")
	}
	i.end(a, r)
}

// Key returns the row key of an id.
func Key(account, id string) string {
	return prefix + url.PathEscape(account) + "/" + url.PathEscape(id)
}

// acquire returns the attempt that owns the id on this host, and true if it
// created that attempt. A void attempt is replaced even before the store has
// its void record.
func (i *Idempotency) acquire(k string, r record.Record) (*attempt, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.active == nil {
		i.active = make(map[string]*attempt)
		i.voided = make(map[string]bool)
	}
	if a := i.active[k]; a != nil && !a.isVoid() {
		return a, false
	}
	a := &attempt{key: k, digest: r.Digest, record: r, done: make(chan struct{})}
	i.active[k] = a
	return a, true
}

// insert writes the record until the owner of the row is known. If the answer
// to a write is lost, the same write is sent again: whichever copy takes effect
// first makes the other fail its version check, and the row then names either
// this attempt or another one.
func (i *Idempotency) insert(ctx context.Context, a *attempt) (record.Record, outcome.Outcome) {
	if i.Clock.Now().Before(i.storeBackoffEnd()) {
		return i.discard(a, unavailable())
	}
	b, err := codec.Marshal(a.record)
	if err != nil {
		panic(err) // a Record always encodes as JSON
	}
	x, f := deadline.With(ctx, i.Clock, i.Timeout)
	defer f()
	v := uint64(0)
	for {
		ok, err := i.CommitBatch.Write(x, row.Row{Key: a.key, Value: b, Version: v}, i.indexRows(a)...)
		if err == nil && ok {
			return i.grant(a, v+1)
		}
		o, c, w, e := i.readOwner(x, a)
		if e != nil || x.Err() != nil {
			return i.refuseUnwritten(ctx, a)
		}
		if w == ownedByOther {
			return i.useStoredRecord(a, c)
		}
		if w == ownedBySelf {
			return i.grant(a, o.Version)
		}
		v = o.Version
		if err != nil {
			i.pause(x)
		}
	}
}

// readOwner reads the row of an attempt until it is known who owns it.
func (i *Idempotency) readOwner(ctx context.Context, a *attempt) (o row.Row, r record.Record, owner int, err error) {
	for {
		o, err = i.Store.Read(ctx, a.key)
		if err != nil || ctx.Err() != nil {
			return o, r, unowned, err
		}
		r, owner = i.owner(o, a)
		if owner != outdated {
			return o, r, owner, nil
		}
		i.pause(ctx)
	}
}

// Owners of a row.
const (
	unowned = iota
	ownedBySelf
	ownedByOther
	outdated // this process has written the final record since the row was read
)

// owner returns the record in a row and who owns the row. A row is unowned if
// it is absent, void, or left by an attempt that this process gave up.
func (i *Idempotency) owner(o row.Row, a *attempt) (record.Record, int) {
	var v record.Record
	if o.Version == 0 {
		return v, unowned
	}
	if err := codec.Unmarshal(o.Value, &v); err != nil {
		return record.Record{Digest: a.digest, State: record.Unknown}, ownedByOther
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case v.Attempt == a.record.Attempt:
		return v, ownedBySelf
	case v.State == record.Void || v.State == record.Running && i.voided[v.Attempt]:
		return v, unowned
	case v.State == record.Running && v.Host == i.Host && v.Incarnation == i.Incarnation:
		// a is the active attempt of the id, so the one in the row has ended.
		return v, outdated
	default:
		return v, ownedByOther
	}
}

func (i *Idempotency) grant(a *attempt, version uint64) (record.Record, outcome.Outcome) {
	i.mu.Lock()
	defer i.mu.Unlock()
	a.version = version
	return a.record, outcome.Outcome{}
}

// useStoredRecord ends an attempt whose id is owned by another attempt, with record v of
// that owner.
func (i *Idempotency) useStoredRecord(a *attempt, v record.Record) (record.Record, outcome.Outcome) {
	i.mu.Lock()
	a.record = v
	close(a.done)
	i.removeActive(a)
	i.mu.Unlock()
	return v, i.outcomeFor(v, a.digest)
}

// refuseUnwritten refuses a request if it is uncertain whether its record was written.
// The outcome "not run" is correct, because a request is sent only after its attempt
// was permitted to run. The insert may still take effect later. Run then voids it, and
// this process treats the attempt as given up, so that the attempt blocks the id no
// longer than the store is unavailable.
func (i *Idempotency) refuseUnwritten(ctx context.Context, a *attempt) (record.Record, outcome.Outcome) {
	i.mu.Lock()
	defer i.mu.Unlock()
	r := a.record
	r.State = record.Void
	i.end(a, r)
	if ctx.Err() != nil {
		return r, refuse(outcome.Left, outcome.RanNo, "the caller left")
	}
	i.backoffUntil = i.Clock.Now().Add(storeBackoff)
	return r, unavailable()
}

// discard ends an attempt for which nothing was sent to the store.
func (i *Idempotency) discard(a *attempt, o outcome.Outcome) (record.Record, outcome.Outcome) {
	i.mu.Lock()
	defer i.mu.Unlock()
	a.record.State = record.Void
	close(a.done)
	i.removeActive(a)
	return a.record, o
}

// outcomeFor returns the outcome of a request that finds record v.
func (i *Idempotency) outcomeFor(v record.Record, digest string) outcome.Outcome {
	return duplicate.Outcome(v, digest, i.ownerAlive(v))
}

// ownerAlive reports whether the process that owns a record may still be
// running the attempt. This process serves its own attempts from memory, so a
// row of this host that is not in memory belongs to an attempt that has already
// ended.
func (i *Idempotency) ownerAlive(v record.Record) bool {
	if v.Host == i.Host {
		return false
	}
	return i.IsAlive(v.Host, v.Incarnation)
}

func (i *Idempotency) indexRows(a *attempt) []row.Row {
	if i.IndexRows == nil {
		return nil
	}
	return i.IndexRows(a.key, a.record.Started)
}

func (i *Idempotency) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-i.Clock.After(retryDelay):
	}
}

func (i *Idempotency) storeBackoffEnd() time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.backoffUntil
}

// removeActive removes an attempt from the active ones. The caller holds the
// lock.
func (i *Idempotency) removeActive(a *attempt) {
	if i.active[a.key] == a {
		delete(i.active, a.key)
	}
}

// isVoid reports whether an attempt has ended without running. The caller holds
// the lock.
func (a *attempt) isVoid() bool {
	select {
	case <-a.done:
		return a.record.State == record.Void
	default:
		return false
	}
}

func unavailable() outcome.Outcome {
	o := refuse(outcome.StoreUnavailable, outcome.RanNo, "the request could not be recorded")
	o.RetryAfter = time.Second
	return o
}

func refuse(o, ran, m string) outcome.Outcome {
	return outcome.Outcome{Outcome: o, Ran: ran, Message: m}
}
