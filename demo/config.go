package demo

import (
	"context"
	"crypto/rand"
	"net"
	"time"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/credential"
	"celeryreach.example/celeryreach/domain"
	"celeryreach.example/celeryreach/preset"
	"celeryreach.example/celeryreach/region"
	"celeryreach.example/celeryreach/service"
	"celeryreach.example/celeryreach/staleness"
)

const (
	slotsPerBackend       = 4
	connectionsPerBackend = 400
	backendsPerService    = 2
)

var domains = []domain.Domain{
	{Name: "lagos-1", Region: "lagos"},
	{Name: "lagos-2", Region: "lagos"},
	{Name: "abuja-1", Region: "abuja"},
}

var services = []service.Service{
	{Name: "Listings", Prefix: "/listings/", Timeout: 2 * time.Second, AnswerBytes: 20_000},
	{Name: "Enrolment", Prefix: "/enrolments/", Timeout: 5 * time.Second, AnswerBytes: 2_000},
	{Name: "Rosters", Prefix: "/rosters/", Timeout: 30 * time.Second, Deferrable: true, AnswerBytes: 500_000},
}

var accounts = []account.Account{
	{Name: "unity-camps", Rate: 120, Burst: 60},
	{Name: "river-camp", Rate: 40, Burst: 20},
	{Name: "hill-camp", Rate: 40, Burst: 20},
}

// newConfig returns the demo's configuration and the keys it holds hashed.
func newConfig(b []backend.Backend) (c config.Config, keys map[string]string, operator string) {
	operator = rand.Text()
	keys = make(map[string]string)
	c = config.Config{
		Preset: "Ordinary", Presets: presets(), Domains: domains, Services: services, Backends: b, Accounts: accounts,
		Regions:      []region.Region{{Name: "lagos"}, {Name: "abuja"}},
		Operators:    []credential.Credential{{ID: "demo-operator", Hash: credential.Hash(operator)}},
		KeyStaleness: staleness.Staleness{Idempotent: 10 * time.Minute, NonIdempotent: time.Minute},
	}
	for _, a := range accounts {
		k := rand.Text()
		keys[a.Name] = k
		c.Keys = append(c.Keys, credential.Credential{ID: "demo-" + a.Name, Account: a.Name, Hash: credential.Hash(k)})
	}
	return c, keys, operator
}

func presets() []preset.Preset {
	o := preset.Preset{
		Name: "Ordinary", ShiftCap: 0.1, ShiftInterval: 30 * time.Second, Headroom: 0.2, GrowthCap: 0.5,
		FloorFraction: 0.5, MaxWait: time.Second, LookupTTL: 30 * time.Second, RetryBudget: 0.1,
	}
	p := o
	p.Name = "Peak"
	p.Headroom = 0.1
	p.MaxWait = 500 * time.Millisecond
	m := o
	m.Name = "Maintenance"
	m.ShiftCap = 0.25
	return []preset.Preset{o, p, m}
}

// loopback returns an address with a free port. The port is free again when
// this returns, so another process can take it before the demo does; the
// demo's listen then fails with a clear error.
func loopback(ctx context.Context) (string, error) {
	l, err := listen(ctx)
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func listen(ctx context.Context) (net.Listener, error) {
	var c net.ListenConfig
	return c.Listen(ctx, "tcp", "127.0.0.1:0")
}
