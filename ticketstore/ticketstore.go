// Package ticketstore issues ids for non-idempotent requests that only the issuing
// process may run. It keeps their state in memory.
package ticketstore

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

	"celeryreach.example/celeryreach/duplicate"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/record"
)

const (
	prefix   = "ticket:"
	idParts  = 5
	macBytes = 8
	// fieldOverheadBytes approximates the memory of a header field beyond its
	// text.
	fieldOverheadBytes = 64
)

// Ticketstore issues tickets and holds their state for one process. An id names
// host, incarnation and sequence number, as producer id, epoch and sequence do
// in "Exactly-Once Semantics: Idempotent Producers, Transactions, and the
// Read-Process-Write Loop". Tickets cannot be run after their process has been
// replaced, so no store is needed.
type Ticketstore struct {
	// Clock measures the age of tickets.
	Clock clockwork.Clock
	// Host is the name of this host.
	Host string
	// Incarnation is the incarnation of this host.
	Incarnation uint64
	// HostAddress returns the caller address of a process that is still running.
	HostAddress func(host string, incarnation uint64) (address string, ok bool)
	// Lifetime is how long a ticket may be used and its answer replayed.
	Lifetime time.Duration
	// MaxAnswerBytes limits the memory for recorded answers. Answers beyond it are not
	// recorded, but their tickets still count as used.
	MaxAnswerBytes int
	// MaxUsed is the maximum number of used tickets in memory.
	MaxUsed int

	mu           sync.Mutex
	secret       []byte
	next         uint64
	expiredBelow uint64 // tickets with a lower sequence number have expired
	checkpoints  []checkpoint
	claims       map[uint64]*claim
	keptBytes    int
}

// checkpoint is the next sequence number at a point in time.
type checkpoint struct {
	at   time.Time
	next uint64
}

// claim is the use of a ticket by an attempt. Its record is final once done is
// closed.
type claim struct {
	digest string
	record record.Record
	done   chan struct{}
}

// Is reports whether an id has the form of a ticket.
func Is(id string) bool {
	return strings.HasPrefix(id, prefix)
}

// Issue returns n new tickets for a client account.
func (t *Ticketstore) Issue(account string, n int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	r := make([]string, n)
	for i := range r {
		r[i] = t.format(account, t.next)
		t.next++
	}
	return r
}

// Begin claims a ticket. If the returned outcome is empty, the attempt may run
// and must then be ended with End. If the outcome is Answered, the returned
// record holds the answer to replay.
func (t *Ticketstore) Begin(ctx context.Context, account, id, attempt, digest string) (record.Record, outcome.Outcome) {
	r := record.Record{Attempt: attempt, Host: t.Host, Incarnation: t.Incarnation, Digest: digest, State: record.Running}
	for {
		u, k, o := t.acquire(account, id, r)
		if u == nil || k {
			return r, o
		}
		if u.digest != digest {
			return r, duplicate.Outcome(record.Record{Digest: u.digest}, digest, false)
		}
		select {
		case <-u.done:
		case <-ctx.Done():
			return r, duplicate.Outcome(r, digest, true)
		}
		if u.record.State != record.Void {
			return u.record, duplicate.Outcome(u.record, digest, false)
		}
	}
}

// End records the result of an attempt that Begin permitted to run.
func (t *Ticketstore) End(_, id string, r record.Record) {
	n, _ := sequence(id)
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.claims[n]
	if u == nil || u.record.Attempt != r.Attempt {
		panic("ticket: End called for an attempt that is not running")
	}
	if r.State == record.Void || n < t.expiredBelow {
		delete(t.claims, n)
		u.record = r
		close(u.done)
		return
	}
	if t.keptBytes+answerSize(r) > t.MaxAnswerBytes {
		r.State = record.Large
		r.Body = nil
		r.Header = nil
	}
	t.keptBytes += answerSize(r)
	u.record = r
	close(u.done)
}

// acquire returns the claim on a ticket, and true if it created that claim. For
// a ticket that this process cannot run, the claim is nil and the outcome is
// set.
func (t *Ticketstore) acquire(account, id string, r record.Record) (*claim, bool, outcome.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	n, o := t.validate(account, id)
	if o.Outcome != "" {
		return nil, false, o
	}
	if u := t.claims[n]; u != nil {
		return u, false, outcome.Outcome{}
	}
	if len(t.claims) >= t.MaxUsed {
		return nil, false, outcome.Outcome{
			Outcome: outcome.NoCapacity, Ran: outcome.RanNo,
			Message: "too many tickets are in use", RetryAfter: time.Second,
		}
	}
	u := &claim{digest: r.Digest, record: r, done: make(chan struct{})}
	if t.claims == nil {
		t.claims = make(map[uint64]*claim)
	}
	t.claims[n] = u
	return u, true, outcome.Outcome{}
}

