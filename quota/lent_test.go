package quota_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/grant"
	"celeryreach.example/celeryreach/quota"
)

// Lent includes a loan until its deadline has passed, including the margin for
// clocks of different speed.
func TestLent(t *testing.T) {
	c := clockwork.NewFakeClock()
	q := &quota.Quota{
		Clock:   c,
		Account: func(string) (account.Account, bool) { return account.Account{Name: "a", Rate: 10, Burst: 20}, true },
		Grant: func(string) grant.Grant {
			return grant.Grant{Floor: 1, FloorSince: c.Now(), FloorUntil: c.Now().Add(time.Hour), FirstUse: true}
		},
	}
	must.Eq(t, 0, q.Lent("a"))
	n, _ := q.Lend("a", 5, time.Second)
	must.Positive(t, n)
	must.Eq(t, n, q.Lent("a"))
	c.Advance(time.Second)
	must.Eq(t, n, q.Lent("a"))
	c.Advance(time.Second)
	must.Eq(t, 0, q.Lent("a"))
}
