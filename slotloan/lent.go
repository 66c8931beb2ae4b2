package slotloan

// Slots returns how many slots this host has lent to others and borrowed from
// them now.
func (l *Slotloan) Slots() (lent, borrowed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.Clock.Now()
	for _, v := range l.lent {
		if n.Before(v.until) && v.back != nil {
			lent++
		}
	}
	for _, v := range l.borrowed {
		if n.Before(v.until) {
			borrowed++
		}
	}
	return lent, borrowed
}
