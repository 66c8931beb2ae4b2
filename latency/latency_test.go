package latency_test

import (
	"fmt"
	"testing"

	"celeryreach.example/celeryreach/latency"
)

// Hosts that start at the same time in one process, as in scripts and in the demo, all
// publish their latencies. The process must not crash: expvar panics when a name is
// published twice, and another host may publish it between the check and the publication.
func TestConcurrentPublish(t *testing.T) {
	const hosts = 16
	for i := range 200 {
		s := make(chan struct{})
		d := make(chan struct{}, hosts)
		n := fmt.Sprint(t.Name(), i)
		for range hosts {
			go func() {
				<-s
				(&latency.Latency{Name: n}).Publish()
				d <- struct{}{}
			}()
		}
		close(s)
		for range hosts {
			<-d
		}
	}
}
