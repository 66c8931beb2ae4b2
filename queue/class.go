package queue

import "container/heap"

// class is a set of accounts that share slots by start-time fair queueing. Each
// account has a virtual time that grows with the slot time it used, divided by
// its weight; the account with the lowest virtual time is served next. An
// account that sends many requests increases only its own waiting time.
type class struct {
	waiting     int
	totalWeight float64
	virtualTime float64
	byName      map[string]*accountQueue
	estimate    estimate
	// waitingAccounts are the accounts with waiting requests.
	waitingAccounts accountHeap
}

func (c *class) account(name string, weight float64) *accountQueue {
	a := c.byName[name]
	if a == nil {
		if c.byName == nil {
			c.byName = make(map[string]*accountQueue)
		}
		a = &accountQueue{weight: weight, index: -1}
		c.byName[name] = a
	}
	if a.index < 0 {
		// The weight of an account does not change while it has waiting requests,
		// so that totalWeight remains the sum of the weights.
		a.weight = weight
	}
	return a
}

func (c *class) push(a *accountQueue, w *waiter) {
	w.class = c
	a.push(w)
	c.waiting++
	if a.index >= 0 {
		return
	}
	// An account receives no credit for the time that it was idle; otherwise it
	// would starve the other accounts when it sends requests again.
	a.virtualTime = max(a.virtualTime, c.virtualTime)
	c.totalWeight += a.weight
	heap.Push(&c.waitingAccounts, a)
}

func (c *class) remove(w *waiter) {
	a := w.account
	a.remove(w)
	c.waiting--
	if a.waiting > 0 {
		return
	}
	heap.Remove(&c.waitingAccounts, a.index)
	c.totalWeight -= a.weight
	if len(c.waitingAccounts) == 0 {
		c.totalWeight = 0 // clears rounding errors
	}
}

func (c *class) first() *accountQueue {
	return c.waitingAccounts[0]
}

// charge adds the expected slot time of a request to the account and returns
// it.
func (c *class) charge(a *accountQueue) float64 {
	p := a.meanHold
	if p == 0 {
		p = c.estimate.meanHold
	}
	if p == 0 {
		p = initialHoldSeconds
	}
	c.virtualTime = max(c.virtualTime, a.virtualTime)
	c.addVirtualTime(a, p)
	return p
}

func (c *class) addVirtualTime(a *accountQueue, t float64) {
	a.virtualTime += t / a.weight
	if a.index >= 0 {
		heap.Fix(&c.waitingAccounts, a.index)
	}
}

// accountHeap is a heap ordered by virtual time.
type accountHeap []*accountQueue

// Len implements heap.Interface.
func (s accountHeap) Len() int { return len(s) }

// Less implements heap.Interface.
func (s accountHeap) Less(i, j int) bool { return s[i].virtualTime < s[j].virtualTime }

// Swap implements heap.Interface.
func (s accountHeap) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].index = i
	s[j].index = j
}

// Push implements heap.Interface.
func (s *accountHeap) Push(x any) {
	a := x.(*accountQueue)
	a.index = len(*s)
	*s = append(*s, a)
}

// Pop implements heap.Interface.
func (s *accountHeap) Pop() any {
	o := *s
	a := o[len(o)-1]
	o[len(o)-1] = nil
	*s = o[:len(o)-1]
	a.index = -1
	return a
}
