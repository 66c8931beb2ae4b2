package entitlement_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/division"
	"celeryreach.example/celeryreach/entitlement"
	"celeryreach.example/celeryreach/holder"
	"celeryreach.example/celeryreach/limitpart"
	"celeryreach.example/celeryreach/span"
)

const (
	hold  = 3 * time.Second
	limit = "slots/d"
)

// The next division takes away a slot on which a request still runs. If this
// host reported the new epoch at once, the next owner would start a second
// request on the slot and the backend server would reject one. So this host
// reports the new epoch only when the request has ended, or when Hold has
// passed, since other hosts wait no longer than Hold.
func TestReportWaitsForRequests(t *testing.T) {
	for _, ends := range []bool{true, false} {
		c := clockwork.NewFakeClock()
		s := holder.Holder{Name: "a", Domain: "d"}
		busy := false
		h := &entitlement.Entitlement{Clock: c, Self: s, Hold: hold, StoreHold: time.Hour, RevokedSlotsInUse: func() bool { return busy }}
		h.Tick()
		h.ApplyDivision(divide(1, s, span.FullLength), c.Now())
		must.Eq(t, 1, h.ReportEpoch())
		must.Len(t, 4, h.Slots(limit, 4))
		busy = true
		h.ApplyDivision(divide(2, s, span.FullLength/2), c.Now())
		must.Len(t, 2, h.Slots(limit, 4))
		must.Eq(t, 1, h.ReportEpoch())
		if ends {
			busy = false
		} else {
			c.Advance(hold)
		}
		must.Eq(t, 2, h.ReportEpoch())
	}
}

// divide returns a division with one holder and a leased part of the given
// length.
func divide(epoch uint64, h holder.Holder, length uint32) division.Division {
	return division.Division{
		Epoch: epoch, Holders: []holder.Holder{h},
		Parts: map[string]map[string]limitpart.Limitpart{limit: {h.Name: {Leased: []span.Span{{To: length}}}}},
	}
}
