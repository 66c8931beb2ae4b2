// Package quota admits requests against the rate and burst of client accounts,
// of which this host holds a part.
package quota

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/bucket"
)

// Quota holds this host's part of every account's limit. It decides alone and
// in memory; the parts of all hosts together never exceed the limit.
type Quota struct {
	// Clock is the host's monotonic clock.
	Clock clockwork.Clock
	// Account returns the limits in force.
	Account func(name string) (account.Account, bool)
	// Fraction returns the part of an account's limit that this host may use
	// now, in 0..1.
	Fraction func(name string) float64

	mu      sync.Mutex
	buckets map[string]*bucket.Bucket
}

// Take admits one request of an account and reports whether it may go on.
func (q *Quota) Take(name string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := q.Clock.Now()
	b, ok := q.bucket(name, n)
	return ok && b.Take(n)
}

// Return gives back the token of a request that ended "not run".
func (q *Quota) Return(name string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if b, ok := q.bucket(name, q.Clock.Now()); ok {
		b.Return()
	}
}

func (q *Quota) bucket(name string, now time.Time) (*bucket.Bucket, bool) {
	a, ok := q.Account(name)
	if !ok {
		return nil, false
	}
	if q.buckets == nil {
		q.buckets = make(map[string]*bucket.Bucket)
	}
	b := q.buckets[name]
	if b == nil {
		b = new(bucket.Bucket)
		q.buckets[name] = b
	}
	f := q.Fraction(name)
	b.Set(now, a.Rate*f, a.Burst*f)
	return b, true
}
