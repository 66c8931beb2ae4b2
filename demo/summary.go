package demo

import (
	"fmt"
	"sort"
	"strings"

	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/callersim"
	"celeryreach.example/celeryreach/outcome"
)

// printSummary prints the number of requests by outcome. Every sent request
// must be counted on exactly one line; the remainder is reported as lost.
func (d *Demo) printSummary(sent uint64, totals map[string]uint64) error {
	var answered, left, notRun, unknown uint64
	n := make([]string, 0, len(totals))
	for k, v := range totals {
		switch {
		case k == outcome.Answered:
			answered += v
			continue
		case k == outcome.Left:
			left += v
			continue
		case strings.HasPrefix(k, callersim.NotRunPrefix):
			notRun += v
		default:
			unknown += v
		}
		n = append(n, k)
	}
	sort.Strings(n)
	l := sent - answered - left - notRun - unknown
	fmt.Fprintln(d.Out, "summary:")
	fmt.Fprintf(d.Out, "  sent               %d\n", sent)
	fmt.Fprintf(d.Out, "  answered in full   %d\n", answered)
	fmt.Fprintf(d.Out, "  left               %d\n", left)
	fmt.Fprintf(d.Out, "  refused (not run)  %d\n", notRun)
	fmt.Fprintf(d.Out, "  unknown            %d\n", unknown)
	fmt.Fprintf(d.Out, "  lost               %d\n", l)
	for _, k := range n {
		fmt.Fprintf(d.Out, "    of these %s %d\n", k, totals[k])
	}
	if l != 0 {
		return errors.Errorf("%d requests have no outcome", l)
	}
	return nil
}
