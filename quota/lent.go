package quota

// Lent returns how many tokens of an account are currently lent to other hosts.
func (q *Quota) Lent(name string) uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.entries[name]
	if e == nil {
		return 0
	}
	n := q.Clock.Now()
	var u uint64
	for _, d := range e.loans {
		if n.Before(d.until) {
			u += d.units
		}
	}
	return u
}
