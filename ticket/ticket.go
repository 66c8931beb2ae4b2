// Package ticket hands out ids for non-idempotent requests that one process
// may run, from its memory.
package ticket

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/record"
	"celeryreach.example/celeryreach/repeat"
)

const (
	prefix   = "ticket:"
	parts    = 5
	macBytes = 8
	// fieldBytes is about what a header field takes besides its text.
	fieldBytes = 64
)

// Ticket is the memory of one process. An id names host, incarnation and
// sequence number, as producer id, epoch and sequence do in "Exactly-Once
// Semantics: Idempotent Producers, Transactions, and the Read-Process-Write
// Loop"; a process that is replaced takes the right
// to run its tickets with it, so no store is asked.
type Ticket struct {
	// Clock ages the tickets.
	Clock clockwork.Clock
	// Host is the name of this host.
	Host string
	// Incarnation is the incarnation of this host.
	Incarnation uint64
	// Find returns the caller address of a process that still runs.
	Find func(host string, incarnation uint64) (address string, ok bool)
	// Lifetime is how long a ticket may be used, and its answer given again.
	Lifetime time.Duration
	// Bytes is how much of the answers is kept. Later ones are not kept; their
	// tickets stay used.
	Bytes int
	// Limit is the greatest number of used tickets in memory.
	Limit int

	mu     sync.Mutex
	secret []byte
	next   uint64
	low    uint64
	marks  []mark
	used   map[uint64]*use
	kept   int
}

// mark is the next sequence number at a moment.
type mark struct {
	at   time.Time
	next uint64
}

type use struct {
	digest string
	record record.Record
	done   chan struct{}
}

// Is reports whether an id has the form of a ticket.
func Is(id string) bool {
	return strings.HasPrefix(id, prefix)
}

// Mint returns n new tickets for a client account.
func (t *Ticket) Mint(account string, n int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.age()
	r := make([]string, n)
	for i := range r {
		r[i] = t.name(account, t.next)
		t.next++
	}
	return r
}

// Begin claims a ticket. The attempt may run only if the returned outcome is
// empty, and must then be ended with End; an Answered outcome comes with the
// record whose answer is to be given again.
func (t *Ticket) Begin(ctx context.Context, account, id, attempt, digest string) (record.Record, outcome.Outcome) {
	r := record.Record{Attempt: attempt, Host: t.Host, Incarnation: t.Incarnation, Digest: digest, State: record.Running}
	for {
		u, k, o := t.enter(account, id, r)
		if u == nil || k {
			return r, o
		}
		if u.digest != digest {
			return r, repeat.Outcome(record.Record{Digest: u.digest}, digest, false)
		}
		select {
		case <-u.done:
		case <-ctx.Done():
			return r, repeat.Outcome(r, digest, true)
		}
		if u.record.State != record.Void {
			return u.record, repeat.Outcome(u.record, digest, false)
		}
	}
}

// End keeps how an attempt that Begin let run has ended.
func (t *Ticket) End(_, id string, r record.Record) {
	n, _ := sequence(id)
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.used[n]
	if u == nil || u.record.Attempt != r.Attempt {
		panic("ticket: End of an attempt that does not run")
	}
	if r.State == record.Void || n < t.low {
		delete(t.used, n)
		u.record = r
		close(u.done)
		return
	}
	if t.kept+size(r) > t.Bytes {
		r.State = record.Large
		r.Body = nil
		r.Header = nil
	}
	t.kept += size(r)
	u.record = r
	close(u.done)
}

// enter returns the use of a ticket, a new one if there is none, or the
// outcome of a ticket that this process cannot run.
func (t *Ticket) enter(account, id string, r record.Record) (*use, bool, outcome.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.age()
	n, o := t.check(account, id)
	if o.Outcome != "" {
		return nil, false, o
	}
	if u := t.used[n]; u != nil {
		return u, false, outcome.Outcome{}
	}
	if len(t.used) >= t.Limit {
		return nil, false, outcome.Outcome{
			Outcome: outcome.NoCapacity, Ran: outcome.RanNo,
			Message: "too many tickets are in use", RetryAfter: time.Second,
		}
	}
	u := &use{digest: r.Digest, record: r, done: make(chan struct{})}
	if t.used == nil {
		t.used = make(map[uint64]*use)
	}
	t.used[n] = u
	return u, true, outcome.Outcome{}
}

