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
	// safetyFactor is the fraction of the bound that is divided. Hosts briefly disagree
	// on a limit that changes and on the number of hosts, and requests take different
	// times to arrive.
	safetyFactor = 0.85
	// minDividedRate is the minimum rate that is divided, in requests per second, also
	// if the limit is lower. Without any requests no host would observe that a limit of
	// zero was withdrawn.
	minDividedRate = 0.25
	// probeInterval is the time between the probe turns of two hosts without a share,
	// and probeDuration the duration of a turn. In its turn a host may send a request
	// to check whether the limit is still in force, unless it has a newer observation
	// that another host reported. No Window contains two turns.
	probeInterval = 5 * time.Second
	probeDuration = time.Second
	// probeReserve is the number of requests of the bound that is reserved for probes,
	// since the turns of hosts are not exactly synchronized.
	probeReserve = 1
)

// limit is the state of the limit of one backend server, as known to this host.
type limit struct {
	current      observation // the observation in force, of any host
	own          observation // the newest observation of this host
	bucket       bucket.Bucket
	overdraft    int // requests sent without a token
	dividedAt    time.Time
	hosts        int       // number of hosts
	holders      int       // number of hosts with a share
	rank         int       // number of hosts before this one, negative if this one is not counted yet
	lastSent     time.Time // when this host last sent a request
	loggedRate   float64   // the limit that was last logged
	ignoredValue string    // the last invalid value
}

// set replaces the observation in force. The next call of divide updates the bucket.
func (m *limit) set(w observation) {
	if w.perSecond == unlimited {
		m.bucket, m.overdraft = bucket.Bucket{}, 0
	}
	m.current = w
	m.dividedAt = time.Time{}
}

// divide sets the bucket to this host's share of the limit.
func (l *Backendlimit) divide(b backend.Backend, m *limit, now time.Time) {
	if now.Sub(m.dividedAt) < refreshInterval {
		return
	}
	m.dividedAt = now
	n, w := max(m.current.perSecond, minDividedRate), l.Window.Seconds()
	u := max(safetyFactor*(m.current.perSecond*w*l.Overage+l.Slack)-n*w, 1) // the total burst of all hosts
	h := holderOrder(l.hosts, b)
	if len(h) > int(u) {
		u = max(u-probeReserve, 1)
	}
	m.rank = 0
	if len(h) > 0 {
		m.rank = slices.IndexFunc(h, func(v member.Member) bool { return v.Name == l.Self })
	}
	// Each holder may send one request immediately, however small its share is.
	m.hosts, m.holders = len(h), min(len(h), int(u))
	if m.rank < 0 || m.rank >= m.holders {
		m.bucket.Set(now, 0, 0)
		return
	}
	s := l.share(h[:m.holders], m.rank, b)
	m.bucket.Set(now, n*s, 1+(u-float64(m.holders))*s)
}

// holderOrder returns the hosts in the order in which they are given a share of a
// limit. Hosts in the backend server's region come first, since most of the requests
// come from there. Otherwise the order differs between backend servers.
func holderOrder(hosts []member.Member, b backend.Backend) []member.Member {
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

// share returns the fraction of a limit that each of its holders has.
func (l *Backendlimit) share(holders []member.Member, rank int, b backend.Backend) float64 {
	t := 0.0
	for _, h := range holders {
		t += l.weight(h, b)
	}
	return l.weight(holders[rank], b) / t
}

func (l *Backendlimit) weight(h member.Member, b backend.Backend) float64 {
	if h.Region == b.Region {
		return 1
	}
	return l.RemoteWeight
}

// allows reports whether this host may send one more request now.
func (m *limit) allows(now time.Time) bool {
	m.bucket.Refill(now)
	for m.overdraft > 0 && m.bucket.TakeMany(1) {
		m.overdraft--
	}
	return m.retryAfter(now) <= 0
}

// recordSent counts a request.
func (m *limit) recordSent(now time.Time) {
	m.lastSent = now
	if m.hasShare() && !m.bucket.Take(now) {
		m.overdraft++
	}
}

// retryAfter returns the time until this host may send the next request.
func (m *limit) retryAfter(now time.Time) time.Duration {
	switch {
	case m.hasShare():
		d, e, _ := m.bucket.UntilNextToken()
		return d + time.Duration(m.overdraft)*e
	case m.rank < 0:
		return refreshInterval
	default:
		return m.untilProbe(now)
	}
}

func (m *limit) hasShare() bool {
	return m.rank >= 0 && m.rank < m.holders
}

// untilProbe returns the time until this host's next probe turn, zero during the turn.
// The first turn of all begins two probe intervals after the observation in force.
func (m *limit) untilProbe(now time.Time) time.Duration {
	r := time.Duration(max(m.hosts-m.holders, 1)) * probeInterval // a round of turns of all hosts without a share
	d := now.Sub(m.current.received.Add(time.Duration(m.rank-m.holders+2) * probeInterval))
	if d < 0 {
		return -d
	}
	if d%r < probeDuration && now.Sub(m.lastSent) >= probeDuration {
		return 0
	}
	return r - d%r
}
