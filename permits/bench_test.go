package permits

import (
	"fmt"
	"testing"

	"celeryreach.example/celeryreach/wire"
)

// BenchmarkGive is the cost of a question at the host that answers it.
func BenchmarkGive(b *testing.B) {
	f := newFleet(82, 3, 9.8)
	q := &wire.PermitRequest{Backend: "c1", Service: "listings", Domain: "domain-0", Region: "region-0"}
	for b.Loop() {
		f.hosts[0].Give(q)
	}
}

// BenchmarkDivide is the cost of the division of one backend server's bound, which each
// host finds twice a second while it sends there.
func BenchmarkDivide(b *testing.B) {
	for _, n := range []int{11, 82, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFleet(n, 3, 9.8)
			q := &wire.PermitRequest{Backend: "c1", Service: "listings", Domain: "domain-0", Region: "region-0"}
			for b.Loop() {
				f.hosts[0].divisions = nil
				f.hosts[0].Give(q)
			}
		})
	}
}
