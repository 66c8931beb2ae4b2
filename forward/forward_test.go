package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"celeryreach.example/celeryreach/attempted"
	"celeryreach.example/celeryreach/deadline"
	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/scripttest"
	"celeryreach.example/celeryreach/wire"
)

// harness is a Forward whose streams are answered by scripted hosts.
type harness struct {
	clock   *clockwork.FakeClock
	forward *Forward
	targets []member.Member
	scripts map[string][][]string
	full    string
	timeout time.Duration
	// attempts is the limit of each later request, and given what each stream got of it.
	attempts  int
	given     []string
	attempted attempted.Attempted
	used      int // by the last request, as Serve returned it
	mu        sync.Mutex
	log       []string
	bytes     int64
	ended     chan struct{}
	result    string
	cancel    context.CancelFunc
}

func newHarness() *harness {
	r := &harness{clock: clockwork.NewFakeClock(), scripts: map[string][][]string{}}
	r.forward = &Forward{
		Clock: r.clock, Region: "here", Version: func() uint64 { return 7 }, Limit: 2, Open: r.open,
		Targets: func(*request.Request) []member.Member { return r.targets },
		ReserveLink: func(region string, n int64) (func(int64), time.Duration, bool) {
			if region == r.full {
				return nil, 3 * time.Second, false
			}
			r.bytes += n
			return func(s int64) { r.bytes += s - n }, 0, true
		},
	}
	return r
}

func (r *harness) note(f string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log = append(r.log, fmt.Sprintf(f, a...))
}

func (r *harness) notes() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(r.log, " ")
}

func (r *harness) open(ctx context.Context, a string, fresh bool) (wire.DRPCPeer_ForwardClient, bool, func(bool), error) {
	if len(r.scripts[a]) == 0 {
		return nil, false, nil, errors.New("refused")
	}
	p := r.scripts[a][0]
	r.scripts[a] = r.scripts[a][1:]
	reused := p[0] == "reused"
	if reused {
		if fresh {
			return nil, false, nil, errors.New("a fresh connection was asked for")
		}
		p = p[1:]
	}
	s := &stream{harness: r, ctx: ctx, name: a, script: p, complete: make(chan struct{})}
	return s, reused, func(clean bool) {
		if !clean {
			r.note("%s:closed", a)
		}
	}, nil
}

// stream executes one word of its script for each frame that is read.
type stream struct {
	wire.DRPCPeer_ForwardClient
	harness  *harness
	ctx      context.Context
	name     string
	script   []string
	body     int
	complete chan struct{}
}

func (s *stream) Send(m *wire.Frame) error {
	switch v := m.Part.(type) {
	case *wire.Frame_Request:
		s.harness.note("%s:head", s.name)
		s.harness.given = append(s.harness.given, fmt.Sprintf("%s=%d%v", s.name, v.Request.Attempts, v.Request.AttemptedBackends))
	case *wire.Frame_Body:
		s.body += len(v.Body)
	case *wire.Frame_End:
		s.harness.note("%s:body=%d", s.name, s.body)
		close(s.complete)
	}
	return s.ctx.Err()
}

func (s *stream) Recv() (*wire.Frame, error) {
	if len(s.script) == 0 {
		return nil, io.EOF
	}
	w, arg, _ := strings.Cut(s.script[0], "=")
	s.script = s.script[1:]
	switch w {
	case "alive":
		return &wire.Frame{Part: &wire.Frame_Alive{Alive: true}}, nil
	case "wanted":
		return &wire.Frame{Part: &wire.Frame_BodyWanted{BodyWanted: true}}, nil
	case "whole": // waits until the complete body has been sent
		<-s.complete
		return s.Recv()
	case "refuse":
		// OUTCOME,RAN[,BACKEND...]: with "none" or names, the attempts are counted.
		o, rest, _ := strings.Cut(arg, ",")
		ran, names, counted := strings.Cut(rest, ",")
		f := &wire.Refusal{Outcome: o, Ran: ran, RetryAfterNanoseconds: int64(2 * time.Second)}
		if counted && names != "none" {
			f.AttemptedBackends = strings.Split(names, ",")
		}
		if counted {
			f.Attempts = proto.Int32(int32(len(f.AttemptedBackends)))
		}
		return &wire.Frame{Part: &wire.Frame_Refusal{Refusal: f}}, nil
	case "head":
		// STATUS[,LENGTH]
		v, l, stated := strings.Cut(arg, ",")
		n, _ := strconv.Atoi(v)
		f := &wire.Answer{Status: int32(n)}
		if stated {
			f.Headers = []*wire.Header{{Name: "Content-Length", Values: []string{l}}}
		}
		return &wire.Frame{Part: &wire.Frame_Answer{Answer: f}}, nil
	case "body":
		return &wire.Frame{Part: &wire.Frame_Body{Body: []byte(arg)}}, nil
	case "large":
		return &wire.Frame{Part: &wire.Frame_Body{Body: make([]byte, maxHeldAnswerBytes+1)}}, nil
	case "end":
		return &wire.Frame{Part: &wire.Frame_End{End: true}}, nil
	case "silent":
		<-s.ctx.Done()
		return nil, s.ctx.Err()
	default:
		return nil, errors.New("cut")
	}
}

