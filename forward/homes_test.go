package forward

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/request"
)

// Guards against a long body that is sent to a host that may no longer be sent the request
// by the time at which it asks for the body.
func TestLongBodyIsHeldBack(t *testing.T) {
	r := newHarness()
	var mu sync.Mutex
	n := 0
	r.forward.MaySend = func(*request.Request, member.Member) bool {
		mu.Lock()
		defer mu.Unlock()
		n++
		return n <= 2 // before and after the stream is opened
	}
	r.targets = []member.Member{{Name: "a", PeerAddress: "a", Region: "lagos"}}
	r.scripts["a"] = [][]string{{"alive", "wanted", "silent"}}
	r.timeout = 5 * time.Second
	r.serve("POST", 100000)
	advanceUntil(r.clock, r.ended)
	must.False(t, slices.Contains(strings.Fields(r.notes()), "a:body=100000"), must.Sprint(r.notes()))
}

// Guards against hosts that were held back when their streams were open counting as tried.
func TestHostsHeldBackAfterOpenAreNotCounted(t *testing.T) {
	r := newHarness()
	for i := range 4 {
		a := fmt.Sprint("h", i)
		r.targets = append(r.targets, member.Member{Name: a, PeerAddress: a, Region: "lagos"})
		r.scripts[a] = [][]string{{"alive", "head=200", "body=ok", "end"}}
	}
	n := make(map[string]int)
	r.forward.MaySend = func(_ *request.Request, m member.Member) bool {
		n[m.Name]++
		return n[m.Name] == 1 || m.Name == "h3"
	}
	r.serve("GET", 0)
	<-r.ended
	must.EqOp(t, "200 ok", r.result)
}

// Guards against hosts that were held back, and sent nothing, counting as tried: the next
// one that may be sent the request is not asked.
func TestHostsHeldBackAreNotCounted(t *testing.T) {
	r := newHarness()
	for i := range 4 {
		a, g := fmt.Sprint("h", i), "lagos"
		if i == 3 {
			g = "abuja"
		}
		r.targets = append(r.targets, member.Member{Name: a, PeerAddress: a, Region: g})
		r.scripts[a] = [][]string{{"alive", "head=200", "body=ok", "end"}}
	}
	r.forward.MaySend = func(_ *request.Request, m member.Member) bool { return m.Region == "abuja" }
	r.serve("GET", 0)
	<-r.ended
	must.EqOp(t, "200 ok", r.result)
}
