package gateway_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/homes"
	"celeryreach.example/celeryreach/ingress"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/routeindex"
)

func (w *fixture) moveHome(version uint64, region string) {
	c := &config.Config{Version: version, Routes: []ingress.Ingress{{Name: "view", Host: "camps.example", Prefix: "/listings/", Homes: []string{region}}}}
	w.index = routeindex.New(c, w.index, w.clock.Now())
}

type askedBody struct{ asked bool }

func (b *askedBody) Read([]byte) (int, error) {
	b.asked = true
	return 0, io.EOF
}

// Guards against a host that asks another one for the body of a request that, by its own
// version, no region may serve. What is asked for is sent to this host.
func TestBodyIsNotAskedForWithoutHomes(t *testing.T) {
	w := newFixture()
	w.moveHome(2, "abuja")
	w.gateway.Dispatch = func(context.Context, *request.Request, http.ResponseWriter) outcome.Outcome {
		return outcome.Outcome{Outcome: outcome.NoCapacity, Ran: outcome.RanNo}
	}
	b := &askedBody{}
	r := &request.Request{
		ID: "r1", Host: "camps.example", Path: "/listings/1", Body: b, Length: 100 << 10, Deadline: w.clock.Now().Add(time.Minute),
		Homes: homes.Intersect([]string{"lagos"}), HomesVersion: 1,
	}
	o := w.gateway.ServeForwarded(t.Context(), r, httptest.NewRecorder())
	must.EqOp(t, outcome.NoCapacity, o.Outcome)
	must.False(t, b.asked)
}
