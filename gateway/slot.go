package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/deadline"
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
	n := 0     // permits denied or not used
	e := false // whether a stalled upload was ended
	for {
		c := g.Placement.Freed()
		g.HoldToHomes(r)
		b, ok, m, f := g.Placement.AcquireOrForward(r)
		switch {
		case ok && g.requestPermit(ctx, r, b):
			return g.newSlot(r, b), outcome.Outcome{}
		case ok:
			n++
		case f:
			return g.forwardSlot(r), outcome.Outcome{}
		case !e && g.Uploads.EndOldest(uploadStall):
			// Its slot is about to be free.
			e, m, u = true, true, deadline.Later(u, g.Clock.Now().Add(uploadEndTimeout))
		}
		d := u.Sub(g.Clock.Now())
		if ok && ctx.Err() == nil && (d > 0 || n < minPermitRequests) {
			continue // there may be a permit for another backend server
		}
		if o := g.awaitRoom(ctx, r, c, d, m, ok); o.Outcome != "" {
			return slot.Slot{}, o
		}
	}
}

// awaitRoom waits until a backend server may have room for r, at most for d. It returns the outcome
// of a request that can't wait any longer; usable reports whether one may have room soon, denied
// whether there was no permit for one that has.
func (g *Gateway) awaitRoom(ctx context.Context, r *request.Request, freed <-chan struct{}, d time.Duration, usable, denied bool) outcome.Outcome {
	switch {
	case denied && ctx.Err() != nil:
		return left()
	case !usable || d <= 0:
		return g.refuseUnplaced(r, usable)
	case !g.waitForRoom(ctx, freed, d):
		return left()
	}
	return outcome.Outcome{}
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

// left returns the outcome of a request whose caller left before it was sent.
func left() outcome.Outcome {
	return refuse(outcome.Left, "the caller left", 0)
}
