package gateway_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/memorybudget"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/request"
)

type readFunc func(p []byte) (int, error)

func (f readFunc) Read(p []byte) (int, error) { return f(p) }

// newAdmitting returns a host with a configuration, and with the tokens of its account.
func newAdmitting() *fixture {
	w := newFixture()
	w.configure(1, []string{"key"})
	w.clock.Advance(time.Minute)
	return w
}

func (w *fixture) post(key string, body io.Reader, length int64) outcome.Outcome {
	r := &request.Request{
		ID: "1", Host: "camps.example", Method: http.MethodPost, Target: "/listings/1", Header: make(http.Header),
		Body: body, Length: length, Deadline: w.clock.Now().Add(time.Minute),
	}
	return w.gateway.Serve(context.Background(), r, "/listings/1", key, httptest.NewRecorder())
}

// Guards against reading the body of a request that is refused for its route or key.
func TestBodyOfRefusedRequestIsNotRead(t *testing.T) {
	w := newAdmitting()
	must.EqOp(t, outcome.KeyUnknown, w.post("other", readFunc(func([]byte) (int, error) {
		t.Error("the body was read")
		return 0, io.EOF
	}), 10).Outcome)
}

// Guards against rate tokens that are lost with bodies that don't arrive.
func TestTokenOfMissingBodyIsGivenBack(t *testing.T) {
	w := newAdmitting()
	for range 200 { // twice the burst
		must.EqOp(t, outcome.Left, w.post("key", readFunc(func([]byte) (int, error) { return 0, errors.New("reset") }), 10).Outcome)
	}
	must.EqOp(t, outcome.Answered, w.post("key", strings.NewReader("body"), 4).Outcome)
}

// Guards against a request that is served by a configuration from before its body arrived.
func TestRequestIsAdmittedAgainAfterLateBody(t *testing.T) {
	w := newAdmitting()
	b := strings.NewReader("body")
	must.EqOp(t, outcome.KeyUnknown, w.post("key", readFunc(func(p []byte) (int, error) {
		w.clock.Advance(time.Second)
		w.configure(2, []string{"other"})
		return b.Read(p)
	}), 4).Outcome)
}

// Guards against bodies that occupy more memory than there is.
func TestBodiesBeyondMemoryAreRefused(t *testing.T) {
	w := newAdmitting()
	w.gateway.Memory = &memorybudget.Memorybudget{Clock: w.clock, Limit: 100_000}
	o := w.post("key", strings.NewReader(strings.Repeat("b", 200_000)), -1)
	must.EqOp(t, outcome.NoCapacity, o.Outcome)
	must.EqOp(t, outcome.RanNo, o.Ran)
	must.EqOp(t, time.Second, o.RetryAfter)
	must.EqOp(t, outcome.Answered, w.post("key", strings.NewReader(strings.Repeat("b", 50_000)), -1).Outcome)
	must.Zero(t, w.gateway.Memory.Used())
}
