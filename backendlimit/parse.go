package backendlimit

import (
	"math"
	"strconv"
	"strings"
)

// unlimited is the limit of a backend server that advertises none.
var unlimited = math.Inf(1)

// parse reads a limit: unlimited if there is no value. It returns false if the value is
// not a finite number of at least zero.
func parse(values []string) (perSecond float64, ok bool) {
	if len(values) == 0 {
		return unlimited, true
	}
	if len(values) > 1 || strings.ContainsAny(values[0], "xX_") {
		return 0, false
	}
	v, err := strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
	return v, err == nil && validRate(v)
}

// validRate reports whether a number can be a limit.
func validRate(perSecond float64) bool {
	return perSecond >= 0 && perSecond < unlimited
}
