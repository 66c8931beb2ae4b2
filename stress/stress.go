// Package stress sends many requests through a complete deployment while it
// injects random faults, and checks every response against the requests that
// the backend servers ran.
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
	"celeryreach.example/celeryreach/backendfaults"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/domain"
	"celeryreach.example/celeryreach/fleet"
	"celeryreach.example/celeryreach/preset"
	"celeryreach.example/celeryreach/region"
	"celeryreach.example/celeryreach/service"
	"celeryreach.example/celeryreach/staleness"
)

const (
	accountName         = "camp"
	largeAnswerBytes    = 100_000
	largeAnswerInterval = 5         // every fifth backend server sends large responses
	ampleLimit          = 1_000_000 // rate and burst that the callers never reach
	hostsPerDomain      = 2
	backendsPerService  = 3
	slotsPerBackend     = 16
	backendWork         = 5 * time.Millisecond
	serviceTimeout      = 3 * time.Second
	maxViolations       = 20
	admissionTimeout    = 30 * time.Second
)

// Stress is one run of the stress test.
type Stress struct {
	// Clock is the clock of all components. It must advance in real time
	// because the components communicate through real sockets.
	Clock clockwork.Clock
	// Log receives the log lines of all components.
	Log *log.Logger
	// Out receives the report.
	Out io.Writer
	// Requests is the number of requests, not counting retries.
	Requests int
	// Callers is the number of concurrent callers.
	Callers int
	// Seed seeds the random choice of requests and faults. The timing of
	// sockets and goroutines is not controlled, so a seed reproduces the
	// choices but not their interleaving.
	Seed uint64

	fleet       *fleet.Fleet
	started     atomic.Int64
	checker     checker
	faultCounts map[string]int
}

// Run sends the requests and returns an error if a violation was found.
func (s *Stress) Run(ctx context.Context) error {
	s.fleet = &fleet.Fleet{
		Clock: s.Clock, Log: s.Log, Config: newConfig(), HostsPerDomain: hostsPerDomain, BackendsPerService: backendsPerService,
		Slots: slotsPerBackend, RequestDuration: backendWork,
	}
	err := s.fleet.Start(ctx)
	if err == nil {
		s.enableLargeAnswers()
		if err = s.waitForAdmission(ctx); err == nil {
			err = s.runCallersWithFaults(ctx)
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

// enableLargeAnswers makes some backend servers send responses that are large
// enough for hosts to pass them on in chunks.
func (s *Stress) enableLargeAnswers() {
	for i, b := range s.backendNames() {
		if i%largeAnswerInterval == 0 {
			s.fleet.Backend(b).SetFaults(backendfaults.Backendfaults{Bytes: largeAnswerBytes})
		}
	}
}

func (s *Stress) backendNames() []string {
	r := make([]string, 0, len(s.fleet.Config.Backends))
	for _, b := range s.fleet.Config.Backends {
		r = append(r, b.Name)
	}
	return r
}

// waitForAdmission waits until every host admits requests, because hosts start
// without rate-limit tokens.
func (s *Stress) waitForAdmission(ctx context.Context) error {
	x, f := context.WithTimeout(ctx, admissionTimeout)
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

// runCallersWithFaults runs the callers while faults are injected, until all
// requests have been sent.
func (s *Stress) runCallersWithFaults(ctx context.Context) error {
	x, f := context.WithCancel(ctx)
	defer f()
	e := make(chan error, 1)
	go s.injectFaults(x, e)
	d := make(chan struct{})
	for i := range s.Callers {
		go s.runCaller(ctx, i, d)
	}
	for range s.Callers {
		<-d
	}
	f()
	return <-e
}

func (s *Stress) report() error {
	v := s.checker.findViolations(s.fleet.RunCounts())
	fmt.Fprintf(s.Out, "seed %d: %d requests, %d attempts\n", s.Seed, s.Requests, len(s.checker.results))
	printCounts(s.Out, "ended", s.checker.outcomeCounts)
	printCounts(s.Out, "fault", s.faultCounts)
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

func printCounts(w io.Writer, name string, m map[string]int) {
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
			{Name: "Listings", Prefix: "/listings/", Timeout: serviceTimeout, AnswerBytes: 1000},
			{Name: "Enrolment", Prefix: "/enrolments/", Timeout: serviceTimeout, AnswerBytes: 1000},
		},
		Accounts:     []account.Account{{Name: accountName, Rate: ampleLimit, Burst: ampleLimit}},
		KeyStaleness: staleness.Staleness{Idempotent: time.Hour, NonIdempotent: time.Hour},
	}
}
