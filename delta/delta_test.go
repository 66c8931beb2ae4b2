package delta_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"celeryreach.example/celeryreach/delta"
)

// A host that applies a delta must end with exactly the bytes that were accepted. A
// delta that is truncated or belongs to another content must result in an error or
// in bytes with a different hash, never in a panic.
func TestDelta(t *testing.T) {
	g := rapid.SliceOfN(rapid.SampledFrom([]byte("ab}\n")), 0, 200)
	rapid.Check(t, func(t *rapid.T) {
		a := g.Draw(t, "a")
		b := g.Draw(t, "b")
		d := delta.Make(a, b)
		r, err := delta.Apply(a, d)
		must.NoError(t, err)
		must.EqOp(t, string(b), string(r))
		_, _ = delta.Apply(b, d[:rapid.IntRange(0, len(d)).Draw(t, "cut")])
		_, _ = delta.Apply(a, rapid.SliceOf(rapid.Byte()).Draw(t, "garbage"))
	})
}
