package clientbody_test

import (
	"io"
	"os"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/clientbody"
	"celeryreach.example/celeryreach/stalled"
)

// slowBody has another piece of a body after each pause, until the read deadline has passed.
type slowBody struct {
	clock    *clockwork.FakeClock
	pause    time.Duration
	piece    int
	left     int
	deadline time.Time
}

func (b *slowBody) SetReadDeadline(t time.Time) error {
	b.deadline = t
	return nil
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	d := b.pause
	if !b.deadline.IsZero() {
		d = min(d, b.deadline.Sub(b.clock.Now()))
	}
	b.clock.Advance(max(0, d))
	if d < b.pause {
		return 0, os.ErrDeadlineExceeded
	}
	n := min(b.piece, b.left, len(p))
	b.left -= n
	return n, nil
}

// Guards against clients that keep a request open by sending nothing or next to nothing, and against
// closing it to clients that are merely slow.
func TestProgress(t *testing.T) {
	for _, v := range []struct {
		name     string
		pause    time.Duration
		piece    int
		deadline time.Duration
		want     error
		after    time.Duration
	}{
		{"stops", time.Hour, 1, 0, clientbody.ErrStalled, 10 * time.Second},
		{"byte after byte", time.Second, 1, 0, clientbody.ErrStalled, 10 * time.Second},
		{"slow", 9 * time.Second, 1000, 0, nil, 900 * time.Second},
		{"steady", time.Second, 100, 0, nil, 1000 * time.Second},
		{"later than its deadline", time.Second, 1000, 3 * time.Second, clientbody.ErrLate, 3 * time.Second},
	} {
		t.Run(v.name, func(t *testing.T) {
			k := clockwork.NewFakeClock()
			s := &slowBody{clock: k, pause: v.pause, piece: v.piece, left: 100_000}
			b := &clientbody.Clientbody{Body: s, SetReadDeadline: s.SetReadDeadline, Clock: k}
			a := k.Now()
			if v.deadline > 0 {
				b.Deadline = a.Add(v.deadline)
			}
			_, err := io.Copy(io.Discard, b)
			must.EqOp(t, v.want, err)
			must.EqOp(t, v.after, k.Since(a))
			must.True(t, v.want != nil || s.deadline.IsZero(), must.Sprint("a deadline is left for the next request"))
		})
	}
}

// Guards against a wait for a client that can't be ended for others, and against ending one that has
// just made progress.
func TestEviction(t *testing.T) {
	k := clockwork.NewFakeClock()
	l := &stalled.Stalled{Clock: k}
	s := &slowBody{clock: k, pause: 400 * time.Millisecond, piece: 600, left: 6000}
	b := &clientbody.Clientbody{Body: s, SetReadDeadline: s.SetReadDeadline, Clock: k, Stalled: l}
	n := 0
	s.piece = 600
	r := readFunc(func(p []byte) (int, error) {
		m, err := s.Read(p)
		n++
		must.EqOp(t, n%2 == 0, l.EndOldest(500*time.Millisecond)) // 1,000 bytes take two reads
		return m, err
	})
	b.Body = r
	_, err := b.Read(make([]byte, 1000))
	must.NoError(t, err)
	_, err = b.Read(make([]byte, 1000))
	must.NoError(t, err) // what has arrived counts
	_, err = b.Read(make([]byte, 1000))
	must.EqOp(t, clientbody.ErrStalled, err)
}

type readFunc func(p []byte) (int, error)

func (f readFunc) Read(p []byte) (int, error) { return f(p) }
