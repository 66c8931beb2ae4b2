package linearfit_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"celeryreach.example/celeryreach/linearfit"
)

// A fit through points on a line must return that line.
func TestLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := rapid.Float64Range(0, 1e6).Draw(t, "base")
		e := rapid.Float64Range(0, 1e3).Draw(t, "each")
		x := []float64{10, 100, 1000}
		var y []float64
		for _, v := range x {
			y = append(y, b+e*v)
		}
		s := linearfit.New(x, y)
		must.InDelta(t, b+e*1e6, s.At(1e6), 1e-3*(b+e*1e6)+1e-3)
	})
}
