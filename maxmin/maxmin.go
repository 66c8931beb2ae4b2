// Package maxmin implements max-min fair allocation: no demand gets more than it needs
// while another that gets less could get more.
package maxmin

import "sort"

// Divide returns how much of total each demand gets.
func Divide(total float64, needs []float64) []float64 {
	o := make([]int, len(needs))
	for i := range o {
		o[i] = i
	}
	sort.SliceStable(o, func(i, j int) bool { return needs[o[i]] < needs[o[j]] })
	r := make([]float64, len(needs))
	for i, v := range o {
		r[v] = min(needs[v], total/float64(len(o)-i))
		total -= r[v]
	}
	return r
}
