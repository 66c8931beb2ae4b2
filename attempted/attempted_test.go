package attempted_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/attempted"
)

// Guards against a second attempt at a backend server that this host could not reach and
// another host has sent the request to, in whichever order this host learns of both.
func TestReceivedFromAnotherHost(t *testing.T) {
	for _, unsentFirst := range []bool{true, false} {
		a := new(attempted.Attempted)
		a.Add("b")
		if unsentFirst {
			a.AddUnsent("b")
			must.SliceEmpty(t, a.SentNames())
		}
		a.AddReceived("b")
		a.AddUnsent("b")
		must.False(t, a.IsUnsent("b"))
		must.Eq(t, []string{"b"}, a.SentNames())
		must.Eq(t, []string{"b"}, a.Received())
	}
}
