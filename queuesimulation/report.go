package queuesimulation

import (
	"fmt"
	"slices"
	"time"
)

// accountStats are the results of the callers of one account.
type accountStats struct {
	offered  int
	answered int
	refused  int
	left     int
	wasted   int
	// answerable counts the callers that an empty system would have answered.
	answerable int
	waits      []time.Duration
	refusals   []time.Duration
}

func (c *Queuesimulation) report() []string {
	t := make([]accountStats, accounts)
	for _, v := range c.callers {
		t[v.account].add(v)
	}
	d := maxMinShares(t, slots*c.Duration.Seconds()/meanHold.Seconds())
	r := []string{"account offered answered of-due refused left wasted wait-p50 wait-p99 refusal-p50 refusal-p99"}
	w := 1.0
	s := accountStats{}
	for i, v := range t {
		f := float64(v.answered) / d[i]
		w = min(w, f)
		n := "small-" + accountName(i)
		if i == 0 {
			n = "large"
		}
		r = append(r, v.format(n, f))
		s.merge(v)
	}
	r = append(r, s.format("all", float64(s.answered)/sum(d)))
	return append(r, fmt.Sprintf("worst-served share of its max-min due: %.3f", w))
}

func (t *accountStats) add(v *caller) {
	t.offered++
	if v.leavesAt == 0 || v.leavesAt > v.arrivesAt+v.hold {
		t.answerable++
	}
	switch v.state {
	case answered:
		t.answered++
		t.waits = append(t.waits, v.grantedAt-v.arrivesAt)
	case refused:
		t.refused++
		t.refusals = append(t.refusals, v.refusedAt-v.arrivesAt)
	case left:
		t.left++
	case wasted:
		t.wasted++
	}
}

func (t *accountStats) merge(v accountStats) {
	t.offered += v.offered
	t.answered += v.answered
	t.refused += v.refused
	t.left += v.left
	t.wasted += v.wasted
	t.waits = append(t.waits, v.waits...)
	t.refusals = append(t.refusals, v.refusals...)
}

func (t *accountStats) format(name string, f float64) string {
	return fmt.Sprintf("%s %d %d %.3f %d %d %d %s %s %s %s", name, t.offered, t.answered, f, t.refused, t.left, t.wasted,
		quantile(t.waits, 0.5), quantile(t.waits, 0.99), quantile(t.refusals, 0.5), quantile(t.refusals, 0.99))
}

// maxMinShares divides the number of answers that the slots can give among the
// accounts by max-min fairness. No account receives more answers than it has
// answerable callers.
func maxMinShares(t []accountStats, capacity float64) []float64 {
	r := make([]float64, len(t))
	var open []int
	for i := range t {
		open = append(open, i)
	}
	slices.SortFunc(open, func(i, j int) int { return t[i].answerable - t[j].answerable })
	for n, i := range open {
		r[i] = min(float64(t[i].answerable), capacity/float64(len(open)-n))
		capacity -= r[i]
	}
	return r
}

func sum(s []float64) float64 {
	r := 0.0
	for _, v := range s {
		r += v
	}
	return r
}

func quantile(s []time.Duration, q float64) time.Duration {
	if len(s) == 0 {
		return 0
	}
	s = slices.Sorted(slices.Values(s))
	return s[int(q*float64(len(s)-1))].Round(100 * time.Microsecond)
}
