package backendlimit

import (
	"testing"

	"github.com/shoenig/test/must"
)

// An invalid header must neither set nor withdraw a limit.
func TestParse(t *testing.T) {
	for _, v := range []struct {
		values    []string
		perSecond float64
		ok        bool
	}{
		{nil, unlimited, true},
		{[]string{"4.5"}, 4.5, true},
		{[]string{" 12 "}, 12, true},
		{[]string{"0"}, 0, true},
		{[]string{"0.0"}, 0, true},
		{[]string{"1e2"}, 100, true},
		{[]string{""}, 0, false},
		{[]string{"-1"}, 0, false},
		{[]string{"NaN"}, 0, false},
		{[]string{"inf"}, 0, false},
		{[]string{"+Inf"}, 0, false},
		{[]string{"1e999"}, 0, false},
		{[]string{"0x10"}, 0, false},
		{[]string{"1_0"}, 0, false},
		{[]string{"5, 6"}, 0, false},
		{[]string{"5", "5"}, 0, false},
		{[]string{"many"}, 0, false},
	} {
		p, ok := parse(v.values)
		must.EqOp(t, v.ok, ok, must.Sprint(v.values))
		if ok {
			must.EqOp(t, v.perSecond, p, must.Sprint(v.values))
		}
	}
}
