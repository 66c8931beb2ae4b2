package edge

import (
	"context"
	"time"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/peerclient"
	"celeryreach.example/celeryreach/permits"
	"celeryreach.example/celeryreach/storesilence"
)

const (
	// coldRateLead is how early the cold rate is enforced before a backend server may
	// be cold without this host knowing. The rate is bounded over any second, including
	// the one before the backend server turns cold, and hosts differ slightly on the
	// time of the store's last response.
	coldRateLead = 1100 * time.Millisecond
	// coldEntryDelay is how long after a store outage a backend server may be cold
	// before its entry shows it. The delay covers the time between two updates of
	// the entry and the time to the next response of the store.
	coldEntryDelay = 2 * time.Second
)

// setUpPermits sets up the permits that limit requests to the rate that cold backend
// servers can handle, while a backend server may be cold and no host has been informed.
// Backend servers of an evacuated failure domain turn cold, at the earliest when the
// evacuation must be in force, and the store may have stopped responding just before
// the evacuation was written.
func (e *Edge) setUpPermits() {
	e.storeSilence = &storesilence.Storesilence{
		Clock: e.Clock, Log: e.Log, Age: func() (time.Duration, bool) { return storeAge(e.Config) },
		MaxAge: max(e.EvacuationTime-coldRateLead, e.RecoveryTime-recheckMargin+urgentHeartbeatDelay), LongSilence: e.EvacuationTime, Settle: coldEntryDelay,
		EntriesAge: func() (time.Duration, bool) { return storeAge(e.Backends) }, EntriesDelay: urgentHeartbeatDelay,
	}
	e.permitClient = &peerclient.Peerclient{Dial: e.client.Dial}
	e.permits = &permits.Permits{
		Clock: e.Clock, Log: e.Log, Self: e.Self, Started: e.Clock.Now(), Hosts: e.knownHosts,
		Slots: func(s string) map[string]int { return e.placement.Slots(s) }, RemoteWeight: remoteWeight,
		Rate:    func(s string) float64 { r, _ := e.coldRate(s); return r },
		Overage: e.ColdOverage, Slack: e.ColdSlack, Request: e.permitClient.Permit,
	}
}

// permit requests a permit to send a request to b if backend servers may be cold
// without this host knowing.
func (e *Edge) permit(ctx context.Context, b backend.Backend) (again time.Duration, ok bool) {
	if r, _ := e.coldRate(b.Service); r == 0 || !e.storeSilence.ChangesMissing() {
		return 0, true
	}
	return e.permits.Get(ctx, b)
}
