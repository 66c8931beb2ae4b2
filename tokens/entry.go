package tokens

import (
	"cmp"
	"slices"
	"time"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/bucket"
	"celeryreach.example/celeryreach/deadline"
	"celeryreach.example/celeryreach/rendezvous"
)

const (
	// borrowThreshold is the fill level, as a fraction of the burst, up to which a host
	// borrows tokens from others.
	borrowThreshold = 0.4
	// lendThreshold is the fill level, as a fraction of the burst, above which a host
	// also lends tokens that the borrower requests in advance, without a request
	// waiting for them.
	lendThreshold = 0.5
	// minBorrowInterval is the minimum time between two attempts to borrow tokens of
	// one account, except for an immediate repetition while requests still wait.
	minBorrowInterval = 60 * time.Millisecond
	// shortfallTTL is how long a shortfall of another host is kept. While that
	// host lacks tokens, it repeats its request after at most minBorrowInterval.
	shortfallTTL = time.Second
	// minDeferredCapacity is the minimum capacity, in tokens, of the holders'
	// buckets for lending a holder spare tokens later, after its request could
	// not be met. Smaller buckets would overflow.
	minDeferredCapacity = 2
	// minHolders is the number of hosts that hold a share if the burst allows. It
	// covers all hosts of a small deployment, so that each failure domain can continue
	// alone.
	minHolders = 8
	// minBurstShare is the smallest share of the burst, in tokens, that more than
	// minHolders hosts hold. With smaller shares, too many tokens are in the buckets
	// of hosts without demand. With 80 hosts and an account at 0.6 of its rate
	// (TestManyHostsInsideTheRate, seed 1), 0.16 of the requests are refused with 20
	// holders of 1 token, and 0.06 with 8 holders of 2.5 tokens.
	minBurstShare = 4.0
	// maxShortfalls is the maximum number of shortfalls kept per account.
	maxShortfalls = 8
	// defaultRetryAfter is the retry delay for callers of a host whose bucket gains no
	// tokens by itself. Other hosts may have lent it tokens by then.
	defaultRetryAfter = 250 * time.Millisecond
	// maxRetryAfter is the maximum retry delay. The computed delay of an account
	// grows without bound while it sends far more than its rate, and the fill
	// level several seconds ahead cannot be predicted.
	maxRetryAfter = 5 * time.Second
)

// entry is this host's share of the limits of one client account.
type entry struct {
	account account.Account
	bucket  bucket.Bucket
	holders []string // hosts that hold a share of the limits
	// lastBorrow is when the last attempt to borrow began.
	lastBorrow time.Time
	borrowing  bool        // an attempt to borrow is in progress
	received   bool        // the attempt has received tokens
	waiting    []chan bool // requests that wait for a token, oldest first
	shortfalls []shortfall // requests of other hosts for tokens that were not met, latest last
	// promisedUntil is the time until which the tokens that the bucket makes are
	// promised to refused callers.
	promisedUntil time.Time
}

// shortfall is a number of tokens that another host requested and did not
// receive. It expires at until.
type shortfall struct {
	host  string
	units int64
	until time.Time
}

// resize sets the rate and burst of the bucket to this host's share of the account's
// limits.
func (e *entry) resize(self string, hosts []string, now time.Time) {
	e.holders = holders(e.account, hosts)
	if !slices.Contains(e.holders, self) {
		e.bucket.Set(now, 0, 0)
		return
	}
	k := float64(len(e.holders))
	e.bucket.Set(now, e.account.Rate/k, max(e.account.Burst, 1)/k)
}

// holders returns the hosts that hold a share of an account's limits. A bucket with a
// capacity below one token admits nothing. With a burst lower than the number of hosts,
// only so many hosts hold a share that each has at least one token, chosen separately
// for each account; the others borrow.
func holders(a account.Account, hosts []string) []string {
	k := max(int(a.Burst/minBurstShare), min(int(a.Burst), minHolders), 1)
	if k >= len(hosts) {
		return hosts
	}
	l := slices.Clone(hosts)
	slices.SortFunc(l, func(x, y string) int {
		return cmp.Compare(rendezvous.Uniform(a.Name, y), rendezvous.Uniform(a.Name, x))
	})
	return l[:k]
}

// refill adds the tokens made since the last refill. Waiting requests are served first.
func (e *entry) refill(now time.Time) {
	e.bucket.Refill(now)
	e.serveWaiting()
}

