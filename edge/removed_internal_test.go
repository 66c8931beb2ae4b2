package edge

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/backendbackoff"
	"celeryreach.example/celeryreach/discovery"
	"celeryreach.example/celeryreach/placement"
	"celeryreach.example/celeryreach/quarantine"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/upstream"
)

// Guards against a request that waits for a permit or a connection, and is sent to a backend
// server that has left meanwhile.
func TestNoRequestIsSentToBackendThatLeft(t *testing.T) {
	e, l := newEdge(1, "lagos"), log.New(io.Discard)
	e.backoffs, e.quarantine = &backendbackoff.Backendbackoff{Clock: e.Clock, Log: l}, quarantine.New()
	e.quarantine.Clock, e.quarantine.Log = e.Clock, l
	e.Gateway.Placement = &placement.Placement{Clock: e.Clock, Log: l}
	e.discovery = &discovery.Discovery{
		Clock: e.Clock, Log: l, UncertainUntil: func() time.Time { return time.Time{} }, WarmUp: func(string) time.Duration { return 0 },
		OnChange: func([]backend.Backend, func(string) time.Time) {}, Notify: func() {},
	}
	for n, leave := range map[string]func(b backend.Backend){
		"its entry is removed": func(backend.Backend) { e.discovery.SetBackends(nil) },
		"its entry shows that it drains": func(b backend.Backend) {
			b.Draining = true
			e.discovery.SetBackends([]backend.Backend{b})
		},
		"another process has its name": func(b backend.Backend) {
			b.Started++
			e.discovery.SetBackends([]backend.Backend{b})
		},
		"it says so in a response":        func(b backend.Backend) { e.discovery.MarkLeaving(b.Name, b.Started) },
		"its failure domain is evacuated": func(b backend.Backend) { e.discovery.SetEvacuated(map[string]bool{b.Domain: true}) },
	} {
		b := backend.Backend{Name: n, Domain: "lagos-1", Region: "lagos", Address: "127.0.0.1:80", Slots: 1, Started: 1}
		r := &request.Request{Host: "camps.example", Path: "/galleries/1"}
		e.discovery.SetEvacuated(nil)
		e.discovery.SetBackends([]backend.Backend{b})
		must.NoError(t, e.checkSend(r, b), must.Sprint(n))
		leave(b)
		must.ErrorIs(t, e.checkSend(r, b), upstream.ErrNotWanted, must.Sprint(n))
	}
}
