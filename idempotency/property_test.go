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

// model checks the hosts against its own count of runs. An attempt that was
// permitted to run and did not end as void has run.
type model struct {
	scriptState
	lastAttempt  int
	openAttempts map[string][2]string // attempts that run: host, id
	runCounts    map[string]int       // id: runs
}

// step performs one random operation and returns a description of the failure
// it found, empty if there is none.
func (m *model) step(t *rapid.T) string {
	h := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "host")
	switch rapid.SampledFrom([]string{"begin", "begin", "begin", "end", "store", "arrive", "flush", "replace"}).Draw(t, "step") {
	case "begin":
		id := rapid.SampledFrom([]string{"1", "2"}).Draw(t, "id")
		m.lastAttempt++
		n := fmt.Sprint(m.lastAttempt)
		r, o := m.begin(h, n, id, "body")
		if o.Outcome == "" {
			m.records[n] = r
			m.openAttempts[n] = [2]string{h, id}
			m.runCounts[id]++
			if m.runCounts[id] > 1 {
				return "id " + id + " runs twice"
			}
		}
		if o.Outcome == outcome.Answered && m.runCounts[id] == 0 {
			return "id " + id + " is answered and has not run"
		}
	case "end":
		for n, v := range m.openAttempts {
			delete(m.openAttempts, n)
			r := m.records[n]
			r.State = rapid.SampledFrom([]string{record.Done, record.Void, record.Unknown}).Draw(t, "state")
			if r.State == record.Void {
				m.runCounts[v[1]]--
			}
			m.hosts[v[0]].End("camp", v[1], r)
			m.running[v[0]+"/"+v[1]] = false
			break
		}
	case "store":
		m.store.set(rapid.SampledFrom([]string{"up", "up", "out", "lose", "late"}).Draw(t, "mode"))
	case "arrive":
		m.store.applyDelayed()
	case "flush":
		m.flush(h)
	case "replace":
		for n, v := range m.openAttempts {
			if v[0] == h {
				delete(m.openAttempts, n) // it may have run, and it is never ended
				m.running[h+"/"+v[1]] = false
			}
		}
		m.incarnations[h]++
		m.hosts[h] = newHost(m.clock, m.store, h, m.incarnations[h], m.alive)
	}
	return ""
}

func newModel(blind bool) *model {
	m := &model{openAttempts: make(map[string][2]string), runCounts: make(map[string]int)}
	m.clock = clockwork.NewFakeClock()
	m.store = &faultyStore{ignoreExpect: blind}
	m.hosts = make(map[string]*idempotency.Idempotency)
	m.incarnations = make(map[string]uint64)
	m.records = make(map[string]record.Record)
	m.running = make(map[string]bool)
	for _, h := range []string{"a", "b"} {
		m.hosts[h] = newHost(m.clock, m.store, h, 0, m.alive)
	}
	return m
}

// TestAtMostOnce guards against running an id twice, and against answering "not
// run" for a request that ran. Two hosts get repeated requests with the same
// ids while the store loses answers, delays commits past the read that follows,
// or is unavailable, and hosts are replaced.
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

// TestModelFindsSecondRun checks that the model can fail: with a store that
// ignores expected versions it finds a second run.
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
