// Package outlier takes backend servers that fail out of use for a while, by the
// outcomes of their requests. It never takes out more than a bounded part of
// them: when most fail, the cause is elsewhere, and the rest could not carry
// the load.
package outlier

import "time"

const (
	// smoothing is the part of a new outcome in the running failure ratio.
	smoothing = 0.1
	// tolerance is the failure ratio from which on a backend server is ejected.
	tolerance = 0.5
	// maxDoublings bounds the time of repeated ejections to 16 times the first.
	maxDoublings = 4
)

// Outlier judges the backend servers of one service. It is not safe for use by
// several goroutines: its owner's lock guards it.
type Outlier struct {
	// Consecutive is the number of failures in a row that eject.
	Consecutive int
	// For is the time of a first ejection; it doubles with each that follows
	// before the backend server has proven itself.
	For time.Duration
	// Fraction is the greatest part of the backend servers that is ejected.
	Fraction float64

	servers map[string]*server
}

type server struct {
	consecutive int
	ratio       float64
	ejections   int
	until       time.Time
}

// Succeed records a request that went well.
func (o *Outlier) Succeed(name string) {
	s := o.server(name)
	s.consecutive = 0
	s.ratio -= smoothing * s.ratio
	if s.ratio < tolerance/10 {
		s.ejections = 0
	}
}

// Fail records a failed request. If that ejected the backend server, one of
// names, it returns until when.
func (o *Outlier) Fail(name string, names []string, now time.Time) (until time.Time, ejected bool) {
	s := o.server(name)
	s.consecutive++
	s.ratio += smoothing * (1 - s.ratio)
	if s.until.After(now) || s.consecutive < o.Consecutive && s.ratio < tolerance {
		return time.Time{}, false
	}
	if float64(o.ejected(names, now)+1) > o.Fraction*float64(len(names)) {
		return time.Time{}, false
	}
	s.until = now.Add(o.For << min(s.ejections, maxDoublings))
	s.ejections++
	// It has to fail anew to be ejected anew, but not as often.
	s.consecutive = o.Consecutive / 2
	s.ratio = 0
	return s.until, true
}

// Ejected reports whether a backend server is out of use.
func (o *Outlier) Ejected(name string, now time.Time) bool {
	s := o.servers[name]
	return s != nil && s.until.After(now)
}

// Forget drops what is known of a backend server.
func (o *Outlier) Forget(name string) {
	delete(o.servers, name)
}

func (o *Outlier) ejected(names []string, now time.Time) int {
	n := 0
	for _, v := range names {
		if o.Ejected(v, now) {
			n++
		}
	}
	return n
}

func (o *Outlier) server(name string) *server {
	if o.servers == nil {
		o.servers = make(map[string]*server)
	}
	s := o.servers[name]
	if s == nil {
		s = new(server)
		o.servers[name] = s
	}
	return s
}
