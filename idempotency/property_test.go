package idempotency_test

import (
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"celeryreach.example/celeryreach/idempotency"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/record"
)

// model judges by its own count of runs: an attempt that was let run and did
// not end void has run.
type model struct {
	world
	attempt int
	tries   map[string][2]string // attempts that run: host, id
	ran     map[string]int       // id: runs
}

// step does one random thing and returns what is wrong, empty if nothing is.
func (m *model) step(t *rapid.T) string {
	h := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "host")
	switch rapid.SampledFrom([]string{"begin", "begin", "begin", "end", "store", "arrive", "flush", "replace"}).Draw(t, "step") {
	case "begin":
		id := rapid.SampledFrom([]string{"1", "2"}).Draw(t, "id")
		m.attempt++
		n := fmt.Sprint(m.attempt)
		r, o := m.begin(h, n, id, "body")
		if o.Outcome == "" {
			m.runs[n] = r
			m.tries[n] = [2]string{h, id}
			m.ran[id]++
			if m.ran[id] > 1 {
				return "id " + id + " runs twice"
			}
		}
		if o.Outcome == outcome.Answered && m.ran[id] == 0 {
			return "id " + id + " is answered and has not run"
		}
	case "end":
		for n, v := range m.tries {
			delete(m.tries, n)
			r := m.runs[n]
			r.State = rapid.SampledFrom([]string{record.Done, record.Void, record.Unknown}).Draw(t, "state")
			if r.State == record.Void {
				m.ran[v[1]]--
			}
			m.hosts[v[0]].End("camp", v[1], r)
			m.open[v[0]+"/"+v[1]] = false
			break
		}
	case "store":
		m.store.set(rapid.SampledFrom([]string{"up", "up", "out", "lose", "late"}).Draw(t, "mode"))
	case "arrive":
		m.store.arrive()
	case "flush":
		m.flush(h)
	case "replace":
		for n, v := range m.tries {
			if v[0] == h {
				delete(m.tries, n) // it may have run, and nobody will end it
				m.open[h+"/"+v[1]] = false
			}
		}
		m.inc[h]++
		m.hosts[h] = newHost(m.clock, m.store, h, m.inc[h], m.alive)
	}
	return ""
}

func newModel(blind bool) *model {
	m := &model{tries: make(map[string][2]string), ran: make(map[string]int)}
	m.clock = clockwork.NewFakeClock()
	m.store = &faultyStore{blind: blind}
	m.hosts = make(map[string]*idempotency.Idempotency)
	m.inc = make(map[string]uint64)
	m.runs = make(map[string]record.Record)
	m.open = make(map[string]bool)
	for _, h := range []string{"a", "b"} {
		m.hosts[h] = newHost(m.clock, m.store, h, 0, m.alive)
	}
	return m
}

// A parent is charged twice, or told "not run" for a deposit that was taken:
// two hosts get repetitions of one id while the store loses answers, delays
// commits past the read-back and goes out, and hosts are replaced in between.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(false)
		for range 60 {
			if f := m.step(t); f != "" {
				t.Fatal(f)
			}
		}
	})
}

// The test of the test: a store that does not check expectations makes the
// model find a second run.
func TestModelFindsSecondRun(t *testing.T) {
	f := ""
	m := newModel(true)
	g := rapid.Custom(func(t *rapid.T) string { return m.step(t) })
	for i := 0; i < 2000 && f == ""; i++ {
		f = g.Example(i)
	}
	if f == "" {
		t.Fatal("the model did not find that an id ran twice")
	}
}
