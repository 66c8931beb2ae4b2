package placement

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/coldrate"
	"celeryreach.example/celeryreach/deadline"
	"celeryreach.example/celeryreach/request"
)

const (
	// A report of other hosts' load decays to about a third of its value in
	// reportLifeFactor times the mean duration of requests at the backend server, but
	// at least in minReportLife. Until then most of the reported requests are still
	// active.
	reportLifeFactor = 3
	minReportLife    = time.Second
	// durationSamples is the number of requests over which the mean duration of
	// a backend server's requests is taken.
	durationSamples = 16
	// fullAfterShed is how long a backend server counts as full after it refused a
	// request for lack of room.
	fullAfterShed = 200 * time.Millisecond
	// A request is overdue if it runs for more than overdueFactor times the mean
	// duration of its route and for more than overdueMin.
	overdueFactor = 4
	overdueMin    = 400 * time.Millisecond
	// maxObjects is the number of cached objects that are tracked for each backend
	// server. Current backend servers cache 26 to 64.
	maxObjects = 64
	// routeDurationSamples is the number of answers over which the mean duration of a
	// route is taken.
	routeDurationSamples = 50
)

// server is the state of one backend server as this host knows it.
type server struct {
	backend      backend.Backend
	running      []activeRequest // active requests of this host
	otherLoad    float64         // active requests of other hosts at reportedAt
	reportedAt   time.Time       // time of the last load report
	meanDuration time.Duration   // of this host's requests there, queueing included
	fullUntil    time.Time       // counts as full until then
	coldUntil    time.Time       // cold until then
	// maybeColdUntil is until when it is cold if it restarted when it refused a connection.
	maybeColdUntil time.Time
	restoredAt     time.Time   // when this host reached it again
	deniedUntil    time.Time   // no permit to send requests until then
	coldSends      []time.Time // times of recent requests sent while it was cold
	// objects are the objects that the backend server has recently worked on
	// for this host.
	objects *simplelru.LRU[string, struct{}]
}

func newServer() *server {
	l, err := simplelru.NewLRU[string, struct{}](maxObjects, nil)
	if err != nil {
		panic(err) // the size is a constant above zero
	}
	return &server{objects: l}
}

// activeRequest is a request for which Acquire chose the backend server and that hasn't
// ended.
type activeRequest struct {
	id, route   string
	startedAt   time.Time
	addedObject bool // the request added its object to server.objects
}

// load estimates the requests of all hosts that run or queue there.
func (s *server) load(now time.Time) float64 {
	return float64(len(s.running)) + s.otherLoad*decay(now.Sub(s.reportedAt), max(reportLifeFactor*s.meanDuration, minReportLife))
}

// updateDuration adds the duration of a request to the mean. The reported load of a
// backend server with long requests or a long queue is valid for longer. If reports
// decayed too soon, each host would send the backend server more requests, and all queued
// requests would time out.
func (s *server) updateDuration(d time.Duration) {
	if s.meanDuration == 0 {
		s.meanDuration = d
	}
	s.meanDuration += (d - s.meanDuration) / durationSamples
}

func (s *server) updateLoad(total int, now time.Time) {
	// The request whose answer carries the report is still in s.running, but total
	// no longer includes it.
	s.otherLoad = max(float64(total-len(s.running)+1), 0)
	s.reportedAt = now
}

// hasCached reports whether the backend server has recently worked on the object of r,
// as far as this host knows. Most requests for an object arrive at the few hosts of one
// region. A request without an object counts as cached everywhere.
func (s *server) hasCached(r *request.Request) bool {
	return r.Object == "" || s.objects.Contains(objectKey(r))
}

// addObject records that the backend server works on the object of r. The object counts
// as cached from the start of the first request: further requests are fast from then on.
func (s *server) addObject(r *request.Request) {
	if r.Object != "" {
		s.objects.Add(objectKey(r), struct{}{})
	}
}

// removeObject records that the backend server has not worked on the object of r, or has
// not completed the work.
func (s *server) removeObject(r *request.Request) {
	s.objects.Remove(objectKey(r))
}

// objectKey returns the key of a request's object, which is unique across services.
func objectKey(r *request.Request) string {
	return r.Service.Name + "\x00" + r.Object
}

func (s *server) markFull(now time.Time) {
	s.fullUntil = now.Add(fullAfterShed)
}

func (s *server) add(r *request.Request, now time.Time, addedObject bool) {
	s.running = append(s.running, activeRequest{id: r.ID, route: r.Route, startedAt: now, addedObject: addedObject})
	if s.coldEnd().After(now) {
		s.coldSends = append(s.coldSends, now)
	}
}

// coldEnd returns until when the backend server may be cold.
func (s *server) coldEnd() time.Time {
	return deadline.Later(s.coldUntil, s.maybeColdUntil)
}

// remove deletes a request from the active ones and returns it.
func (s *server) remove(r *request.Request) (activeRequest, bool) {
	for i, f := range s.running {
		if f.id == r.ID {
			s.running = append(s.running[:i], s.running[i+1:]...)
			return f, true
		}
	}
	return activeRequest{}, false
}

// hasOverdue reports whether a request runs there for much longer than the mean of its
// route: the backend server is then slow, does not respond, or has a queue that no
// load report includes yet. A request that began before a lost path was restored says
// nothing about the backend server.
func (p *Placement) hasOverdue(s *server, now time.Time) bool {
	for _, f := range s.running {
		u, ok := p.routeDurations[f.route]
		if ok && f.startedAt.After(s.restoredAt) && now.Sub(f.startedAt) > max(overdueFactor*u, overdueMin) {
			return true
		}
	}
	return false
}

// updateRouteDuration adds the duration of a request to the mean of its route.
func (p *Placement) updateRouteDuration(route string, d time.Duration) {
	if p.routeDurations == nil {
		p.routeDurations = make(map[string]time.Duration)
	}
	u, ok := p.routeDurations[route]
	if !ok {
		u = d
	}
	p.routeDurations[route] = u + (d-u)/routeDurationSamples
}

// withinColdRate reports whether a cold backend server may be sent one more request, part
// being the number that this host may send in a second.
func (s *server) withinColdRate(part int, now time.Time) bool {
	var ok bool
	s.coldSends, ok = coldrate.Allow(s.coldSends, part, now)
	return ok
}
