package backendlimit

import (
	"cmp"
	"slices"
	"time"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/bucket"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/rendezvous"
)

const (
	// safety is the part of the bound that is divided: hosts disagree for a moment on
	// a limit that changes and on how many they are, and requests take different times
	// to arrive.
	safety = 0.85
	// least is the limit that is divided of a lower one, in requests a second. Without
	// any request nobody would hear that a limit of zero was withdrawn.
	least = 0.25
	// quiet is the time between the turns of two hosts without a part, and turn how long
	// one lasts. In its turn a host may send a request to hear whether the limit holds, if
	// nobody has told it. No Window holds two turns.
	quiet = 5 * time.Second
	turn  = time.Second
	// spare of the bound is left to them, for hosts whose turns are not quite in step.
	spare = 1
)

// limit is what this host knows of the limit of one backend server.
type limit struct {
	word    word // what is believed, whoever was told
	own     word // the newest answer to this host
	bucket  bucket.Bucket
	debt    int // requests that were sent without a token
	divided time.Time
	hosts   int       // how many hosts there are
	holders int       // how many of them have a part
	place   int       // how many come before this one
	sent    time.Time // when this host last sent a request without a part
	logged  float64   // the limit of the last line in the log
	ignored string    // the last value that was no limit
}

// believe takes a word for true. Divide then fits the bucket to it.
func (m *limit) believe(w word) {
	if w.perSecond == none {
		m.bucket, m.debt = bucket.Bucket{}, 0
	}
	m.word = w
	m.divided = time.Time{}
}

// divide gives the bucket this host's part of the limit.
func (l *Backendlimit) divide(b backend.Backend, m *limit, now time.Time) {
	if now.Sub(m.divided) < divideEvery {
		return
	}
	m.divided = now
	n, w := max(m.word.perSecond, least), l.Window.Seconds()
	u := max(safety*(m.word.perSecond*w*l.Overage+l.Slack)-n*w, 1) // the burst of all hosts
	h := order(l.hosts, b)
	if len(h) > int(u) {
		u = max(u-spare, 1)
	}
	m.place = max(slices.IndexFunc(h, func(v member.Member) bool { return v.Name == l.Self }), 0)
	// Each holder may send one request at once, whatever its part is.
	m.hosts, m.holders = len(h), min(len(h), int(u))
	if m.place >= m.holders {
		m.bucket.Set(now, 0, 0)
		return
	}
	s := l.share(h[:m.holders], m.place, b)
	m.bucket.Set(now, n*s, 1+(u-float64(m.holders))*s)
}

// order returns the hosts in the order in which they get a part of a limit: those of
// the region, from which most of the requests come, and others for each backend server.
func order(hosts []member.Member, b backend.Backend) []member.Member {
	l := slices.Clone(hosts)
	slices.SortFunc(l, func(x, y member.Member) int {
		if (x.Region == b.Region) != (y.Region == b.Region) {
			if x.Region == b.Region {
				return -1
			}
			return 1
		}
		return cmp.Compare(rendezvous.Uniform(b.Name, y.Name), rendezvous.Uniform(b.Name, x.Name))
	})
	return l
}

// share returns which part of a limit one of its holders has.
func (l *Backendlimit) share(holders []member.Member, place int, b backend.Backend) float64 {
	t := 0.0
	for _, h := range holders {
		t += l.weight(h, b)
	}
	return l.weight(holders[place], b) / t
}

func (l *Backendlimit) weight(h member.Member, b backend.Backend) float64 {
	if h.Region == b.Region {
		return 1
	}
	return l.Far
}

// allows reports whether one more request may be sent.
func (m *limit) allows(now time.Time) bool {
	m.bucket.Refill(now)
	for m.debt > 0 && m.bucket.TakeMany(1) {
		m.debt--
	}
	return m.until(now) <= 0
}

// spend counts a request.
func (m *limit) spend(now time.Time) {
	m.sent = now
	if m.place < m.holders && !m.bucket.Take(now) {
		m.debt++
	}
}

// until is the time to the next request that may be sent.
func (m *limit) until(now time.Time) time.Duration {
	if m.place < m.holders {
		d, e, _ := m.bucket.Until()
		return d + time.Duration(m.debt)*e
	}
	return m.untilTurn(now)
}

// untilTurn is the time to this host's next turn, zero in it. The first turn of all is
// after two silent ones.
func (m *limit) untilTurn(now time.Time) time.Duration {
	r := time.Duration(max(m.hosts-m.holders, 1)) * quiet // a round of turns
	d := now.Sub(m.word.answered.Add(time.Duration(m.place-m.holders+2) * quiet))
	if d < 0 {
		return -d
	}
	if d%r < turn && now.Sub(m.sent) >= turn {
		return 0
	}
	return r - d%r
}
