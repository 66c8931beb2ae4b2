package entry_test

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/request"
)

const fuzzKey = "camp-key-1"

// FuzzRequest sends arbitrary requests that net/http accepts. A request that is
// passed on must not contain the key in its target or header, nor any
// hop-by-hop field, and a refused request must not be passed on.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("GET /listings/1?a=b HTTP/1.1\r\nHost: x\r\nX-Api-Key: camp-key-1\r\nConnection: X-Hop\r\nX-Hop: 1\r\n\r\n"))
	s := &testHost{clock: clockwork.NewRealClock(), maxWait: time.Second, done: make(chan string, 1)}
	e := s.entry()
	f.Cleanup(func() {
		for _, p := range s.stop {
			p()
		}
	})
	f.Fuzz(func(t *testing.T, b []byte) {
		q, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(b)))
		if err != nil {
			return
		}
		n := 0
		e.ServeLocally = func(_ context.Context, r *request.Request, w http.ResponseWriter) outcome.Outcome {
			n++
			check(t, r)
			w.WriteHeader(http.StatusOK)
			return outcome.Outcome{Outcome: outcome.Answered, Ran: outcome.RanYes}
		}
		w := httptest.NewRecorder()
		func() {
			defer func() {
				if p := recover(); p != nil && p != http.ErrAbortHandler { //nolint:errorlint // a panic value
					panic(p)
				}
			}()
			e.ServeHTTP(w, q)
		}()
		o := <-s.done
		if o != outcome.Answered && n > 0 {
			t.Fatalf("%s, and the request left %d times", o, n)
		}
	})
}

func check(t *testing.T, r *request.Request) {
	v := []string{r.Target}
	for _, h := range r.Header {
		v = append(v, h...)
	}
	for _, x := range v {
		u, err := url.PathUnescape(x)
		if strings.Contains(x, fuzzKey) || err == nil && strings.Contains(u, fuzzKey) {
			t.Fatalf("the key leaves the host: %q", x)
		}
	}
	for _, h := range []string{"Authorization", "X-Api-Key", "Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Authorization"} {
		if len(r.Header[h]) > 0 {
			t.Fatalf("%s leaves the host", h)
		}
	}
}
