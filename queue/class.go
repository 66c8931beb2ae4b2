package queue

import "container/heap"

// class is a set of accounts that share slots by start-time fair queueing. Each
// account has a virtual time that grows with the slot time it used, divided by
// its weight; the account that is furthest behind is served next. An account
// that sends many requests only waits longer itself.
type class struct {
	waiting  int
	weights  float64
	virtual  float64
	known    map[string]*account
	estimate estimate
	// accounts are those with waiting requests.
	accounts accounts
}

func (c *class) account(name string, weight float64) *account {
	a := c.known[name]
	if a == nil {
		if c.known == nil {
			c.known = make(map[string]*account)
		}
		a = &account{weight: weight, index: -1}
		c.known[name] = a
	}
	if a.index < 0 {
		// While an account waits its weight stays, so that weights adds up.
		a.weight = weight
	}
	return a
}

func (c *class) push(a *account, w *waiter) {
	w.class = c
	a.push(w)
	c.waiting++
	if a.index >= 0 {
		return
	}
	// An account that was idle has no claim on the slots of that time, else it
	// would shut out the others after its return.
	a.virtual = max(a.virtual, c.virtual)
	c.weights += a.weight
	heap.Push(&c.accounts, a)
}

func (c *class) remove(w *waiter) {
	a := w.line
	a.remove(w)
	c.waiting--
	if a.waiting > 0 {
		return
	}
	heap.Remove(&c.accounts, a.index)
	c.weights -= a.weight
	if len(c.accounts) == 0 {
		c.weights = 0 // removes what rounding left
	}
}

func (c *class) first() *account {
	return c.accounts[0]
}

// charge adds the slot time that a request will probably take and returns it.
func (c *class) charge(a *account) float64 {
	p := a.hold
	if p == 0 {
		p = c.estimate.hold
	}
	if p == 0 {
		p = nominalHold
	}
	c.virtual = max(c.virtual, a.virtual)
	c.correct(a, p)
	return p
}

func (c *class) correct(a *account, t float64) {
	a.virtual += t / a.weight
	if a.index >= 0 {
		heap.Fix(&c.accounts, a.index)
	}
}

// accounts is a heap by virtual time.
type accounts []*account

// Len is part of heap.Interface.
func (s accounts) Len() int { return len(s) }

// Less is part of heap.Interface.
func (s accounts) Less(i, j int) bool { return s[i].virtual < s[j].virtual }

// Swap is part of heap.Interface.
func (s accounts) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].index = i
	s[j].index = j
}

// Push is part of heap.Interface.
func (s *accounts) Push(x any) {
	a := x.(*account)
	a.index = len(*s)
	*s = append(*s, a)
}

// Pop is part of heap.Interface.
func (s *accounts) Pop() any {
	o := *s
	a := o[len(o)-1]
	o[len(o)-1] = nil
	*s = o[:len(o)-1]
	a.index = -1
	return a
}
