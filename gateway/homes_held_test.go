package gateway_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/attempted"
	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/decisionlog"
	"celeryreach.example/celeryreach/homes"
	"celeryreach.example/celeryreach/placement"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/result"
)

// Guards against a request that was held back since its backend server restarted, and is
// refused although the new process stands in its homes and was sent nothing.
func TestHeldBackRequestIsPlacedOnSuccessor(t *testing.T) {
	w := newFixture()
	w.moveHome(1, "lagos")
	p := &placement.Placement{Clock: w.clock, ColdCapacity: func(string) (float64, time.Duration) { return 0, 0 }}
	cold := func(string) time.Time { return time.Time{} }
	p.Set([]backend.Backend{{Name: "c1", Region: "lagos", Address: "10.1.0.1:80", Slots: 2, Started: 1}}, cold)
	w.gateway.Placement = p
	r := &request.Request{
		ID: "r1", Host: "camps.example", Path: "/listings/1", Admitted: w.clock.Now(), MaxWait: time.Second,
		Homes: homes.Intersect([]string{"lagos"}), HomesVersion: 1, AttemptedBackends: new(attempted.Attempted), DecisionLog: new(decisionlog.Decisionlog),
	}
	s, o := w.gateway.AcquireSlot(t.Context(), r)
	must.EqOp(t, "", o.Outcome)
	p.Set([]backend.Backend{{Name: "c1", Region: "lagos", Address: "10.1.0.1:80", Slots: 2, Started: 2}}, cold)
	must.False(t, w.gateway.MaySend(r, s.Backend))
	s.Release(result.Unused) // as Dispatch does
	_, o = w.gateway.AcquireSlot(t.Context(), r)
	must.EqOp(t, "", o.Outcome)
}

// Guards against a backend server that is reported to another host as one that was sent the
// request, and is passed over there, although the request was held back.
func TestHeldBackRequestWasNotSent(t *testing.T) {
	w := newFixture()
	w.moveHome(1, "lagos")
	p := &placement.Placement{Clock: w.clock, ColdCapacity: func(string) (float64, time.Duration) { return 0, 0 }}
	p.Set([]backend.Backend{{Name: "c1", Region: "lagos", Address: "10.1.0.1:80", Slots: 2}}, func(string) time.Time { return time.Time{} })
	w.gateway.Placement = p
	r := &request.Request{
		ID: "r1", Host: "camps.example", Path: "/listings/1", Admitted: w.clock.Now(), MaxWait: time.Second,
		Homes: homes.Intersect([]string{"lagos"}), HomesVersion: 1, AttemptedBackends: new(attempted.Attempted), DecisionLog: new(decisionlog.Decisionlog),
	}
	s, o := w.gateway.AcquireSlot(t.Context(), r)
	must.EqOp(t, "", o.Outcome)
	p.Set(nil, nil)
	must.False(t, w.gateway.MaySend(r, s.Backend))
	s.Release(result.Unused) // as Dispatch does
	must.SliceEmpty(t, r.AttemptedBackends.SentNames())
}
