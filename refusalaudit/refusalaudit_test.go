package refusalaudit_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"celeryreach.example/celeryreach/account"
	"celeryreach.example/celeryreach/refusalaudit"
	"celeryreach.example/celeryreach/secondcount"
)

// The result does not depend on how requests are distributed over hosts. The
// requests that one bucket would have admitted stay within rate and burst over
// every window, and no more refusals are wrongful than there were.
func TestWrongful(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := account.Account{Name: "a", Rate: float64(rapid.IntRange(1, 50).Draw(t, "rate")), Burst: float64(rapid.IntRange(1, 100).Draw(t, "burst"))}
		n := rapid.IntRange(1, 30).Draw(t, "seconds")
		var one, two []secondcount.Secondcount
		all := make([]secondcount.Secondcount, n)
		for i := range n {
			v := secondcount.Secondcount{
				Second: int64(i), Account: "a",
				Admitted: rapid.Uint64Range(0, 40).Draw(t, "admitted"), Refused: rapid.Uint64Range(0, 200).Draw(t, "refused"),
			}
			all[i] = v
			one = append(one, v)
			p := rapid.Uint64Range(0, v.Admitted).Draw(t, "part")
			q := rapid.Uint64Range(0, v.Refused).Draw(t, "part")
			two = append(two,
				secondcount.Secondcount{Second: v.Second, Account: "a", Admitted: v.Admitted - p, Refused: q},
				secondcount.Secondcount{Second: v.Second, Account: "other", Admitted: 7, Refused: 7},
				secondcount.Secondcount{Second: v.Second, Account: "a", Admitted: p, Refused: v.Refused - q})
		}
		w := refusalaudit.Wrongful(a, one)
		must.Eq(t, w, refusalaudit.Wrongful(a, two))
		for i := range n {
			var would uint64
			for j := i; j < n; j++ {
				must.LessEq(t, all[j].Refused, w[int64(j)])
				if w[int64(j)] > 0 {
					would += all[j].Admitted + w[int64(j)]
				}
				must.LessEq(t, a.Burst+a.Rate*float64(j-i+1), float64(would))
			}
		}
	})
}

// An account that offers five times its rate is rightly refused four of five
// requests once its burst is used up. If no request had been admitted, the same
// refusals would have been wrongful up to burst and rate.
func TestFiveTimesTheRate(t *testing.T) {
	a := account.Account{Name: "a", Rate: 10, Burst: 20}
	var fair, unfair []secondcount.Secondcount
	for i := range 100 {
		n := uint64(10)
		if i == 0 {
			n = 30
		}
		fair = append(fair, secondcount.Secondcount{Second: int64(i), Account: "a", Admitted: n, Refused: 50 - n})
		unfair = append(unfair, secondcount.Secondcount{Second: int64(i), Account: "a", Refused: 50})
	}
	must.MapEmpty(t, refusalaudit.Wrongful(a, fair))
	var s uint64
	for _, n := range refusalaudit.Wrongful(a, unfair) {
		s += n
	}
	must.Eq(t, 20+100*10, s)
}
