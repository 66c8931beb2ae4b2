package demo

import (
	"time"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/domain"
	"celeryreach.example/celeryreach/objective"
	"celeryreach.example/celeryreach/preset"
	"celeryreach.example/celeryreach/region"
	"celeryreach.example/celeryreach/service"
	"celeryreach.example/celeryreach/staleness"
)

const (
	slotsPerBackend    = 4
	backendsPerService = 2
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

var objectives = []objective.Objective{
	{Service: "Listings", Latency: 250 * time.Millisecond, LatencyFraction: 0.99, WholeFraction: 0.999, WrongfulFraction: 0.001, WorstShare: 0.8, Headroom: 0.2, DrainTime: 10 * time.Second},
	{Service: "Enrolment", Latency: time.Second, LatencyFraction: 0.99, WholeFraction: 0.999, WrongfulFraction: 0.001, WorstShare: 0.8, Headroom: 0.2, DrainTime: 15 * time.Second},
	{Service: "Rosters", Latency: 10 * time.Second, LatencyFraction: 0.95, WholeFraction: 0.99, WrongfulFraction: 0.01},
}

// newConfig returns the demo's configuration. The fleet adds backend servers,
// keys and an operator.
func newConfig() config.Config {
	return config.Config{
		Preset: "Ordinary", Presets: presets(), Domains: domains, Services: services, Accounts: accounts, Objectives: objectives,
		Regions:      []region.Region{{Name: "lagos"}, {Name: "abuja"}},
		KeyStaleness: staleness.Staleness{Idempotent: 10 * time.Minute, NonIdempotent: time.Minute},
	}
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
