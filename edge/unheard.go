package edge

import (
	"context"
	"time"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/peerclient"
	"celeryreach.example/celeryreach/permits"
	"celeryreach.example/celeryreach/silence"
)

const (
	// coldNotice is how long before a backend server may be cold unheard its rate is
	// held: the second before counts, and hosts disagree a little on the store's last
	// answer.
	coldNotice = 1100 * time.Millisecond
	// coldSettle is how long after a silence a backend server may be cold before its
	// entry says so: the time between two entries and to the next answer of the store.
	coldSettle = 2 * time.Second
)

// holdUnheard sets up what holds requests to backend servers to what cold ones bear while
// any of them may be cold and no host has heard of it: backend servers of an evacuated
// failure domain turn cold, at the earliest when the evacuation has to be in force, and the
// store may have fallen silent just before it.
func (e *Edge) holdUnheard() {
	e.silence = &silence.Silence{
		Clock: e.Clock, Log: e.Log, Age: func() (time.Duration, bool) { return storeAge(e.Config) },
		After: max(e.Evacuate-coldNotice, e.Contact-settle+news), Long: e.Evacuate, Settle: coldSettle,
		Entries: func() (time.Duration, bool) { return storeAge(e.Backends) }, News: news,
	}
	e.asking = &peerclient.Peerclient{Dial: e.client.Dial}
	e.permits = &permits.Permits{
		Clock: e.Clock, Log: e.Log, Self: e.Self, Begun: e.Clock.Now(), Hosts: e.members,
		Slots: func(s string) map[string]int { return e.placement.Slots(s) }, Far: far,
		Rate:    func(s string) float64 { r, _ := e.rate(s); return r },
		Overage: e.ColdOverage, Slack: e.ColdSlack, Ask: e.asking.Permit,
	}
}

// permit asks for a permit if backend servers may be cold unheard.
func (e *Edge) permit(ctx context.Context, b backend.Backend) (again time.Duration, ok bool) {
	if r, _ := e.rate(b.Service); r == 0 || !e.silence.Unheard() {
		return 0, true
	}
	return e.permits.Get(ctx, b)
}
