package gate_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"celeryreach.example/celeryreach/gate"
)

// The caller's phone loses its connection in the moment in which the deposit
// leaves. Whatever the order of sending, giving up and proof of not run: what was
// given up does not leave any more, and what is out is not called given up.
func TestSentAndRefusedExclude(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var g gate.Gate
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
					given = !g.Return()
				}
			}
		}
	})
}
