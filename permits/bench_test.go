package permits

import (
	"fmt"
	"testing"

	"celeryreach.example/celeryreach/wire"
)

// BenchmarkGive measures the handling of one permit request by the host that grants it.
func BenchmarkGive(b *testing.B) {
	f := newFleet(82, 3, 9.8)
	q := &wire.PermitRequest{Backend: "c1", Service: "listings", Domain: "domain-0", Region: "region-0"}
	for b.Loop() {
		f.hosts[0].HandleRequest(q)
	}
}

// BenchmarkAllocate measures the allocation for one backend server, which each host
// computes twice per second while it sends requests there.
func BenchmarkAllocate(b *testing.B) {
	for _, n := range []int{11, 82, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFleet(n, 3, 9.8)
			q := &wire.PermitRequest{Backend: "c1", Service: "listings", Domain: "domain-0", Region: "region-0"}
			for b.Loop() {
				f.hosts[0].allocations = nil
				f.hosts[0].HandleRequest(q)
			}
		})
	}
}