// validate returns the sequence number of a ticket that this process issued to
// the account and that has not expired.
func (t *Ticketstore) validate(account, id string) (uint64, outcome.Outcome) {
	n, ok := sequence(id)
	p := strings.Split(id, ":")
	if !ok {
		return 0, outcome.Outcome{Outcome: outcome.BadRequest, Ran: outcome.RanNo, Message: "the id is not a valid ticket"}
	}
	if p[1] != t.Host || p[2] != strconv.FormatUint(t.Incarnation, 36) {
		return 0, t.foreignOutcome(p)
	}
	if n >= t.next || !hmac.Equal([]byte(id), []byte(t.format(account, n))) {
		return 0, outcome.Outcome{Outcome: outcome.BadRequest, Ran: outcome.RanNo, Message: "the ticket was not issued to this account"}
	}
	if n < t.expiredBelow {
		return 0, outcome.Outcome{Outcome: outcome.OutcomeUnknown, Ran: outcome.RanUnknown, Message: "the ticket has expired; it is never run again"}
	}
	return n, outcome.Outcome{}
}

// foreignOutcome returns the outcome for a ticket that another process issued.
func (t *Ticketstore) foreignOutcome(p []string) outcome.Outcome {
	i, err := strconv.ParseUint(p[2], 36, 64)
	if a, ok := t.HostAddress(p[1], i); ok && err == nil {
		return outcome.Outcome{
			Outcome: outcome.TicketElsewhere, Ran: outcome.RanUnknown,
			Message: "only the host that issued the ticket can run it", EntryHosts: []string{a},
		}
	}
	return outcome.Outcome{
		Outcome: outcome.OutcomeUnknown, Ran: outcome.RanUnknown,
		Message: "the host that issued the ticket no longer runs; the ticket is never run again",
	}
}

// expire removes the claims on expired tickets. A ticket with a sequence number
// below expiredBelow is never run, so removing its claim cannot cause a second
// run.
func (t *Ticketstore) expire() {
	n := t.Clock.Now()
	if len(t.checkpoints) == 0 || n.Sub(t.checkpoints[len(t.checkpoints)-1].at) >= t.Lifetime/16 {
		t.checkpoints = append(t.checkpoints, checkpoint{at: n, next: t.next})
	}
	l := t.expiredBelow
	for len(t.checkpoints) > 0 && n.Sub(t.checkpoints[0].at) >= t.Lifetime {
		l = t.checkpoints[0].next
		t.checkpoints = t.checkpoints[1:]
	}
	for ; t.expiredBelow < l; t.expiredBelow++ {
		u := t.claims[t.expiredBelow]
		if u == nil {
			continue
		}
		select {
		case <-u.done:
			t.keptBytes -= answerSize(u.record)
			delete(t.claims, t.expiredBelow)
		default: // still running: End needs the claim and removes it
		}
	}
}

// format returns the ticket with a sequence number. The code at its end binds
// the ticket to the account, so that other accounts cannot guess and use it up.
func (t *Ticketstore) format(account string, n uint64) string {
	if t.secret == nil {
		t.secret = []byte(rand.Text())
	}
	m := hmac.New(sha256.New, t.secret)
	fmt.Fprintf(m, "%d:%s", n, account)
	return fmt.Sprintf("%s%s:%s:%s:%s", prefix, t.Host, strconv.FormatUint(t.Incarnation, 36),
		strconv.FormatUint(n, 36), hex.EncodeToString(m.Sum(nil)[:macBytes]))
}

// answerSize approximates the memory that the answer of a record takes.
func answerSize(r record.Record) int {
	n := len(r.Body)
	for k, v := range r.Header {
		n += len(k) + fieldOverheadBytes
		for _, w := range v {
			n += len(w)
		}
	}
	return n
}

// sequence parses the sequence number of a ticket.
func sequence(id string) (uint64, bool) {
	p := strings.Split(id, ":")
	if len(p) != idParts {
		return 0, false
	}
	n, err := strconv.ParseUint(p[3], 36, 64)
	return n, err == nil
}
