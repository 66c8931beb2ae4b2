// Package stress sends many requests through a whole deployment while faults
// are drawn at random, and judges every answer against what the backend servers
// ran.
package stress

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/backendknobs"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/domain"
	"celeryreach.example/celeryreach/fleet"
	"celeryreach.example/celeryreach/preset"
	"celeryreach.example/celeryreach/region"
	"celeryreach.example/celeryreach/service"
	"celeryreach.example/celeryreach/staleness"
)

const (
	accountName   = "camp"
	largeAnswer   = 100_000
	largeEvery    = 5
	plentiful     = 1_000_000
	hostsEach     = 2
	backendsEach  = 3
	slotsEach     = 16
	backendWork   = 5 * time.Millisecond
	serviceTime   = 3 * time.Second
	maxViolations = 20
	warmTime      = 30 * time.Second
)

// Stress is one run.
type Stress struct {
	// Clock is the clock of all parts. Sockets are real, so it has to run.
	Clock clockwork.Clock
	// Log receives the events of all parts.
	Log *log.Logger
	// Out receives the report.
	Out io.Writer
	// Requests is the number of requests, repetitions not counted.
	Requests int
	// Callers is the number of callers at once.
	Callers int
	// Seed draws requests and faults. Sockets and goroutines keep their own
	// timing, so a seed repeats the draws, not the interleaving.
	Seed uint64

	fleet  *fleet.Fleet
	next   atomic.Int64
	judge  judge
	faults map[string]int
}

// Run sends the requests and returns an error if a rule was broken.
func (s *Stress) Run(ctx context.Context) error {
	s.fleet = &fleet.Fleet{
		Clock: s.Clock, Log: s.Log, Config: newConfig(), HostsPerDomain: hostsEach, BackendsPerService: backendsEach,
		Slots: slotsEach, Work: backendWork,
	}
	err := s.fleet.Start(ctx)
	if err == nil {
		s.enlarge()
		if err = s.warm(ctx); err == nil {
			err = s.play(ctx)
		}
	}
	e := s.fleet.Stop()
	if err != nil {
		return err
	}
	err = s.report()
	if err == nil && e != nil {
		err = errors.Wrap(e, "stop")
	}
	return err
}

// enlarge gives some backend servers answers that are passed on in pieces.
func (s *Stress) enlarge() {
	for i, b := range s.backends() {
		if i%largeEvery == 0 {
			s.fleet.Backend(b).Set(backendknobs.Backendknobs{Bytes: largeAnswer})
		}
	}
}

func (s *Stress) backends() []string {
	r := make([]string, 0, len(s.fleet.Config.Backends))
	for _, b := range s.fleet.Config.Backends {
		r = append(r, b.Name)
	}
	return r
}

// warm waits until every host admits requests: hosts begin without tokens.
func (s *Stress) warm(ctx context.Context) error {
	x, f := context.WithTimeout(ctx, warmTime)
	defer f()
	return s.fleet.Await(x, "every host to admit requests", func() bool {
		for _, h := range s.fleet.Hosts() {
			c, _, err := s.fleet.Send(x, h, accountName, http.MethodGet, "/listings/warm", "")
			if err != nil || c != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// play runs the callers and the faults until all requests have been sent.
func (s *Stress) play(ctx context.Context) error {
	x, f := context.WithCancel(ctx)
	defer f()
	e := make(chan error, 1)
	go s.disturb(x, e)
	d := make(chan struct{})
	for i := range s.Callers {
		go s.call(ctx, i, d)
	}
	for range s.Callers {
		<-d
	}
	f()
	return <-e
}

func (s *Stress) report() error {
	v := s.judge.verdict(s.fleet.Runs())
	fmt.Fprintf(s.Out, "seed %d: %d requests, %d attempts\n", s.Seed, s.Requests, len(s.judge.claims))
	table(s.Out, "ended", s.judge.ends)
	table(s.Out, "fault", s.faults)
	for i, t := range v {
		if i == maxViolations {
			break
		}
		fmt.Fprintln(s.Out, "VIOLATION:", t)
	}
	fmt.Fprintf(s.Out, "violations: %d\n", len(v))
	if len(v) > 0 {
		return errors.Errorf("%d violations", len(v))
	}
	return nil
}

func table(w io.Writer, name string, m map[string]int) {
	k := make([]string, 0, len(m))
	for n := range m {
		k = append(k, n)
	}
	sort.Strings(k)
	for _, n := range k {
		fmt.Fprintf(w, "  %s %s %d\n", name, n, m[n])
	}
}

func newConfig() config.Config {
	p := preset.Preset{
		Name: "Ordinary", ShiftCap: 0.1, ShiftInterval: 30 * time.Second, Headroom: 0.2, GrowthCap: 1,
		FloorFraction: 0.5, MaxWait: time.Second, LookupTTL: 30 * time.Second, RetryBudget: 0.1,
	}
	return config.Config{
		Preset: p.Name, Presets: []preset.Preset{p},
		Regions: []region.Region{{Name: "lagos"}, {Name: "abuja"}},
		Domains: []domain.Domain{{Name: "lagos-1", Region: "lagos"}, {Name: "lagos-2", Region: "lagos"}, {Name: "abuja-1", Region: "abuja"}},
		Services: []service.Service{
			{Name: "Listings", Prefix: "/listings/", Timeout: serviceTime, AnswerBytes: 1000},
			{Name: "Enrolment", Prefix: "/enrolments/", Timeout: serviceTime, AnswerBytes: 1000},
		},
		Accounts:     []account.Account{{Name: accountName, Rate: plentiful, Burst: plentiful}},
		KeyStaleness: staleness.Staleness{Idempotent: time.Hour, NonIdempotent: time.Hour},
	}
}
