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
	// low is the part of the burst below which a host asks others for tokens.
	low = 0.4
	// spare is the part of the burst above which a host gives to others.
	spare = 0.5
	// askPause spaces the requests for tokens of one account.
	askPause = 60 * time.Millisecond
	// wantLife is how long a host that asked in vain counts as in want. It asks
	// again while it is, at the latest after askPause.
	wantLife = time.Second
	// lateCapacity is the least bucket that others' spare tokens are handed to.
	lateCapacity = 2
	// leastHolders is how many hosts hold a part if the burst allows: all those of
	// a small deployment, so that each failure domain can go on alone.
	leastHolders = 8
	// leastBurst is the smallest part of a burst that more hosts hold. With
	// smaller ones the tokens are where nobody asks. Refused of an account at 0.6
	// of its rate, with 80 hosts (TestManyHostsInsideTheRate, seed 1): 0.16 with
	// 20 holders of 1, 0.06 with 8 of 2.5.
	leastBurst = 4.0
	// wants is how many hosts in want are kept for one account.
	wants = 8
	// retry is when a refused caller may come back to a host that makes no tokens
	// itself: others may have sent some by then.
	retry = 250 * time.Millisecond
	// longestRetry is the longest time that is told. Far above its rate an account
	// could be told any; what holds in some seconds, nobody knows.
	longestRetry = 5 * time.Second
)

// entry is this host's part of one client account's limits.
type entry struct {
	account account.Account
	bucket  bucket.Bucket
	holders []string // the hosts that hold a part
	asked   time.Time
	asking  bool        // hosts are being asked
	got     bool        // one of them gave something
	waiting []chan bool // requests that wait for a token, the oldest first
	wants   []want      // hosts that asked in vain, the latest last
	// promised is until when the tokens that the bucket makes are promised to
	// callers that were refused.
	promised time.Time
}

// want is what another host lacks.
type want struct {
	host  string
	units int64
	until time.Time
}

// fit gives the bucket its part of the account's limits.
func (e *entry) fit(self string, hosts []string, now time.Time) {
	e.holders = holders(e.account, hosts)
	if !slices.Contains(e.holders, self) {
		e.bucket.Set(now, 0, 0)
		return
	}
	k := float64(len(e.holders))
	e.bucket.Set(now, e.account.Rate/k, max(e.account.Burst, 1)/k)
}

// holders returns the hosts that hold a part of an account's limits. A bucket of
// less than one token would admit nothing, so with a burst below the number of
// hosts only so many hold one, others for each account; the rest borrows.
func holders(a account.Account, hosts []string) []string {
	k := max(int(a.Burst/leastBurst), min(int(a.Burst), leastHolders), 1)
	if k >= len(hosts) {
		return hosts
	}
	l := slices.Clone(hosts)
	slices.SortFunc(l, func(x, y string) int {
		return cmp.Compare(rendezvous.Uniform(a.Name, y), rendezvous.Uniform(a.Name, x))
	})
	return l[:k]
}

// refill adds what the rate has made, for those who wait first.
func (e *entry) refill(now time.Time) {
	e.bucket.Refill(now)
	e.serve()
}

// take takes a token, unless others wait for one.
func (e *entry) take(now time.Time) bool {
	e.refill(now)
	return len(e.waiting) == 0 && e.bucket.Take(now)
}

// join puts a request at the end of those that wait.
func (e *entry) join() chan bool {
	w := make(chan bool, 1)
	e.waiting = append(e.waiting, w)
	return w
}

// leave ends a request's wait and reports whether it got a token.
func (e *entry) leave(w chan bool) bool {
	for i, v := range e.waiting {
		if v == w {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return false
		}
	}
	return <-w
}

// serve hands tokens to requests that wait.
func (e *entry) serve() {
	for len(e.waiting) > 0 && e.bucket.TakeMany(1) {
		e.next(true)
	}
}

// refuse ends all waits.
func (e *entry) refuse() {
	for len(e.waiting) > 0 {
		e.next(false)
	}
}

func (e *entry) next(ok bool) {
	w := e.waiting[0]
	e.waiting = e.waiting[1:]
	w <- ok
}

// comeBack returns when there will be a token for a refused caller: the next one that
// the bucket makes and that none refused before it was promised. Told the same time,
// all would come back at once, one would be served and the others refused again.
func (e *entry) comeBack(now time.Time) time.Duration {
	d, i, ok := e.bucket.Until()
	if !ok {
		return retry
	}
	t := deadline.Later(now.Add(d), e.promised)
	if t.Sub(now) > longestRetry {
		return longestRetry
	}
	e.promised = t.Add(i)
	return t.Sub(now)
}

// receive takes n tokens. A bucket that is full, or that has no part of the
// limits at all, still passes them to requests that wait.
func (e *entry) receive(n int64) {
	e.got = e.got || n > 0
	for ; n > 0 && len(e.waiting) > 0; n-- {
		e.next(true)
	}
	e.bucket.Add(n)
}

// needs is how many tokens this host should ask for, zero if it has enough, and
// for how many of them requests wait.
func (e *entry) needs() (n, urgent int64) {
	c := e.bucket.Capacity()
	w := int64(len(e.waiting))
	if w == 0 && e.bucket.Tokens() > low*c {
		return 0, 0
	}
	return max(int64(c-e.bucket.Tokens()), w), w
}

// give takes up to n tokens out of the bucket. All may go to requests that wait at
// the other host; what that one only wants to have ready must be to spare here.
func (e *entry) give(n, urgent int64) int64 {
	h := e.bucket.Tokens()
	n = min(n, max(int64(h-spare*e.bucket.Capacity()), min(urgent, int64(h))))
	if n <= 0 || len(e.waiting) > 0 || !e.bucket.TakeMany(n) {
		return 0
	}
	return n
}

// note remembers that a host asked in vain. Tokens that come late go into its
// bucket, since its request has been refused by then; a bucket that holds but one
// would run over, and they would be lost.
func (e *entry) note(host string, n int64, now time.Time) {
	if e.bucket.Capacity() < lateCapacity || !slices.Contains(e.holders, host) {
		return
	}
	e.forget(host)
	if len(e.wants) == wants {
		e.wants = e.wants[1:]
	}
	e.wants = append(e.wants, want{host: host, units: n, until: now.Add(wantLife)})
}

func (e *entry) forget(host string) {
	for i, w := range e.wants {
		if w.host == host {
			e.wants = append(e.wants[:i:i], e.wants[i+1:]...)
			return
		}
	}
}

// wanted returns who is in want, the latest first, and drops the others.
func (e *entry) wanted(now time.Time) []want {
	var l []want
	for i := len(e.wants) - 1; i >= 0; i-- {
		if w := e.wants[i]; w.until.After(now) {
			l = append(l, w)
		} else {
			e.forget(w.host)
		}
	}
	return l
}
