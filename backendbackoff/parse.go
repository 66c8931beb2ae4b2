package backendbackoff

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// parse reads a time in seconds, or an HTTP date relative to date, or to now if date is
// not valid. It returns false if there is no such time or several different ones.
func parse(values []string, date string, now time.Time) (time.Duration, bool) {
	s := strings.TrimSpace(values[0])
	for _, v := range values[1:] {
		if strings.TrimSpace(v) != s {
			return 0, false
		}
	}
	if t, err := http.ParseTime(s); err == nil {
		n, err := http.ParseTime(date)
		if err != nil {
			n = now
		}
		return max(t.Sub(n), 0), true
	}
	return parseSeconds(s)
}

// parseSeconds reads a finite number of seconds of at least zero. Numbers that exceed
// maxBackoff are reduced to it.
func parseSeconds(s string) (time.Duration, bool) {
	if strings.ContainsAny(s, "xX_") { // ParseFloat also reads hexadecimal numbers and underscores
		return 0, false
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || !(v >= 0 && v < math.Inf(1)) {
		return 0, false
	}
	return time.Duration(math.Round(min(v, maxBackoff.Seconds()) * float64(time.Second))), true
}
