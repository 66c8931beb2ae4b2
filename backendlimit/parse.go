package backendlimit

import (
	"math"
	"strconv"
	"strings"
)

// none is the limit of a backend server that names none.
var none = math.Inf(1)

// parse reads a limit: none if there is no value. It reports false if what is there
// is no finite number of at least zero.
func parse(values []string) (perSecond float64, ok bool) {
	if len(values) == 0 {
		return none, true
	}
	if len(values) > 1 || strings.ContainsAny(values[0], "xX_") {
		return 0, false
	}
	v, err := strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
	return v, err == nil && valid(v)
}

// valid reports whether a number can be a limit.
func valid(perSecond float64) bool {
	return perSecond >= 0 && perSecond < none
}
