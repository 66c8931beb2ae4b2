package forward

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/shutdown"
	"celeryreach.example/celeryreach/wire"
)

// Guards against hosts that together use more attempts for one request than its route allows,
// or send it to the same backend server.
func TestAttemptsOfAllHosts(t *testing.T) {
	for _, v := range []struct {
		name     string
		attempts int
		scripts  []string // HOST WORDS... for each stream
		want     string   // what each stream was given: the attempts, and backend servers to avoid
		result   string
		used     int
	}{{
		name: "refused by a build that does not count", attempts: 2,
		scripts: []string{"a alive refuse=NoCapacity,no", "b alive head=200 end"},
		want:    "a=2[]", result: "NoCapacity ran=no retry=2s", used: 2,
	}, {
		name: "refused by one backend server", attempts: 2,
		scripts: []string{"a alive refuse=NoCapacity,no,c1", "b alive head=200 body=x end"},
		want:    "a=2[], b=1[c1]", result: "200 x", used: 2,
	}, {
		name: "refused by as many as are allowed", attempts: 3,
		scripts: []string{"a alive refuse=NoCapacity,no,c1", "b alive refuse=NoCapacity,no,c2,c3", "c alive head=200 end"},
		want:    "a=3[], b=2[c1]", result: "NoCapacity ran=no retry=2s", used: 3,
	}, {
		name: "sent to no backend server", attempts: 1,
		scripts: []string{"a alive refuse=NoCapacity,no,none", "b alive refuse=NoCapacity,no,none", "c alive head=200 body=x end"},
		want:    "a=1[], b=1[], c=1[]", result: "200 x", used: 1,
	}, {
		name: "failed at one backend server", attempts: 3,
		scripts: []string{"a alive refuse=BackendFailed,unknown,c1"},
		want:    "a=3[]", result: "BackendFailed ran=unknown retry=2s", used: 1,
	}, {
		name: "not reached", attempts: 2,
		scripts: []string{"a", "b alive head=200 body=x end"},
		want:    "b=2[]", result: "200 x", used: 2,
	}, {
		name: "reused connection is silent", attempts: 2,
		scripts: []string{"a reused silent", "a alive head=200 body=x end"},
		want:    "a=1[], a=1[]", result: "200 x", used: 2,
	}, {
		name: "reused connection is cut", attempts: 3,
		scripts: []string{"a reused cut", "a alive head=200 body=x end"},
		want:    "a=2[], a=1[]", result: "200 x", used: 3,
	}, {
		name: "reused connection works", attempts: 3,
		scripts: []string{"a reused alive refuse=NoCapacity,no,c1,c2", "b alive head=200 body=x end"},
		want:    "a=2[], b=1[c1 c2]", result: "200 x", used: 3,
	}, {
		name: "all hosts that were reached before are gone", attempts: 3,
		scripts: []string{"a reused cut", "b alive head=200 body=x end"},
		want:    "a=2[], b=1[]", result: "200 x", used: 3,
	}} {
		t.Run(v.name, func(t *testing.T) {
			given, result, used := serveScripts(v.attempts, v.scripts)
			must.EqOp(t, v.want, given)
			must.EqOp(t, v.result, result)
			must.EqOp(t, v.used, used)
		})
	}
}

// Guards against the last attempt of a request on a connection that may be dead, after which
// nothing is left for another one.
func TestLastAttemptNeedsNewConnection(t *testing.T) {
	given, result, used := serveScripts(1, []string{"a reused silent", "b alive head=200 body=x end"})
	must.EqOp(t, "b=1[]", given)
	must.EqOp(t, "200 x", result)
	must.EqOp(t, 1, used)
}

// Guards against a host that begins to shut down while another one has its request, and sends
// the request once more although it ends before the answer is due.
func TestShutdownBeginsBeforeNextStream(t *testing.T) {
	for want, scripts := range map[string][]string{
		"NoCapacity ran=no retry=2s": {"a alive refuse=NoCapacity,no,none", "b alive head=200 end"},
		"BackendFailed ran=unknown":  {"a reused cut", "a alive head=200 end"},
	} {
		r := newHarness()
		s := &shutdown.Shutdown{Clock: r.clock}
		s.Begin(time.Second)
		r.forward.MayStart = s.Allows
		given, result, _ := r.serveScripts(2, scripts)
		must.StrHasPrefix(t, "a=", given)
		must.StrNotContains(t, given, ",")
		must.EqOp(t, want, result)
	}
}

// serveScripts serves a request by scripted streams. It returns what each stream was given, in
// this order, the result, and how many attempts were used.
func serveScripts(attempts int, scripts []string) (given, result string, used int) {
	return newHarness().serveScripts(attempts, scripts)
}

func (r *harness) serveScripts(attempts int, scripts []string) (given, result string, used int) {
	r.attempts = attempts
	r.forward.Complete = func(m *wire.Request, q *request.Request) {
		m.Attempts, m.AttemptedBackends = int32(q.Attempts), q.AttemptedBackends.Received()
	}
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
	return strings.Join(r.given, ", "), r.result, r.used
}
