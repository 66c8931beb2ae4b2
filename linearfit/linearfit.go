// Package linearfit fits a straight line through measured costs. It serves to
// extrapolate from sizes that fit on one machine to the target size.
package linearfit

// Linearfit is the line cost = Intercept + Slope·n, where n is the size.
type Linearfit struct {
	// Intercept is the cost at size zero.
	Intercept float64
	// Slope is the gradient, the cost per unit of size.
	Slope float64
	// RSquared is the coefficient of determination, 1 for a perfect fit. A low value
	// means that the cost is not linear in the size and that At is unreliable.
	RSquared float64
}

// New fits a line by least squares. If all sizes are equal, no slope can be computed
// and the line is constant at the mean cost.
func New(sizes, costs []float64) Linearfit {
	x, y := mean(sizes), mean(costs)
	var v, c, t float64
	for i := range sizes {
		v += (sizes[i] - x) * (sizes[i] - x)
		c += (sizes[i] - x) * (costs[i] - y)
		t += (costs[i] - y) * (costs[i] - y)
	}
	if v == 0 {
		return Linearfit{Intercept: y, RSquared: 1}
	}
	s := Linearfit{Slope: c / v}
	s.Intercept = y - s.Slope*x
	s.RSquared = 1
	if t > 0 {
		s.RSquared = c * c / (v * t)
	}
	return s
}

// At returns the estimated cost at size n, at least zero.
func (s Linearfit) At(n float64) float64 {
	return max(0, s.Intercept+s.Slope*n)
}

func mean(v []float64) float64 {
	var t float64
	for _, x := range v {
		t += x
	}
	return t / float64(len(v))
}
