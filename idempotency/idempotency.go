// Package idempotency makes sure that a non-idempotent request with an id of
// its caller's runs at most once.
package idempotency

import (
	"context"
	"net/url"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/deadline"
	"celeryreach.example/celeryreach/group"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/record"
	"celeryreach.example/celeryreach/repeat"
	"celeryreach.example/celeryreach/row"
	"celeryreach.example/celeryreach/store"
)

const (
	prefix = "idempotency/"
	// roundPause keeps a store that answers with errors from being asked in a
	// tight loop.
	roundPause = 10 * time.Millisecond
	// downPause is how long requests are refused without asking a store that
	// has just failed, so that a slow store does not hold up every caller for
	// the whole Timeout.
	downPause = 200 * time.Millisecond
)

// Idempotency keeps one row for each id in the platform's table. The row is
// written before the request leaves; whoever finds a row that is not its own
// never runs the request.
type Idempotency struct {
	// Clock stamps the records for expiry.
	Clock clockwork.Clock
	// Platform holds the records.
	Platform store.Store
	// Group writes the rows that let requests run.
	Group *group.Group
	// Host is the name of this host.
	Host string
	// Incarnation is the incarnation of this host.
	Incarnation uint64
	// Alive reports whether a process that owns a record still runs.
	Alive func(host string, incarnation uint64) bool
	// Timeout bounds the wait for the store before a request is refused.
	Timeout time.Duration
	// Index returns rows that Begin writes along, for expiry; nil means none.
	Index func(key string, started time.Time) []row.Row

	mu      sync.Mutex
	active  map[string]*attempt
	given   map[string]bool
	pending []*attempt
	wake    chan struct{}
	down    time.Time
}

// attempt is one arrival that tries to own an id. Its record is final once
// done is closed.
type attempt struct {
	key     string
	digest  string
	record  record.Record
	version uint64
	done    chan struct{}
}

// Begin inserts the record of an attempt. The attempt may run only if the
// returned outcome is empty, and must then be ended with End; an Answered
// outcome comes with the record whose answer is to be given again.
func (i *Idempotency) Begin(ctx context.Context, account, id, name, digest string) (record.Record, outcome.Outcome) {
	r := record.Record{
		Attempt: name, Host: i.Host, Incarnation: i.Incarnation, Digest: digest,
		Started: i.Clock.Now().UTC(), State: record.Running,
	}
	k := Key(account, id)
	for {
		a, n := i.enter(k, r)
		if n {
			return i.insert(ctx, a)
		}
		if a.digest != digest {
			return r, repeat.Outcome(record.Record{Digest: a.digest}, digest, false)
		}
		select {
		case <-a.done:
		case <-ctx.Done():
			return r, refuse(outcome.Running, outcome.RanUnknown, "an earlier attempt runs")
		}
		if a.record.State != record.Void {
			return a.record, i.reply(a.record, digest)
		}
	}
}

// End records how an attempt that Begin let run has ended. It does not wait
// for the store: Run writes the record, and until then this host answers for
// the id from memory.
func (i *Idempotency) End(account, id string, r record.Record) {
	i.mu.Lock()
	defer i.mu.Unlock()
	a := i.active[Key(account, id)]
	if a == nil || a.record.Attempt != r.Attempt {
		panic("idempotency: End of an attempt that does not run")
	}
	i.end(a, r)
}

// Key returns the row key of an id.
func Key(account, id string) string {
	return prefix + url.PathEscape(account) + "/" + url.PathEscape(id)
}

// enter returns the attempt that owns the id on this host, a new one if there
// is none. An attempt that did not run is replaced even before the store
// knows.
func (i *Idempotency) enter(k string, r record.Record) (*attempt, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.active == nil {
		i.active = make(map[string]*attempt)
		i.given = make(map[string]bool)
	}
	if a := i.active[k]; a != nil && !a.void() {
		return a, false
	}
	a := &attempt{key: k, digest: r.Digest, record: r, done: make(chan struct{})}
	i.active[k] = a
	return a, true
}