// take takes a token, unless other requests wait for one.
func (e *entry) take(now time.Time) bool {
	e.refill(now)
	return len(e.waiting) == 0 && e.bucket.Take(now)
}

// startWaiting appends a request to the waiting requests. The channel receives true if
// the request was given a token, else false.
func (e *entry) startWaiting() chan bool {
	w := make(chan bool, 1)
	e.waiting = append(e.waiting, w)
	return w
}

// stopWaiting ends the wait of a request and reports whether it was given a
// token.
func (e *entry) stopWaiting(w chan bool) bool {
	for i, v := range e.waiting {
		if v == w {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return false
		}
	}
	return <-w
}

// serveWaiting hands available tokens to waiting requests.
func (e *entry) serveWaiting() {
	for len(e.waiting) > 0 && e.bucket.TakeMany(1) {
		e.resolveOldest(true)
	}
}

// refuseWaiting refuses all waiting requests.
func (e *entry) refuseWaiting() {
	for len(e.waiting) > 0 {
		e.resolveOldest(false)
	}
}

// resolveOldest ends the wait of the oldest request, with a token or refused.
func (e *entry) resolveOldest(ok bool) {
	w := e.waiting[0]
	e.waiting = e.waiting[1:]
	w <- ok
}

// promiseToken returns the time after which a refused caller finds a token: the next
// one that the bucket gains and that is not promised to another refused caller. If all
// refused callers had the same delay, they would retry at the same time, and all but
// one would be refused again.
func (e *entry) promiseToken(now time.Time) time.Duration {
	d, i, ok := e.bucket.UntilNextToken()
	if !ok {
		return defaultRetryAfter
	}
	t := deadline.Later(now.Add(d), e.promisedUntil)
	if t.Sub(now) > maxRetryAfter {
		return maxRetryAfter
	}
	e.promisedUntil = t.Add(i)
	return t.Sub(now)
}

// receive adds n borrowed tokens. Waiting requests are served first, even if the
// bucket is full or this host holds no share of the limits.
func (e *entry) receive(n int64) {
	e.received = e.received || n > 0
	for ; n > 0 && len(e.waiting) > 0; n-- {
		e.resolveOldest(true)
	}
	e.bucket.Add(n)
}

// deficit returns how many tokens this host should borrow, zero if it has enough, and
// for how many of these tokens a request already waits.
func (e *entry) deficit() (n, urgent int64) {
	c := e.bucket.Capacity()
	w := int64(len(e.waiting))
	if w == 0 && e.bucket.Tokens() > borrowThreshold*c {
		return 0, 0
	}
	return max(int64(c-e.bucket.Tokens()), w), w
}

// lend takes up to n tokens out of the bucket for another host, unless requests wait at
// this host. All tokens of the bucket may be lent for requests that wait at the other
// host; the remainder is taken only from tokens above lendThreshold.
func (e *entry) lend(n, urgent int64) int64 {
	h := e.bucket.Tokens()
	n = min(n, max(int64(h-lendThreshold*e.bucket.Capacity()), min(urgent, int64(h))))
	if n <= 0 || len(e.waiting) > 0 || !e.bucket.TakeMany(n) {
		return 0
	}
	return n
}

// addShortfall records that a host requested n more tokens than it received. The
// caller's request that needed a token has been refused by the time a later loan
// arrives, so that loan is added to the host's bucket. A bucket with a capacity of
// one token would overflow and lose it.
func (e *entry) addShortfall(host string, n int64, now time.Time) {
	if e.bucket.Capacity() < minDeferredCapacity || !slices.Contains(e.holders, host) {
		return
	}
	e.removeShortfall(host)
	if len(e.shortfalls) == maxShortfalls {
		e.shortfalls = e.shortfalls[1:]
	}
	e.shortfalls = append(e.shortfalls, shortfall{host: host, units: n, until: now.Add(shortfallTTL)})
}

func (e *entry) removeShortfall(host string) {
	for i, w := range e.shortfalls {
		if w.host == host {
			e.shortfalls = append(e.shortfalls[:i:i], e.shortfalls[i+1:]...)
			return
		}
	}
}

// openShortfalls returns the shortfalls that have not expired, latest first, and
// removes the others.
func (e *entry) openShortfalls(now time.Time) []shortfall {
	var l []shortfall
	for i := len(e.shortfalls) - 1; i >= 0; i-- {
		if w := e.shortfalls[i]; w.until.After(now) {
			l = append(l, w)
		} else {
			e.removeShortfall(w.host)
		}
	}
	return l
}
