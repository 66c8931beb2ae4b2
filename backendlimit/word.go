package backendlimit

import "time"

// word is what a backend server said of its limit in one answer.
type word struct {
	perSecond float64
	// asked and answered are when the request went out and the answer came in, by the
	// clock of this host.
	asked, answered time.Time
}

// after reports whether w is believed in the place of v. An answer to a request that
// went out after another answer had come in is the newer of the two. Of answers that
// overlap nobody can tell which was given first: the lower limit holds until one comes
// that is newer than both.
func (w word) after(v word) bool {
	switch {
	case w.asked.After(v.answered):
		return true
	case !w.answered.After(v.asked):
		return false
	case w.perSecond == v.perSecond:
		return w.answered.After(v.answered)
	default:
		return w.perSecond < v.perSecond
	}
}
