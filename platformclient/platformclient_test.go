package platformclient_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/commit"
	"celeryreach.example/celeryreach/memorytable"
	"celeryreach.example/celeryreach/platformclient"
	"celeryreach.example/celeryreach/platformfaults"
	"celeryreach.example/celeryreach/platformstandin"
	"celeryreach.example/celeryreach/row"
	"celeryreach.example/celeryreach/store"
)

func serve(t *testing.T, h http.Handler) store.Store {
	t.Helper()
	s := httptest.NewServer(h)
	p := &platformclient.Platformclient{URL: s.URL, Timeout: 10 * time.Second}
	t.Cleanup(func() {
		p.Close()
		s.Close()
	})
	return p.Store()
}

func put(key, value string) commit.Commit {
	return commit.Commit{Put: []row.Row{{Key: key, Value: []byte(value)}}}
}

// TestCommitIsSentOnce guards against applying a commit twice. The platform
// closes a kept-alive connection after it has read a commit and before it
// answers. net/http retries a request on a kept-alive connection if it
// considers the request replayable.
func TestCommitIsSentOnce(t *testing.T) {
	var n atomic.Int64
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		must.NoError(t, err)
		if r.Method == http.MethodPost && n.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte("true")) // a failed write makes the test fail
	})}
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	d := make(chan struct{})
	go func() {
		defer close(d)
		_ = s.Serve(l) // always ErrServerClosed
	}()
	defer func() {
		must.NoError(t, s.Close())
		<-d
	}()
	p := &platformclient.Platformclient{URL: "http://" + l.Addr().String(), Timeout: 10 * time.Second}
	defer p.Close()
	f := p.Store()
	ok, err := f.Commit(context.Background(), put("a", "1"))
	must.NoError(t, err)
	must.True(t, ok)
	_, err = f.Commit(context.Background(), put("a", "2"))
	must.Error(t, err)
	must.Eq(t, 2, n.Load())
}

// TestLostCommits checks that a commit whose connection breaks returns an error
// whether or not it took effect; only the row shows which.
func TestLostCommits(t *testing.T) {
	s := &platformstandin.Platformstandin{Clock: clockwork.NewRealClock(), Table: new(memorytable.Memorytable)}
	f := serve(t, s)
	x := context.Background()
	s.SetFaults(platformfaults.Platformfaults{LoseCommits: 1})
	_, err := f.Commit(x, put("before", "1"))
	must.Error(t, err)
	r, err := f.Read(x, "before")
	must.NoError(t, err)
	must.Eq(t, 0, r.Version)
	s.SetFaults(platformfaults.Platformfaults{LoseAnswers: 1})
	_, err = f.Commit(x, put("after", "1"))
	must.Error(t, err)
	r, err = f.Read(x, "after")
	must.NoError(t, err)
	must.Eq(t, 1, r.Version)
	s.SetFaults(platformfaults.Platformfaults{Outage: true})
	_, err = f.Read(x, "after")
	must.Error(t, err)
}
