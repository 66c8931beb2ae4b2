package quota_test

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/domain"
	"celeryreach.example/celeryreach/fleet"
	"celeryreach.example/celeryreach/preset"
	"celeryreach.example/celeryreach/region"
	"celeryreach.example/celeryreach/service"
	"celeryreach.example/celeryreach/staleness"
)

// Callers of one account send requests as fast as possible to all hosts of a
// deployment with real sockets, while a host is killed and replaced and a
// network partition separates the failure domains. During the complete test no
// more requests may run than burst and rate allow, and requests must continue to
// be served.
func TestFleetKeepsRate(t *testing.T) {
	const rate, burst, callers = 30, 20, 2
	c := clockwork.NewRealClock()
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	f := &fleet.Fleet{
		Clock: c, Log: log.New(io.Discard), HostsPerDomain: 2, BackendsPerService: 1, Slots: 8,
		Config: config.Config{
			Preset:       "P",
			Presets:      []preset.Preset{{Name: "P", ShiftCap: 0.1, ShiftInterval: time.Second, GrowthCap: 1, FloorFraction: 0.5, MaxWait: time.Second, LookupTTL: time.Second}},
			Regions:      []region.Region{{Name: "north"}},
			Domains:      []domain.Domain{{Name: "n1", Region: "north"}, {Name: "n2", Region: "north"}},
			Services:     []service.Service{{Name: "Pages", Prefix: "/pages/", Timeout: 2 * time.Second}},
			Accounts:     []account.Account{{Name: "acme", Rate: rate, Burst: burst}},
			KeyStaleness: staleness.Staleness{Idempotent: time.Minute, NonIdempotent: time.Minute},
		},
	}
	must.NoError(t, f.Start(ctx))
	defer func() { must.NoError(t, f.Stop()) }()
	begun := c.Now()
	var served atomic.Int64
	x, end := context.WithCancel(ctx)
	d := make(chan struct{})
	hosts := f.Hosts()
	for _, h := range hosts {
		for range callers {
			go func() {
				for x.Err() == nil {
					if s, _, err := f.Send(x, h, "acme", http.MethodGet, "/pages/1", ""); err == nil && s == http.StatusOK {
						served.Add(1)
					}
				}
				d <- struct{}{}
			}()
		}
	}
	more := func(n int64) {
		s := served.Load()
		must.NoError(t, f.Await(ctx, "answers", func() bool { return served.Load() >= s+n }))
	}
	more(2 * burst)
	f.KillHost("n1-a")
	more(2 * burst)
	f.Partition("n1", "n2")
	f.StartHost("n1-a")
	more(2 * burst)
	f.Heal("n1", "n2")
	more(2 * burst)
	end()
	for range callers * len(hosts) {
		<-d
	}
	must.LessEq(t, burst+rate*c.Since(begun).Seconds(), float64(served.Load()))
}
