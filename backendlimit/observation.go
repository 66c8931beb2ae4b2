package backendlimit

import "time"

// observation is the limit that a backend server advertised in one response.
type observation struct {
	perSecond float64
	// sent is when the request was sent and received when the response arrived, by the
	// clock of this host.
	sent, received time.Time
}

// supersedes reports whether w replaces v. A response to a request that was sent after
// another response was received is the newer of the two. The order of overlapping
// responses is unknown: the lower limit holds until a response arrives that is newer
// than both.
func (w observation) supersedes(v observation) bool {
	switch {
	case w.sent.After(v.received):
		return true
	case !w.received.After(v.sent):
		return false
	case w.perSecond == v.perSecond:
		return w.received.After(v.received)
	default:
		return w.perSecond < v.perSecond
	}
}
