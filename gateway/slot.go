package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/result"
	"celeryreach.example/celeryreach/slot"
)

// AcquireSlot waits for a slot on a backend server until r.MaxWait has passed since r
// was admitted. If another host has to send r, since this one doesn't reach its backend
// servers, the slot says so.
func (g *Gateway) AcquireSlot(ctx context.Context, r *request.Request) (slot.Slot, outcome.Outcome) {
	u := r.Admitted.Add(r.MaxWait)
	n := 0 // permits denied or not used
	for {
		c := g.Placement.Freed()
		g.HoldToHomes(r)
		b, ok, m, f := g.Placement.AcquireOrForward(r)
		if ok && g.requestPermit(ctx, r, b) {
			return g.newSlot(r, b), outcome.Outcome{}
		}
		if ok {
			n++
		} else if f {
			return g.forwardSlot(r), outcome.Outcome{}
		}
		d := u.Sub(g.Clock.Now())
		switch {
		case ok && ctx.Err() != nil:
			return slot.Slot{}, refuse(outcome.Left, "the caller left", 0)
		case ok && (d > 0 || n < minPermitRequests):
			continue // there may be a permit for another backend server
		case !m || d <= 0:
			return slot.Slot{}, g.refuseUnplaced(r, m)
		}
		if !g.waitForRoom(ctx, c, d) {
			return slot.Slot{}, refuse(outcome.Left, "the caller left", 0)
		}
	}
}

// waitForRoom waits until a backend server may have room again or d has passed. It returns
// false if ctx has ended.
func (g *Gateway) waitForRoom(ctx context.Context, freed <-chan struct{}, d time.Duration) bool {
	select {
	case <-freed:
	case <-g.Clock.After(d):
	case <-ctx.Done():
		return false
	}
	return true
}

// refuseUnplaced refuses a request for which no backend server has room; usable reports
// whether one may have room soon.
func (g *Gateway) refuseUnplaced(r *request.Request, usable bool) outcome.Outcome {
	r.DecisionLog.Add(g.Clock.Now(), "request not placed", append([]any{
		"Service", r.Service.Name, "Usable", usable, "Patience", r.MaxWait, "Priority", r.Priority,
	}, g.Placement.UnavailableFields(r)...)...)
	return refuse(outcome.NoCapacity, "no backend server has room", g.retryDelay(r))
}

// forwardSlot returns the slot of a request that another host has to send.
func (g *Gateway) forwardSlot(r *request.Request) slot.Slot {
	r.DecisionLog.Add(g.Clock.Now(), "request forwarded", "Unsent", r.AttemptedBackends.Names(), "Homes", r.Homes, "HomesVersion", r.HomesVersion)
	return slot.Slot{Forward: true, Release: func(result.Result) {}}
}

// requestPermit reports whether r may be sent to the backend server that was chosen for
// it. If not, r no longer counts as load there.
func (g *Gateway) requestPermit(ctx context.Context, r *request.Request, b backend.Backend) bool {
	if g.RequestPermit == nil {
		return true
	}
	d, ok := g.RequestPermit(ctx, b)
	switch {
	case !ok:
		r.DecisionLog.Add(g.Clock.Now(), "no permit", "Backend", b.Name, "Again", d)
	case g.Placement.BackedOff(b): // since the permit was requested
		r.DecisionLog.Add(g.Clock.Now(), "permit not used", "Backend", b.Name)
	default:
		return true
	}
	g.Placement.ReleaseUnsent(b.Name, r, d)
	return false
}

// retryDelay returns when a request that no backend server served may be sent again: not
// before one of them may be sent requests.
func (g *Gateway) retryDelay(r *request.Request) time.Duration {
	d := g.Placement.RetryAfter(r)
	if d <= retryAfter {
		return retryAfter
	}
	if g.Random != nil {
		d += time.Duration(g.Random() * float64(min(d/spreadDivisor, maxSpread)))
	}
	return d
}

// newSlot returns the slot of a request on a backend server.
func (g *Gateway) newSlot(r *request.Request, b backend.Backend) slot.Slot {
	r.AttemptedBackends.Add(b.Name)
	return slot.Slot{
		Backend: b,
		OnResponse: func(status int, h http.Header) {
			n, m, ok := g.ReportedLoad(h)
			if ok {
				g.Placement.RecordLoad(b.Name, n, m)
			}
			r.DecisionLog.Add(g.Clock.Now(), "backend server answered", "Backend", b.Name, "Status", status, "Running", n, "Waiting", m)
		},
		Release: releaseOnce(func(v result.Result) {
			if v == result.Refused && g.Placement.IsLost(b) {
				r.AttemptedBackends.AddUnsent(b.Name)
			}
			g.Placement.Release(b.Name, r, v)
			r.DecisionLog.Add(g.Clock.Now(), "backend server released", "Backend", b.Name, "Started", b.Started, "Result", v)
		}),
	}
}

// releaseOnce returns a function that calls f on its first call only.
func releaseOnce(f func(result.Result)) func(result.Result) {
	var o sync.Once
	return func(r result.Result) { o.Do(func() { f(r) }) }
}
