// Package outlier ejects backend servers temporarily when their requests fail. The
// fraction of backend servers that is ejected at a time is bounded: when most of them
// fail, the cause is elsewhere, and the remaining ones couldn't carry the load.
package outlier

import "time"

const (
	// ratioSmoothing is the weight of a new outcome in the moving average of the failure ratio.
	ratioSmoothing = 0.1
	// maxFailureRatio is the failure ratio at which a backend server is ejected.
	maxFailureRatio = 0.5
	// maxDoublings bounds the duration of repeated ejections to 16 times the first.
	maxDoublings = 4
)

// Outlier tracks failures of the backend servers of one service. It isn't safe for
// concurrent use; the caller's lock guards it.
type Outlier struct {
	// MaxConsecutive is the number of failures in a row after which a backend server is
	// ejected.
	MaxConsecutive int
	// Ejection is the duration of a first ejection. It doubles with each further
	// ejection until the failure ratio has fallen to a tenth of maxFailureRatio.
	Ejection time.Duration
	// MaxFraction is the greatest fraction of the backend servers that is ejected at a
	// time.
	MaxFraction float64

	servers map[string]*server
}

type server struct {
	consecutiveFailures int
	failureRatio        float64
	ejections           int
	ejectedUntil        time.Time
}

// Succeed records a successful request.
func (o *Outlier) Succeed(name string) {
	s := o.server(name)
	s.consecutiveFailures = 0
	s.failureRatio -= ratioSmoothing * s.failureRatio
	if s.failureRatio < maxFailureRatio/10 {
		s.ejections = 0
	}
}

// Fail records a failed request of a backend server. If that ejects the backend server,
// Fail returns the end of the ejection. names lists all backend servers of the service.
func (o *Outlier) Fail(name string, names []string, now time.Time) (until time.Time, ejected bool) {
	s := o.server(name)
	s.consecutiveFailures++
	s.failureRatio += ratioSmoothing * (1 - s.failureRatio)
	if s.ejectedUntil.After(now) || s.consecutiveFailures < o.MaxConsecutive && s.failureRatio < maxFailureRatio {
		return time.Time{}, false
	}
	if float64(o.countEjected(names, now)+1) > o.MaxFraction*float64(len(names)) {
		return time.Time{}, false
	}
	s.ejectedUntil = now.Add(o.Ejection << min(s.ejections, maxDoublings))
	s.ejections++
	// After the ejection, fewer failures in a row are enough to eject the backend
	// server again.
	s.consecutiveFailures = o.MaxConsecutive / 2
	s.failureRatio = 0
	return s.ejectedUntil, true
}

// Ejected reports whether a backend server is ejected at the moment.
func (o *Outlier) Ejected(name string, now time.Time) bool {
	return o.EjectedUntil(name).After(now)
}

// EjectedUntil returns the end of the last ejection of a backend server, zero if it was
// never ejected.
func (o *Outlier) EjectedUntil(name string) time.Time {
	if s := o.servers[name]; s != nil {
		return s.ejectedUntil
	}
	return time.Time{}
}

// Forget deletes the state of a backend server.
func (o *Outlier) Forget(name string) {
	delete(o.servers, name)
}

func (o *Outlier) countEjected(names []string, now time.Time) int {
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
