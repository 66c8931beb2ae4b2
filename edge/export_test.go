package edge

// LimitHosts returns the hosts between which this host divides limits.
func (e *Edge) LimitHosts() []string { return e.knownHostNames() }

// ColdPart returns how many requests a second this host may send to a cold backend server
// that can handle rate.
func (e *Edge) ColdPart(backend string, rate float64) int {
	return e.placement.ColdRate.Share(backend, rate)
}

// RetryLimit returns how many retries this host may send in a burst.
func (e *Edge) RetryLimit() float64 { return e.retryLimit() }

// IsListed reports whether this host may use a process of a backend server.
func (e *Edge) IsListed(name string, started int64) bool { return e.discovery.IsListed(name, started) }