// check returns the sequence number of a ticket that this process handed out
// to the account and still remembers.
func (t *Ticket) check(account, id string) (uint64, outcome.Outcome) {
	n, ok := sequence(id)
	p := strings.Split(id, ":")
	if !ok {
		return 0, outcome.Outcome{Outcome: outcome.BadRequest, Ran: outcome.RanNo, Message: "the id is no ticket"}
	}
	if p[1] != t.Host || p[2] != strconv.FormatUint(t.Incarnation, 36) {
		return 0, t.elsewhere(p)
	}
	if n >= t.next || !hmac.Equal([]byte(id), []byte(t.name(account, n))) {
		return 0, outcome.Outcome{Outcome: outcome.BadRequest, Ran: outcome.RanNo, Message: "the ticket was not given to this account"}
	}
	if n < t.low {
		return 0, outcome.Outcome{Outcome: outcome.OutcomeUnknown, Ran: outcome.RanUnknown, Message: "the ticket has expired; it is not run any more"}
	}
	return n, outcome.Outcome{}
}

// elsewhere is the outcome of another process's ticket.
func (t *Ticket) elsewhere(p []string) outcome.Outcome {
	i, err := strconv.ParseUint(p[2], 36, 64)
	if a, ok := t.Find(p[1], i); ok && err == nil {
		return outcome.Outcome{
			Outcome: outcome.TicketElsewhere, Ran: outcome.RanUnknown,
			Message: "only the host that handed out the ticket can run it", EntryHosts: []string{a},
		}
	}
	return outcome.Outcome{
		Outcome: outcome.OutcomeUnknown, Ran: outcome.RanUnknown,
		Message: "the host that handed out the ticket is gone; the ticket is never run again",
	}
}

// age forgets the uses of old tickets. Their numbers fall below low, and a
// number below low never runs, so forgetting cannot run a ticket twice.
func (t *Ticket) age() {
	n := t.Clock.Now()
	if len(t.marks) == 0 || n.Sub(t.marks[len(t.marks)-1].at) >= t.Lifetime/16 {
		t.marks = append(t.marks, mark{at: n, next: t.next})
	}
	l := t.low
	for len(t.marks) > 0 && n.Sub(t.marks[0].at) >= t.Lifetime {
		l = t.marks[0].next
		t.marks = t.marks[1:]
	}
	for ; t.low < l; t.low++ {
		u := t.used[t.low]
		if u == nil {
			continue
		}
		select {
		case <-u.done:
			t.kept -= size(u.record)
			delete(t.used, t.low)
		default: // it runs; End needs it, and its number is below low anyway
		}
	}
}

// name is the ticket of a sequence number. The code at its end binds it to the
// account, so that nobody uses up another account's tickets by guessing.
func (t *Ticket) name(account string, n uint64) string {
	if t.secret == nil {
		t.secret = []byte(rand.Text())
	}
	m := hmac.New(sha256.New, t.secret)
	fmt.Fprintf(m, "%d:%s", n, account)
	return fmt.Sprintf("%s%s:%s:%s:%s", prefix, t.Host, strconv.FormatUint(t.Incarnation, 36),
		strconv.FormatUint(n, 36), hex.EncodeToString(m.Sum(nil)[:macBytes]))
}

// size is about what the answer of a record takes in memory.
func size(r record.Record) int {
	n := len(r.Body)
	for k, v := range r.Header {
		n += len(k) + fieldBytes
		for _, w := range v {
			n += len(w)
		}
	}
	return n
}

func sequence(id string) (uint64, bool) {
	p := strings.Split(id, ":")
	if len(p) != parts {
		return 0, false
	}
	n, err := strconv.ParseUint(p[3], 36, 64)
	return n, err == nil
}
