package edge

import (
	"net/http"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/backendbackoff"
	"celeryreach.example/celeryreach/backendlimit"
	"celeryreach.example/celeryreach/counter"
	"celeryreach.example/celeryreach/hedge"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/memorybudget"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/responsecopier"
	"celeryreach.example/celeryreach/retrybudget"
	"celeryreach.example/celeryreach/upstream"
)

const (
	// remoteWeight is the placement weight of backend servers in other regions. With
	// 0.07, regions with few backend servers refuse more requests under load; with 0.3,
	// more responses cross regions. Either value costs callers about 1% of their
	// responses.
	remoteWeight = 0.15
	// retryBudgetFraction of the users' bound on retries is used, because the budgets of
	// different hosts, each counted over its own window, add up.
	retryBudgetFraction = 0.8
	// initialRetries of each service may be made by a host that has just started. A series of
	// restarts must not exceed what retryBudgetFraction leaves of the users' bound.
	initialRetries = 1
	// responseBufferBytes is how much of a response is buffered until it is complete,
	// so that a request whose response breaks off can be retried. Usual responses are
	// shorter than 32 KB.
	responseBufferBytes = 1 << 20
	// callerReadTimeout is how long a caller may take to read one chunk of a response
	// that is too long to buffer.
	callerReadTimeout = 5 * time.Second
	// An idempotent request is tried a second time after twice the 95th percentile of
	// the response time, within hedgeMin and hedgeMax. hedgeInitial applies before
	// enough responses were measured: at first no backend server has cached an object,
	// so every response is slow and a second try would double the work. hedgeMin is the
	// response time from which a request counts as overdue. hedgeMax is the longest
	// delay that still helps the callers of exports with the shortest deadlines.
	hedgeInitial = 1500 * time.Millisecond
	hedgeMin     = 400 * time.Millisecond
	hedgeMax     = 3 * time.Second
)

// knownHostNames returns the names of the hosts that share the rate limits. It returns
// none before the list of hosts is known, because a host that may not know all others
// must not claim a share.
func (e *Edge) knownHostNames() []string {
	if !e.membership.HasList() {
		return nil
	}
	return e.membership.Known()
}

// logDivision logs between which hosts the rate limits are divided.
func (e *Edge) logDivision(hosts []string) {
	e.Log.Info("limits divided", "Host", e.Self.Name, "Hosts", len(hosts), "Counted", slices.Contains(hosts, e.Self.Name))
}

// retryLimit returns how many retries this host may send in a burst.
func (e *Edge) retryLimit() float64 {
	h := e.knownHostNames()
	if !slices.Contains(h, e.Self.Name) {
		return 1
	}
	return max(retryBudgetFraction*e.RetrySlack/float64(len(h)), 1)
}

// knownHosts returns the hosts that share the rate limits, none before the list of
// hosts is known.
func (e *Edge) knownHosts() []member.Member {
	if !e.membership.HasList() {
		return nil
	}
	return e.membership.Hosts()
}

// setUpBackendLimits enforces the request limits that backend servers state in their
// responses.
func (e *Edge) setUpBackendLimits() {
	e.limits = &backendlimit.Backendlimit{
		Clock: e.Clock, Log: e.Log, Self: e.Self.Name, Hosts: e.knownHosts, RemoteWeight: remoteWeight,
		Overage: e.LimitOverage, Slack: e.LimitSlack, Window: e.LimitWindow, Notify: e.membership.SendSoon,
	}
	c := new(counter.Counter)
	e.Upstream.MayRepeat = e.mayRepeat
	e.Upstream.OnTransportRetry = func(r *request.Request, b backend.Backend) {
		e.limits.RecordSent(b)
		c.Add(counterTransport)
		r.DecisionLog.Add(e.Clock.Now(), "request sent again by the transport", "Backend", b.Name, "Started", b.Started)
	}
}

// mayRepeat reports whether a request that a backend server may have received may be sent
// again, by net/http or by another host, and takes that from the retry budget.
func (e *Edge) mayRepeat(r *request.Request) bool {
	return e.shutdown.Allows(r.Deadline) && e.retryBudget.TakeRetry(r.Service.Name)
}

// newRetryBudget returns the budget of this host's retries. It counts those that it allows and
// those that it denies.
func (e *Edge) newRetryBudget() *retrybudget.Retrybudget {
	c := new(counter.Counter)
	return &retrybudget.Retrybudget{
		Ratio: func() float64 { return e.RetryRatio * retryBudgetFraction }, Limit: e.retryLimit,
		Initial: func() float64 { return initialRetries },
		OnTake: func(_ string, allowed bool) {
			if allowed {
				c.Add(counterAllowed)
			} else {
				c.Add(counterDenied)
			}
		},
	}
}

// setUpBackoffs enforces the times for which backend servers want no requests.
func (e *Edge) setUpBackoffs() {
	e.backoffs = &backendbackoff.Backendbackoff{Clock: e.Clock, Log: e.Log}
	e.Upstream.CheckSend = e.checkSend
}

// checkSend returns why r may not be sent to a backend server on a connection that is open
// now, nil if it may.
func (e *Edge) checkSend(r *request.Request, b backend.Backend) error {
	switch {
	case !e.discovery.IsUsable(b.Name, b.Started): // since it was chosen
		return upstream.ErrNotWanted
	case !e.Gateway.MaySend(r, b):
		return upstream.ErrNotAllowed
	case !e.maySendSuspect(r):
		return upstream.ErrNotAllowed
	case !e.backoffs.Allow(b):
		return upstream.ErrNotWanted
	}
	return nil
}

// observeResponse processes what the sender of a response states about the requests that it
// accepts. Limits and departures count only if the response is proven to come from b. A
// backoff counts unless another backend server is known to have sent it.
func (e *Edge) observeResponse(b backend.Backend, sent time.Time, p *http.Response, err error) {
	e.reachability.ObserveResponse(b.Address)
	if err == nil || errors.Is(err, upstream.ErrNotRun) {
		e.limits.Observe(b, sent, e.LimitValues(p.Header), err == nil && p.StatusCode < http.StatusInternalServerError)
		if e.SaysLeaving(p.Header) {
			e.discovery.MarkLeaving(b.Name, b.Started)
		}
	}
	if errors.Is(err, upstream.ErrWrongBackend) {
		return
	}
	var v []string
	if p.StatusCode == http.StatusServiceUnavailable {
		v = e.BackoffValues(p.Header)
	}
	e.backoffs.Observe(b, sent, v, p.Header.Get("Date"))
}

// coldRate returns how many requests a second a cold backend server of a service can
// handle, and how long it stays cold.
func (e *Edge) coldRate(service string) (float64, time.Duration) {
	if b := e.index.Load(); b != nil {
		if s := b.Service(service); s != nil {
			return s.ColdRate, s.WarmUp
		}
	}
	return 0, 0
}

func (e *Edge) warmUp(service string) time.Duration {
	_, d := e.coldRate(service)
	return d
}

// tokenAlwaysValid returns true for all requests: admission tokens do not expire, because
// a token is counted when it is taken, and the bucket of a paused host is not refilled
// during the pause.
func tokenAlwaysValid(*request.Request) bool {
	return true
}

func newHedge() *hedge.Hedge {
	return &hedge.Hedge{Initial: hedgeInitial, Min: hedgeMin, Max: hedgeMax}
}

func newResponseCopier(c clockwork.Clock, m *memorybudget.Memorybudget) *responsecopier.Responsecopier {
	return &responsecopier.Responsecopier{Clock: c, BufferLimit: responseBufferBytes, Memory: m, WriteTimeout: callerReadTimeout, AllowUndelimited: true}
}
