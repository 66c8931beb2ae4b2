package entry_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"celeryreach.example/celeryreach/commit"
	"celeryreach.example/celeryreach/memorytable"
	"celeryreach.example/celeryreach/row"
)

var errStoreDown = errors.New("the store is out")

func platformRead(t *memorytable.Memorytable, out *atomic.Bool) func(context.Context, string) (row.Row, error) {
	return func(_ context.Context, k string) (row.Row, error) {
		if out.Load() {
			return row.Row{}, errStoreDown
		}
		return t.Read(k), nil
	}
}

func platformCommit(t *memorytable.Memorytable, out *atomic.Bool) func(context.Context, commit.Commit) (bool, error) {
	return func(_ context.Context, c commit.Commit) (bool, error) {
		if out.Load() {
			return false, errStoreDown
		}
		return t.Commit(c), nil
	}
}

func setStore(t *testscript.TestScript, _ bool, a []string) {
	t.Value("site").(*testHost).storeDown.Store(a[0] == "out")
}

func commits(t *testscript.TestScript, _ bool, a []string) {
	s := t.Value("site").(*testHost)
	_, n := s.store.Operations()
	if fmt.Sprint(n) != a[0] {
		t.Fatalf("%d commits, not %s", n, a[0])
	}
}

func issueTicket(t *testscript.TestScript, _ bool, a []string) {
	t.Setenv(a[0], t.Value("site").(*testHost).tickets.Issue(a[1], 1)[0])
}

func enrol(t *testscript.TestScript, _ bool, a []string) {
	s := t.Value("site").(*testHost)
	var n, ok int
	_, err := fmt.Sscan(a[0], &n)
	t.Check(err)
	for i := range n {
		id := fmt.Sprintf("own-%d-%d", s.clock.Now().UnixNano(), i)
		if a[1] == "ticket" {
			id = s.tickets.Issue("camp", 1)[0]
		}
		q, err := s.request(context.Background(), []string{"POST", "/enrolments/1", "X-Api-Key: camp-key-1", "Idempotency-Key: " + id, "=child=1"})
		t.Check(err)
		c, err := do(q)
		t.Check(err)
		if c == 200 {
			ok++
		}
		<-s.clock.After(time.Millisecond)
	}
	fmt.Fprintf(t.Stdout(), "answered %d of %d\n", ok, n)
}
