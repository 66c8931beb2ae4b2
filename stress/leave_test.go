package stress

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/fleet"
	"celeryreach.example/celeryreach/settings"
)

// A host is shut down while it runs a request. This host must complete the request
// and end without an error. Before it ends, look-ups at the other host must no
// longer return this host. New requests to this host must either fail to connect or
// be refused as "not run" with the other host as an alternative.
func TestShutdownCompletesRunningRequests(t *testing.T) {
	c := newConfig()
	c.Domains = c.Domains[:1]
	f := &fleet.Fleet{
		Clock: clockwork.NewRealClock(), Log: log.New(io.Discard), Config: c, HostsPerDomain: 2, BackendsPerService: 1,
		Slots: 4, RequestDuration: 1500 * time.Millisecond,
		AdjustSettings: func(s *settings.Settings) { s.Heartbeat = 50 * time.Millisecond },
	}
	must.NoError(t, f.Start(t.Context()))
	defer f.Stop() //nolint:errcheck // the shutdown under test has reported its own end
	s := &Stress{Clock: f.Clock, fleet: f}
	must.NoError(t, s.waitForAdmission(t.Context()))
	h := f.Hosts()

	type answer struct {
		code int
		body string
		err  error
	}
	a := make(chan answer, 1)
	go func() {
		var v answer
		v.code, v.body, v.err = f.Send(t.Context(), h[0], accountName, http.MethodPost, "/enrolments/1", "enrolment-1")
		a <- v
	}()
	must.NoError(t, f.Await(t.Context(), "the enrolment to run", func() bool { return f.RunCounts()["enrolment-1"] == 1 }))
	e := make(chan error, 1)
	go func() { e <- f.StopHost(h[0]) }()
	must.NoError(t, f.Await(t.Context(), "look-ups to omit the host", func() bool {
		_, b, err := f.Send(t.Context(), h[1], accountName, http.MethodGet, "/lookup?account="+accountName+"&service=Enrolment", "")
		return err == nil && !strings.Contains(b, f.Settings(h[0]).CallerAddress)
	}))
	must.NoError(t, f.Await(t.Context(), "new requests to be refused", func() bool {
		n, b, err := f.Send(t.Context(), h[0], accountName, http.MethodPost, "/enrolments/2", "enrolment-2")
		refused := n == http.StatusServiceUnavailable && strings.Contains(b, `"Leaving","Ran":"no"`) && strings.Contains(b, f.Settings(h[1]).CallerAddress)
		return err != nil || refused
	}))
	v := <-a
	must.NoError(t, v.err)
	must.Eq(t, http.StatusOK, v.code, must.Sprint(v.body))
	must.NoError(t, <-e)
	must.Eq(t, 1, f.RunCounts()["enrolment-1"])
}
