package latency_test

import (
	"fmt"
	"testing"

	"celeryreach.example/celeryreach/latency"
)

// Two hosts start in one process at the same moment, as in scripts and in the demo,
// and both publish their latencies. The process must not end: expvar panics when a
// name is published twice, and between a look and a publication another host may
// have come.
func TestHostsThatStartTogether(t *testing.T) {
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
