package queuesimulation

import (
	"context"
	"strconv"

	"celeryreach.example/celeryreach/slot"
)

var background = context.Background()

// fifoQueue is the baseline: a single queue in order of arrival, limited only
// by the waiting time. A caller that leaves is removed.
func (c *Queuesimulation) fifoQueue() queueFuncs {
	var q []*caller
	k := func() {
		for len(q) > 0 {
			s, ok := c.acquire()
			if !ok {
				return
			}
			v := q[0]
			q = q[1:]
			v.decided = func() (slot.Slot, string, bool) { return s, "", true }
		}
	}
	return queueFuncs{
		enter: func(v *caller) {
			q = append(q, v)
			k()
		},
		leave: func(v *caller) {
			for i, x := range q {
				if x == v {
					q = append(q[:i], q[i+1:]...)
					return
				}
			}
		},
		grantFree: k,
		sweep:     func() {},
	}
}

func accountName(account int) string {
	return strconv.Itoa(account)
}
