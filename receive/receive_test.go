package receive

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/credential"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/scripttest"
	"celeryreach.example/celeryreach/service"
	"celeryreach.example/celeryreach/snapshot"
	"celeryreach.example/celeryreach/wire"
)

// harness is a Receive with a stream whose frames the script sends.
type harness struct {
	clock   *clockwork.FakeClock
	receive *Receive
	serve   string
	admit   string
	in      chan *wire.Frame
	mu      sync.Mutex
	out     []string
	ended   chan struct{}
	err     error
	refusal *wire.Refusal // nil if there was none
}

func newHarness() *harness {
	r := &harness{clock: clockwork.NewFakeClock(), in: make(chan *wire.Frame), ended: make(chan struct{})}
	c := &config.Config{Version: 5, Services: []service.Service{{Name: "s"}}, Keys: []credential.Credential{{Hash: "k", Account: "a"}}}
	s := snapshot.New(c, "")
	r.receive = &Receive{Clock: r.clock, Snapshot: func() *snapshot.Snapshot { return s }, Serve: r.run, Admit: r.admitRequest}
	return r
}

func (r *harness) note(f string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out = append(r.out, fmt.Sprintf(f, a...))
}

func (r *harness) admitRequest(_ *request.Request, region string) (func(outcome.Outcome, int64), outcome.Outcome) {
	if r.admit != "" {
		return nil, outcome.Outcome{Outcome: r.admit, Ran: outcome.RanNo}
	}
	return func(_ outcome.Outcome, n int64) { r.note("ended:%s,%d", region, n) }, outcome.Outcome{}
}

// run is the request handler. The serve field selects what it does.
func (r *harness) run(ctx context.Context, q *request.Request, w http.ResponseWriter) outcome.Outcome {
	a := outcome.Outcome{Outcome: outcome.Answered, Ran: outcome.RanYes}
	switch r.serve {
	case "refuse":
		return outcome.Outcome{Outcome: outcome.NoCapacity, Ran: outcome.RanNo}
	case "wait":
		<-ctx.Done()
		return outcome.Outcome{Outcome: outcome.Left, Ran: outcome.RanUnknown}
	case "abort":
		_, _ = w.Write([]byte("half"))
		panic(http.ErrAbortHandler)
	case "read":
		b, err := io.ReadAll(q.Body)
		w.Header().Set("Content-Length", "1")
		w.WriteHeader(http.StatusCreated)
		_, _ = fmt.Fprint(w, len(b), " ", err)
		return a
	default:
		w.WriteHeader(http.StatusNoContent)
		return a
	}
}

type stream struct {
	wire.DRPCPeer_ForwardStream
	harness       *harness
	ctx           context.Context
	keepaliveSeen atomic.Bool
}

func (s *stream) Context() context.Context { return s.ctx }

func (s *stream) Recv() (*wire.Frame, error) {
	select {
	case m, ok := <-s.harness.in:
		if !ok {
			return nil, io.EOF
		}
		return m, nil
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	}
}

func (s *stream) Send(m *wire.Frame) error {
	switch v := m.Part.(type) {
	case *wire.Frame_Alive:
		// Only the first keepalive is recorded, because the number of further
		// ones depends on how long the request takes.
		if s.keepaliveSeen.CompareAndSwap(false, true) {
			s.harness.note("alive")
		}
	case *wire.Frame_BodyWanted:
		s.harness.note("wanted")
	case *wire.Frame_Answer:
		s.harness.note("head=%d", v.Answer.Status)
	case *wire.Frame_Body:
		s.harness.note("body=%s", v.Body)
	case *wire.Frame_End:
		s.harness.note("end")
	case *wire.Frame_Refusal:
		s.harness.refusal = v.Refusal
		s.harness.note("refuse=%s,%s", v.Refusal.Outcome, v.Refusal.Ran)
	}
	return nil
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			r := newHarness()
			e.Values["rig"] = r
			x, f := context.WithCancel(context.Background())
			go func() {
				r.err = r.receive.Stream(&stream{harness: r, ctx: x})
				f()
				close(r.ended)
			}()
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"handler": func(s *testscript.TestScript, _ bool, a []string) { get(s).serve = a[0] },
			"admit":   func(s *testscript.TestScript, _ bool, a []string) { get(s).admit = a[0] },
			// request METHOD KEY VERSION SERVICE body|none sends the request frame.
			"request": func(s *testscript.TestScript, _ bool, a []string) {
				v, err := strconv.ParseUint(a[2], 10, 64)
				s.Check(err)
				sendFrame(s, &wire.Frame{Part: &wire.Frame_Request{Request: &wire.Request{
					Method: a[0], KeyId: a[1], ConfigVersion: v, Service: a[3], HasBody: a[4] == "body",
					FromRegion: "lagos", TimeoutNanoseconds: int64(time.Minute),
				}}})
			},
			"body": func(s *testscript.TestScript, _ bool, a []string) {
				sendFrame(s, &wire.Frame{Part: &wire.Frame_Body{Body: []byte(a[0])}})
			},
			"end": func(s *testscript.TestScript, _ bool, _ []string) {
				sendFrame(s, &wire.Frame{Part: &wire.Frame_End{End: true}})
			},
			"alive": func(s *testscript.TestScript, _ bool, _ []string) {
				sendFrame(s, &wire.Frame{Part: &wire.Frame_Alive{Alive: true}})
			},
			"hangup": func(s *testscript.TestScript, _ bool, _ []string) { close(get(s).in) },
			// silence advances the clock until the stream has ended.
			"silence": func(s *testscript.TestScript, _ bool, _ []string) { advanceUntil(get(s).clock, get(s).ended) },
			"frames": func(s *testscript.TestScript, _ bool, a []string) {
				<-get(s).ended
				r := get(s)
				if r.err != nil {
					r.note("broken")
				}
				must.EqOp(check(s), strings.Join(a, " "), strings.Join(r.out, " "))
			},
		},
	})
}

// advanceUntil advances the clock in steps of a second until ended is closed.
// The number of steps depends on when the goroutines start to wait; the test of
// package keepalive checks the exact times.
func advanceUntil(c *clockwork.FakeClock, ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(time.Millisecond): //nolint:forbidigo // gives other goroutines time to run
			c.Advance(time.Second)
		}
	}
}

// sendFrame sends a frame unless the stream has ended.
func sendFrame(s *testscript.TestScript, m *wire.Frame) {
	select {
	case get(s).in <- m:
	case <-get(s).ended:
	}
}

func get(s *testscript.TestScript) *harness { return s.Value("rig").(*harness) }

func check(s *testscript.TestScript) scripttest.Scripttest { return scripttest.Scripttest{Script: s} }