// serve starts one request, which runs until the script ends it.
func (r *harness) serve(method string, size int) {
	x, f := context.WithCancel(context.Background())
	r.cancel = f
	if r.timeout > 0 {
		x, f = deadline.With(x, r.clock, r.timeout)
	}
	r.ended = make(chan struct{})
	q := &request.Request{ID: "1", Method: method, Target: "/", Deadline: r.clock.Now().Add(time.Minute), NonIdempotent: method == "POST", Attempts: r.attempts, AttemptedBackends: &r.attempted}
	if size > 0 {
		q.Body = strings.NewReader(strings.Repeat("x", size))
		q.Length = int64(size)
	}
	go func() {
		defer close(r.ended)
		defer f()
		w := httptest.NewRecorder()
		defer func() {
			if p := recover(); p != nil {
				r.result = fmt.Sprint("aborted after ", w.Code)
			}
		}()
		o, n := r.forward.Serve(x, q, w)
		r.used = n
		r.result = fmt.Sprintf("%s ran=%s", o.Outcome, o.Ran)
		if o.Outcome == outcome.Answered {
			r.result = fmt.Sprintf("%d %s", w.Code, w.Body.String()[:min(20, w.Body.Len())])
		} else if o.RetryAfter > 0 {
			r.result += " retry=" + o.RetryAfter.String()
		}
	}()
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			e.Values["rig"] = newHarness()
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			// target NAME REGION WORDS... adds a stream to a host that executes WORDS.
			"target": func(s *testscript.TestScript, _ bool, a []string) {
				r := get(s)
				if _, ok := r.scripts[a[0]]; !ok {
					r.targets = append(r.targets, member.Member{Name: a[0], PeerAddress: a[0], Region: a[1]})
				}
				r.scripts[a[0]] = append(r.scripts[a[0]], a[2:])
				if len(a) == 2 {
					r.scripts[a[0]] = [][]string{}
				}
			},
			// timeout limits the time of each later request.
			"timeout": func(s *testscript.TestScript, _ bool, a []string) {
				d, err := time.ParseDuration(a[0])
				s.Check(err)
				get(s).timeout = d
			},
			"linkfull": func(s *testscript.TestScript, _ bool, a []string) { get(s).full = a[0] },
			"serve": func(s *testscript.TestScript, _ bool, a []string) {
				n, err := strconv.Atoi(a[1])
				s.Check(err)
				get(s).serve(a[0], n)
			},
			// silence advances the clock until the request has ended.
			"silence": func(s *testscript.TestScript, _ bool, _ []string) { advanceUntil(get(s).clock, get(s).ended) },
			// pass advances the clock once, by less than a silence takes.
			"pass": func(s *testscript.TestScript, _ bool, a []string) {
				get(s).clock.Advance(scripttest.Scripttest{Script: s}.Duration(a[0]))
			},
			"leave": func(s *testscript.TestScript, _ bool, _ []string) {
				s.Check(get(s).clock.BlockUntilContext(context.Background(), 1))
				get(s).cancel()
			},
			// arrived waits until a note is recorded. The body is sent concurrently
			// with the wait for the answer, so the notes of both come in either order.
			"arrived": func(s *testscript.TestScript, _ bool, a []string) {
				for !strings.Contains(get(s).notes(), a[0]) {
					<-time.After(time.Millisecond) //nolint:forbidigo // gives other goroutines time to run
				}
			},
			"result": func(s *testscript.TestScript, _ bool, a []string) {
				<-get(s).ended
				must.EqOp(check(s), strings.Join(a, " "), get(s).result)
			},
			"sent": func(s *testscript.TestScript, _ bool, a []string) {
				must.EqOp(check(s), strings.Join(a, " "), get(s).notes())
			},
			"bytes": func(s *testscript.TestScript, _ bool, a []string) {
				must.EqOp(check(s), a[0], strconv.FormatInt(get(s).bytes, 10))
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

func get(s *testscript.TestScript) *harness { return s.Value("rig").(*harness) }

func check(s *testscript.TestScript) scripttest.Scripttest { return scripttest.Scripttest{Script: s} }
