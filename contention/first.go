package contention

import (
	"context"
	"strconv"

	"celeryreach.example/celeryreach/slot"
)

var background = context.Background()

// first is the baseline: one line in order of arrival, bounded by waiting time
// only. A caller that leaves is taken out.
func (c *Contention) first() line {
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
	return line{
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
		kick:  k,
		sweep: func() {},
	}
}

func name(account int) string {
	return strconv.Itoa(account)
}
