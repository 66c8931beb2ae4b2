package placementplot_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/placementplot"
	"celeryreach.example/celeryreach/placementsimulation"
)

func TestWritesPlotForEachScenario(t *testing.T) {
	p := placementplot.New()
	for _, x := range []string{placementsimulation.Calm, placementsimulation.Lost} {
		for _, w := range []string{placementsimulation.Random, placementsimulation.Current} {
			v := &placementsimulation.Placementsimulation{Seed: 1, Duration: 6 * time.Second, Policy: w, Fault: x}
			v.Run()
			p.Add(v)
		}
	}
	var b bytes.Buffer
	must.NoError(t, p.Write(&b))
	must.EqOp(t, 2, strings.Count(b.String(), "<svg"))
	for _, w := range []string{"calm", "lost", "random", "product"} {
		must.StrContains(t, b.String(), w)
	}
}
