// Package slope fits a straight line through measurements, so that costs
// measured at sizes one machine can hold tell the cost at the target size.
package slope

// Slope is the line cost = Base + Each·n.
type Slope struct {
	// Base is the cost at size zero.
	Base float64
	// Each is the cost that one more unit of size adds.
	Each float64
	// Fit is the coefficient of determination: 1 for a perfect line. A low
	// value says that the cost is no line, and At must not be trusted.
	Fit float64
}

// New fits a line by least squares. It needs two different sizes or more.
func New(sizes, costs []float64) Slope {
	x, y := mean(sizes), mean(costs)
	var v, c, t float64
	for i := range sizes {
		v += (sizes[i] - x) * (sizes[i] - x)
		c += (sizes[i] - x) * (costs[i] - y)
		t += (costs[i] - y) * (costs[i] - y)
	}
	if v == 0 {
		return Slope{Base: y, Fit: 1}
	}
	s := Slope{Each: c / v}
	s.Base = y - s.Each*x
	s.Fit = 1
	if t > 0 {
		s.Fit = c * c / (v * t)
	}
	return s
}

// At returns the cost at size n, never below zero.
func (s Slope) At(n float64) float64 {
	return max(0, s.Base+s.Each*n)
}

func mean(v []float64) float64 {
	var t float64
	for _, x := range v {
		t += x
	}
	return t / float64(len(v))
}
