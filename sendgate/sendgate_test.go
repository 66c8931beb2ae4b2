package sendgate_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"celeryreach.example/celeryreach/sendgate"
)

// A caller disconnects at the moment its request is sent. Send, Refuse and
// Unsend (the request is proven not to have run) are called in random order. A
// refused request must never be sent, and a sent request must never be reported
// as refused.
func TestSentAndRefusedAreExclusive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var g sendgate.Sendgate
		out, given := false, false
		for range 12 {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				if !out && g.Send() {
					must.False(t, given)
					out = true
				}
			case 1:
				if g.Refuse() {
					must.False(t, out)
					given = true
				}
			case 2:
				if out {
					out = false
					given = !g.Unsend()
				}
			}
		}
	})
}
