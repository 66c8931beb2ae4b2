package slotloan

// Slots returns how many slots this host currently lends to and borrows from
// others.
func (l *Slotloan) Slots() (lent, borrowed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.Clock.Now()
	for _, v := range l.lent {
		if n.Before(v.until) && v.returnSlot != nil {
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
