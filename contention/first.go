package contention

import (
	"context"
	"strconv"
	"time"

	"celeryreach.example/celeryreach/slot"
)

var background = context.Background()

// first is the baseline: one line in order of arrival, bounded by waiting time
// only. A caller that leaves is taken out.
func (c *Contention) first() line {
	var q []*caller
	kick := func() {
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
			kick()
		},
		leave: func(v *caller) {
			for i, x := range q {
				if x == v {
					q = append(q[:i], q[i+1:]...)
					return
				}
			}
		},
		kick:  kick,
		sweep: func() {},
	}
}

func name(account int) string {
	return strconv.Itoa(account)
}

// event is one thing that happens.
type event struct {
	at    time.Duration
	order int
	do    func()
}

// events is a heap by time.
type events []event

// Len is part of heap.Interface.
func (s events) Len() int { return len(s) }

// Less is part of heap.Interface.
func (s events) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].order < s[j].order
}

// Swap is part of heap.Interface.
func (s events) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push is part of heap.Interface.
func (s *events) Push(x any) { *s = append(*s, x.(event)) }

// Pop is part of heap.Interface.
func (s *events) Pop() any {
	o := *s
	e := o[len(o)-1]
	*s = o[:len(o)-1]
	return e
}
