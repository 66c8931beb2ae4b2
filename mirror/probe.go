package mirror

import (
	"context"

	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/deadline"
)

// lateReplies is how many times longer than Reply a call stays open. A slow store then
// answers it, while newer calls find out whether it was lost in a silence.
const lateReplies = 4

var errLate = errors.New("no answer in time")

// probe makes calls that do not wait, the next one whenever the last has taken Reply
// and a pause, and returns what the first of them brings.
func (m *Mirror) probe(ctx context.Context) answer {
	x, f := context.WithCancel(ctx)
	c := make(chan answer)
	o := 0 // calls that are open
	defer func() {
		f()
		for ; o > 0; o-- {
			<-c
		}
	}()
	t := m.Clock.After(0)
	for p := firstPause; ; {
		select {
		case <-ctx.Done():
			return answer{err: ctx.Err()}
		case a := <-c:
			o--
			if !errors.Is(a.err, errLate) {
				return a
			}
		case <-t:
			if o > 0 {
				m.fail(errLate)
			}
			o++
			if m.Renew != nil {
				m.Renew()
			}
			go func() { c <- m.call(x) }()
			t = m.Clock.After(m.Reply + p)
			p = min(2*p, lastPause)
		}
	}
}

// call makes one call that does not wait, for changes if the feed can go on from the
// copy, else for the whole table.
func (m *Mirror) call(ctx context.Context) answer {
	m.mu.Lock()
	n := m.seen
	a := answer{whole: n == 0 || m.reread}
	m.mu.Unlock()
	x, f := deadline.With(ctx, m.Clock, lateReplies*m.Reply)
	defer f()
	if a.whole {
		a.rows, a.version, a.err = m.Read(x)
	} else {
		a.rows, a.version, a.err = m.Feed(x, n, 0)
	}
	if a.err != nil && deadline.Exceeded(x) {
		a.err = errLate
	}
	return a
}