// insert writes the record until it is known who owns the row. An insert whose
// answer was lost is settled by writing it again: whichever of the two takes
// effect first makes the other fail its expectation, and the row then names
// this attempt or another one.
func (i *Idempotency) insert(ctx context.Context, a *attempt) (record.Record, outcome.Outcome) {
	if i.Clock.Now().Before(i.downUntil()) {
		return i.drop(a, unavailable())
	}
	b, err := codec.Marshal(a.record)
	if err != nil {
		panic(err) // a Record holds nothing that JSON cannot
	}
	x, f := deadline.With(ctx, i.Clock, i.Timeout)
	defer f()
	v := uint64(0)
	for {
		ok, err := i.Group.Write(x, row.Row{Key: a.key, Value: b, Version: v}, i.index(a)...)
		if err == nil && ok {
			return i.grant(a, v+1)
		}
		o, e := i.Platform.Read(x, a.key)
		if e != nil || x.Err() != nil {
			return i.giveUp(ctx, a)
		}
		c, w := i.owner(o, a)
		if w == theirs {
			return i.settle(a, c)
		}
		if w == ours {
			return i.grant(a, o.Version)
		}
		v = o.Version
		if err != nil {
			i.pause(x)
		}
	}
}

// Owners of a row.
const (
	nobody = iota
	ours
	theirs
)

// owner tells who holds a row: nobody if it is absent, void, or left by an
// attempt of this process that was given up.
func (i *Idempotency) owner(o row.Row, a *attempt) (record.Record, int) {
	var v record.Record
	if o.Version == 0 {
		return v, nobody
	}
	if err := codec.Unmarshal(o.Value, &v); err != nil {
		return record.Record{Digest: a.digest, State: record.Unknown}, theirs
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case v.Attempt == a.record.Attempt:
		return v, ours
	case v.State == record.Void || v.State == record.Running && i.given[v.Attempt]:
		return v, nobody
	default:
		return v, theirs
	}
}

func (i *Idempotency) grant(a *attempt, version uint64) (record.Record, outcome.Outcome) {
	i.mu.Lock()
	defer i.mu.Unlock()
	a.version = version
	return a.record, outcome.Outcome{}
}

// settle ends an attempt that lost the id to the owner of record v.
func (i *Idempotency) settle(a *attempt, v record.Record) (record.Record, outcome.Outcome) {
	i.mu.Lock()
	a.record = v
	close(a.done)
	i.forget(a)
	i.mu.Unlock()
	return v, i.reply(v, a.digest)
}

// giveUp refuses a request whose record could not be settled. "Not run" is
// true, because only a granted attempt is sent. The insert may still take
// effect later; Run voids it, and this process knows the attempt as given up,
// so that it blocks the id for no longer than the store is out.
func (i *Idempotency) giveUp(ctx context.Context, a *attempt) (record.Record, outcome.Outcome) {
	i.mu.Lock()
	defer i.mu.Unlock()
	r := a.record
	r.State = record.Void
	i.end(a, r)
	if ctx.Err() != nil {
		return r, refuse(outcome.Left, outcome.RanNo, "the caller left")
	}
	i.down = i.Clock.Now().Add(downPause)
	return r, unavailable()
}

// drop ends an attempt for which nothing was sent to the store.
func (i *Idempotency) drop(a *attempt, o outcome.Outcome) (record.Record, outcome.Outcome) {
	i.mu.Lock()
	defer i.mu.Unlock()
	a.record.State = record.Void
	close(a.done)
	i.forget(a)
	return a.record, o
}

// reply is the answer to an arrival that finds record v.
func (i *Idempotency) reply(v record.Record, digest string) outcome.Outcome {
	return repeat.Outcome(v, digest, i.runs(v))
}

// runs reports whether the owner of a record may still end it. This process
// answers for its own attempts from memory, so a row of its own that memory
// does not know is over.
func (i *Idempotency) runs(v record.Record) bool {
	if v.Host == i.Host {
		return false
	}
	return i.Alive(v.Host, v.Incarnation)
}

func (i *Idempotency) index(a *attempt) []row.Row {
	if i.Index == nil {
		return nil
	}
	return i.Index(a.key, a.record.Started)
}

func (i *Idempotency) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-i.Clock.After(roundPause):
	}
}

func (i *Idempotency) downUntil() time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.down
}

// forget takes an attempt off the map. The caller holds the lock.
func (i *Idempotency) forget(a *attempt) {
	if i.active[a.key] == a {
		delete(i.active, a.key)
	}
}

// void reports whether an attempt has ended without running. The caller holds
// the lock.
func (a *attempt) void() bool {
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
