package edge_test

import (
	"expvar"
	"regexp"
	"testing"
)

// Guards against a gauge of the store's age that stops growing, or that shows the age
// of a host that has ended.
func TestMetrics(t *testing.T) { runShifted(t, "metrics") }

// checkMetric returns the value of a metric if it does not match the regular expression
// form, and otherwise an empty string.
func checkMetric(name, form string) string {
	v := expvar.Get(name)
	if v == nil {
		return "no such metric"
	}
	if s := v.String(); !regexp.MustCompile("^(" + form + ")$").MatchString(s) {
		return s
	}
	return ""
}
