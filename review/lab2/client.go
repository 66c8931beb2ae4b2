package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	callers   = 8
	callPause = 60 * time.Millisecond
)

// call sends requests that may run once on kept connections, until end. Answered is called with
// the status of each, zero if there is no answer.
func call(d *deployment, n int, end time.Time, answered func(id string, status int)) {
	t := &http.Transport{MaxIdleConnsPerHost: 2}
	for i := 0; time.Now().Before(end); i++ {
		id := fmt.Sprintf("%016x", rand.Uint64())
		q, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/pay/%d-%d", d.hosts[n%len(d.hosts)].front, n, i), strings.NewReader("deposit "+id))
		if err != nil {
			panic(err) // the address is valid
		}
		q.Host = hostName
		q.Header.Set("Request-Id", id)
		q.Header.Set("Deadline-Ms", "4000")
		q.Header.Set("Key", key)
		p, err := t.RoundTrip(q)
		s := 0 // no answer
		if err == nil {
			s = p.StatusCode
			_, _ = io.Copy(io.Discard, p.Body)
			p.Body.Close()
		}
		d.note("client: request %s: status %d, error %v", id, s, err)
		answered(id, s)
		time.Sleep(callPause)
	}
}
