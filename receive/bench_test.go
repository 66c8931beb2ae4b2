package receive_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/credential"
	"celeryreach.example/celeryreach/forward"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/peerserver"
	"celeryreach.example/celeryreach/receive"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/service"
	"celeryreach.example/celeryreach/snapshot"
	"celeryreach.example/celeryreach/streampool"
)

var page = []byte(strings.Repeat("x", 20_000))

// newForwardPair starts a receiving host on loopback and returns a Forward that
// sends to it.
func newForwardPair(t testing.TB) *forward.Forward {
	c := clockwork.NewRealClock()
	s := snapshot.New(&config.Config{
		Services: []service.Service{{Name: "s"}}, Keys: []credential.Credential{{Hash: "k", Account: "a"}},
	}, "")
	v := &receive.Receive{
		Clock: c, Snapshot: func() *snapshot.Snapshot { return s },
		Admit: func(*request.Request, string) (func(outcome.Outcome, int64), outcome.Outcome) {
			return func(outcome.Outcome, int64) {}, outcome.Outcome{}
		},
		Serve: func(_ context.Context, _ *request.Request, w http.ResponseWriter) outcome.Outcome {
			_, _ = w.Write(page)
			return outcome.Outcome{Outcome: outcome.Answered, Ran: outcome.RanYes}
		},
	}
	var n net.ListenConfig
	l, err := n.Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	p := &streampool.Streampool{Clock: c, Idle: time.Minute, PerAddress: 8, MaxDials: 8, Dial: func(ctx context.Context, a string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", a)
	}}
	x, f := context.WithCancel(context.Background())
	e := make(chan error, 1)
	go func() { e <- (&peerserver.Peerserver{Listener: l, OnForward: v.Stream}).Run(x) }()
	t.Cleanup(func() {
		p.Close()
		f()
		must.NoError(t, <-e)
	})
	return &forward.Forward{
		Clock: c, Version: func() uint64 { return 0 }, Limit: 10, Open: p.Open,
		ReserveLink: func(string, int64) (func(int64), time.Duration, bool) { return func(int64) {}, 0, true },
		Targets:     func(*request.Request) []member.Member { return []member.Member{{PeerAddress: l.Addr().String()}} },
	}
}

func serve(t testing.TB, f *forward.Forward, nonIdempotent bool) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	o, _ := f.Serve(t.Context(), &request.Request{
		ID: "1", Method: "GET", Target: "/", Credential: credential.Credential{Hash: "k"}, Service: service.Service{Name: "s"},
		Deadline: time.Now().Add(time.Minute), NonIdempotent: nonIdempotent, //nolint:forbidigo // the test uses the real clock
	}, w)
	must.EqOp(t, outcome.Answered, o.Outcome)
	return w
}

// An answer from another failure domain arrives complete and unchanged, also on
// a connection that has carried an earlier request.
func TestWholeAnswer(t *testing.T) {
	f := newForwardPair(t)
	for range 3 {
		must.EqOp(t, string(page), serve(t, f, false).Body.String())
	}
}

// BenchmarkForward forwards non-idempotent requests, which use new connections,
// and idempotent ones, which reuse connections.
func BenchmarkForward(b *testing.B) {
	for _, n := range []bool{true, false} {
		b.Run(map[bool]string{true: "fresh", false: "kept"}[n], func(b *testing.B) {
			f := newForwardPair(b)
			for b.Loop() {
				serve(b, f, n)
			}
		})
	}
}
