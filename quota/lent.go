package quota

// Lent returns how many tokens of an account other hosts have on loan now.
func (q *Quota) Lent(name string) uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.entries[name]
	if e == nil {
		return 0
	}
	n := q.Clock.Now()
	var u uint64
	for _, d := range e.lent {
		if n.Before(d.until) {
			u += d.units
		}
	}
	return u
}
