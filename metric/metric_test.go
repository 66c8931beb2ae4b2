package metric_test

import (
	"expvar"
	"testing"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/metric"
)

// Guards against a metric that keeps showing the value of the first host after a second
// host in the same process has published it.
func TestFollow(t *testing.T) {
	n := 1
	m := metric.Metric{Name: t.Name()}
	m.SetFunc(func() any { return n })
	must.EqOp(t, "1", expvar.Get(t.Name()).String())
	n = 2
	must.EqOp(t, "2", expvar.Get(t.Name()).String())
	m.SetFunc(func() any { return nil })
	must.EqOp(t, "null", expvar.Get(t.Name()).String())
}
