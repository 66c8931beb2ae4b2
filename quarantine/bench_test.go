package quarantine_test

import (
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/result"
	"celeryreach.example/celeryreach/wire"
)

// BenchmarkRequest measures an answered attempt of one of 4,096 requests.
func BenchmarkRequest(b *testing.B) {
	h := newHost(clockwork.NewFakeClock())
	var l []string
	for i := range 4096 {
		l = append(l, fmt.Sprintf("%016d", i))
	}
	for i := 0; b.Loop(); i++ {
		h.Allows(l[i%len(l)])
		h.run(l[i%len(l)], "c1", result.Succeeded)
	}
}

// BenchmarkReport measures the report of 32 requests under which three processes ended each, and
// its bytes.
func BenchmarkReport(b *testing.B) {
	h := newHost(clockwork.NewFakeClock())
	for i := range 32 * 3 {
		r := &request.Request{Fingerprint: fmt.Sprintf("%016d", i%32)}
		h.Start(r.Fingerprint)
		h.End(r, backend.Backend{Name: fmt.Sprintf("c%d", i), Started: 1}, h.clock.Now(), result.Failed)
	}
	var n int
	for b.Loop() {
		n = proto.Size(&wire.Heartbeat{SuspectRequests: h.Report(true)})
	}
	b.ReportMetric(float64(n), "B/heartbeat")
}
