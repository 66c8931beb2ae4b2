package edge_test

import (
	"expvar"
	"regexp"
	"testing"
)

// The age of the store's last answer stands still, or is that of a host that has ended.
func TestMetrics(t *testing.T) { plays(t, "metrics") }

// metric returns the value of a metric unless it has the form.
func metric(name, form string) string {
	v := expvar.Get(name)
	if v == nil {
		return "there is no such metric"
	}
	if s := v.String(); !regexp.MustCompile("^(" + form + ")$").MatchString(s) {
		return s
	}
	return ""
}
