package forward

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/wire"
)

// Guards against hosts that together use more attempts for one request than its route allows.
func TestAttemptsOfAllHosts(t *testing.T) {
	for _, v := range []struct {
		name     string
		attempts int
		scripts  []string // HOST WORDS... for each stream
		want     string   // the attempts that each stream was given
		result   string
	}{{
		name: "refused by a build that counts none", attempts: 2,
		scripts: []string{"a alive refuse=NoCapacity,no", "b alive head=200 end"},
		want:    "a=2", result: "NoCapacity ran=no retry=2s",
	}, {
		name: "not reached", attempts: 2,
		scripts: []string{"a", "b alive head=200 body=x end"},
		want:    "b=2", result: "200 x",
	}, {
		name: "reused connection is silent", attempts: 2,
		scripts: []string{"a reused silent", "a alive head=200 body=x end"},
		want:    "a=1, a=1", result: "200 x",
	}, {
		name: "reused connection is cut", attempts: 3,
		scripts: []string{"a reused cut", "a alive head=200 body=x end"},
		want:    "a=2, a=1", result: "200 x",
	}, {
		name: "all hosts that were reached before are gone", attempts: 3,
		scripts: []string{"a reused cut", "b alive head=200 body=x end"},
		want:    "a=2, b=1", result: "200 x",
	}} {
		t.Run(v.name, func(t *testing.T) {
			given, result := serveScripts(v.attempts, v.scripts)
			must.EqOp(t, v.want, given)
			must.EqOp(t, v.result, result)
		})
	}
}

// Guards against the last attempt of a request on a connection that may be dead, after which
// nothing is left for another one.
func TestLastAttemptNeedsNewConnection(t *testing.T) {
	given, result := serveScripts(1, []string{"a reused silent", "b alive head=200 body=x end"})
	must.EqOp(t, "b=1", given)
	must.EqOp(t, "200 x", result)
}

// serveScripts serves a request by scripted streams. It returns the attempts that each stream
// was given, in this order, and the result.
func serveScripts(attempts int, scripts []string) (given, result string) {
	r := newHarness()
	r.attempts = attempts
	r.forward.Complete = func(m *wire.Request, q *request.Request) { m.Attempts = int32(q.Attempts) }
	for _, v := range scripts {
		a := strings.Fields(v)
		if _, ok := r.scripts[a[0]]; !ok {
			r.targets = append(r.targets, member.Member{Name: a[0], PeerAddress: a[0], Region: "lagos"})
			r.scripts[a[0]] = nil
		}
		if len(a) > 1 {
			r.scripts[a[0]] = append(r.scripts[a[0]], a[1:])
		}
	}
	r.serve("GET", 0)
	advanceUntil(r.clock, r.ended)
	return strings.Join(r.given, ", "), r.result
}
