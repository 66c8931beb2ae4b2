package idempotency

import (
	"context"
	"time"

	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/commit"
	"celeryreach.example/celeryreach/record"
	"celeryreach.example/celeryreach/row"
)

const (
	// endLimit is the greatest number of ended attempts in one commit.
	endLimit = 32
	// endPause is the time between two commits of ended attempts: nobody
	// waits for them, so they are gathered.
	endPause = 20 * time.Millisecond
	// failPause is the time before a store that failed is tried again.
	failPause = 250 * time.Millisecond
	// flushRounds bounds the last writes of a host that shuts down.
	flushRounds = 8
)

// Run writes the records of ended attempts until ctx ends, and then those that
// are left. What a dead store still does not take is answered "outcome
// unknown" by the other hosts, never run again.
func (i *Idempotency) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		p := endPause
		if !i.flush(ctx) {
			p = failPause
		}
		select {
		case <-ctx.Done():
		case <-i.Clock.After(p):
			i.sleep(ctx)
		}
	}
	for n := 0; n < flushRounds && i.left() > 0; n++ {
		i.flush(context.WithoutCancel(ctx))
	}
	return nil
}

// Left returns the number of ended attempts that the store does not know yet.
func (i *Idempotency) left() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.pending)
}

func (i *Idempotency) sleep(ctx context.Context) {
	if i.left() > 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-i.woken():
	}
}

func (i *Idempotency) woken() chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.wake == nil {
		i.wake = make(chan struct{}, 1)
	}
	return i.wake
}

// end makes r the final record of an attempt. The caller holds the lock.
func (i *Idempotency) end(a *attempt, r record.Record) {
	a.record = r
	close(a.done)
	i.pending = append(i.pending, a)
	if i.wake == nil {
		i.wake = make(chan struct{}, 1)
	}
	select {
	case i.wake <- struct{}{}:
	default:
	}
}

// flush writes what is pending and reports whether the store took all of it.
func (i *Idempotency) flush(ctx context.Context) bool {
	i.mu.Lock()
	n := min(len(i.pending), endLimit)
	p := append([]*attempt(nil), i.pending[:n]...)
	i.mu.Unlock()
	if n == 0 {
		return true
	}
	x, f := context.WithCancel(ctx)
	defer f()
	s := i.together(x, p)
	if s == nil {
		s = make([]bool, n)
		for j, a := range p {
			s[j] = i.alone(x, a)
		}
	}
	return i.settled(p, s)
}

// together writes all records with one commit; nil says that it did not work.
func (i *Idempotency) together(ctx context.Context, p []*attempt) []bool {
	var c commit.Commit
	s := make([]bool, len(p))
	for j, a := range p {
		s[j] = true
		if a.version == 0 {
			return nil
		}
		c.Expect = append(c.Expect, row.Row{Key: a.key, Version: a.version})
		c.Put = append(c.Put, row.Row{Key: a.key, Value: marshal(a.record)})
	}
	if ok, err := i.Platform.Commit(ctx, c); err != nil || !ok {
		return nil
	}
	return s
}

// alone writes one record after reading the row: only a row of the attempt
// itself is changed, and an absent one is filled, so that an insert that still
// travels fails its expectation.
func (i *Idempotency) alone(ctx context.Context, a *attempt) bool {
	o, err := i.Platform.Read(ctx, a.key)
	if err != nil {
		return false
	}
	if o.Version != 0 {
		var v record.Record
		if err := codec.Unmarshal(o.Value, &v); err != nil {
			return true
		}
		if v.Attempt != a.record.Attempt || v.State != record.Running {
			return true
		}
	}
	ok, err := i.Platform.Commit(ctx, commit.Commit{
		Expect: []row.Row{{Key: a.key, Version: o.Version}},
		Put:    []row.Row{{Key: a.key, Value: marshal(a.record)}},
	})
	return err == nil && ok
}

// settled takes the attempts that the store knows off the list.
func (i *Idempotency) settled(p []*attempt, s []bool) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.pending = i.pending[len(p):]
	all := true
	for j, a := range p {
		if !s[j] {
			i.pending = append(i.pending, a)
			all = false
			continue
		}
		i.forget(a)
		delete(i.given, a.record.Attempt)
	}
	return all
}

func marshal(r record.Record) []byte {
	b, err := codec.Marshal(r)
	if err != nil {
		panic(err) // a Record holds nothing that JSON cannot
	}
	return b
}
