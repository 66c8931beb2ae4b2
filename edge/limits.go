package edge

import (
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/backendlimit"
	"celeryreach.example/celeryreach/hedge"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/whole"
)

const (
	// far is the weight of backend servers of other regions. With 0.07, regions
	// that have few backend servers refuse more under load, with 0.3 more
	// answers cross regions; both cost a hundredth of what callers get.
	far = 0.15
	// budgetPart of the users' bound on second tries is used: windows of
	// different hosts add up.
	budgetPart = 0.8
	// heldBytes of an answer are held back until it is complete, so that an
	// answer that breaks off can be asked for again. Usual answers are shorter
	// than 32 KB.
	heldBytes = 1 << 20
	// readPatience is how long a caller may take for one piece of a longer
	// answer.
	readPatience = 5 * time.Second
	// A second try on an idempotent request follows after twice the 95th
	// percentile, within these bounds. At first every answer is slow, since no
	// backend server knows an object; a second try would double that work. The
	// least is that of an overdue request, the most what the shortest callers
	// that wait for exports still gain from.
	hedgeInitial = 1500 * time.Millisecond
	hedgeLeast   = 400 * time.Millisecond
	hedgeMost    = 3 * time.Second
)

// hosts returns between which hosts limits are divided, nobody before the list
// of hosts is known: a host that has seen nobody must not take all for itself.
func (e *Edge) hosts() []string {
	if !e.listed.Load() {
		return nil
	}
	return e.membership.Known()
}

// retries is how many second tries this host may make at once.
func (e *Edge) retries() float64 {
	return max(budgetPart*e.RetrySlack/float64(max(len(e.membership.Known()), 1)), 1)
}

// members returns the hosts between which limits are divided.
func (e *Edge) members() []member.Member {
	if !e.listed.Load() {
		return nil
	}
	return e.membership.Hosts()
}

// limitBackends holds what is sent to backend servers to the limits in their answers.
func (e *Edge) limitBackends() {
	e.limits = &backendlimit.Backendlimit{
		Clock: e.Clock, Log: e.Log, Self: e.Self.Name, Hosts: e.members, Far: far,
		Overage: e.LimitOverage, Slack: e.LimitSlack, Window: e.LimitWindow, News: e.membership.Hurry,
	}
	e.Upstream.Heard = func(b backend.Backend, sent time.Time, h http.Header, served bool) {
		e.limits.Answered(b, sent, e.Limit(h), served)
	}
	e.Upstream.Repeated = e.limits.Spend
}

// rate is what a cold backend server of a service bears, and for how long it
// is cold.
func (e *Edge) rate(service string) (float64, time.Duration) {
	if b := e.book.Load(); b != nil {
		if s := b.Service(service); s != nil {
			return s.ColdRate, s.WarmUp
		}
	}
	return 0, 0
}

func (e *Edge) warmUp(service string) time.Duration {
	_, d := e.rate(service)
	return d
}

// confirm reports that tokens do not age: they were counted when they were
// taken, and a paused host's bucket made none meanwhile.
func confirm(*request.Request) bool {
	return true
}

func newHedge() *hedge.Hedge {
	return &hedge.Hedge{Initial: hedgeInitial, Least: hedgeLeast, Most: hedgeMost}
}

func newWhole(c clockwork.Clock) *whole.Whole {
	return &whole.Whole{Clock: c, Limit: heldBytes, Patience: readPatience, Unframed: true}
}
