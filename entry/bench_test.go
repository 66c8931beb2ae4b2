package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sort"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"celeryreach.example/celeryreach/backend"
	"celeryreach.example/celeryreach/backendstandin"
)

func newTestHost(b *testing.B, servers int) *testHost {
	s := &testHost{clock: clockwork.NewRealClock(), maxWait: time.Minute, handlers: make(map[string]*backendstandin.Backendstandin), done: make(chan string, 100_000)}
	b.Cleanup(func() {
		for i := len(s.stop) - 1; i >= 0; i-- {
			s.stop[i]()
		}
	})
	for i := range servers {
		a, err := s.serve(&backendstandin.Backendstandin{Clock: s.clock, Name: "one", Slots: 1000})
		must.NoError(b, err)
		s.servers = append(s.servers, backend.Backend{Name: fmt.Sprint(i), Address: a})
	}
	a, err := s.serve(s.entry())
	must.NoError(b, err)
	s.address = a
	return s
}

// BenchmarkAddedLatency alternates between requests through the host and direct
// requests to the backend server, and reports the latency of both.
func BenchmarkAddedLatency(b *testing.B) {
	for _, m := range []string{http.MethodGet, http.MethodPost} {
		b.Run(m, func(b *testing.B) {
			s := newTestHost(b, 1)
			t := new(http.Transport)
			defer t.CloseIdleConnections()
			one := func(address string, n int) time.Duration {
				q, err := http.NewRequestWithContext(b.Context(), m, "http://"+address+"/listings/1", nil)
				must.NoError(b, err)
				q.Header.Set("X-Api-Key", "camp-key-1")
				if m == http.MethodPost {
					q.Header.Set("Idempotency-Key", fmt.Sprint(n))
				}
				c := s.clock.Now()
				p, err := t.RoundTrip(q)
				must.NoError(b, err)
				_, err = io.Copy(io.Discard, p.Body)
				must.NoError(b, err)
				p.Body.Close()
				return s.clock.Since(c)
			}
			var d, v []time.Duration
			for n := 0; b.Loop(); n++ {
				if n%1000 == 999 {
					<-s.clock.After(time.Second) // refills the account's burst
				}
				d = append(d, one(s.servers[0].Address, n))
				v = append(v, one(s.address, n))
				<-s.done
			}
			report(b, "direct", d)
			report(b, "through", v)
		})
	}
}

func report(b *testing.B, name string, d []time.Duration) {
	sort.Slice(d, func(i, j int) bool { return d[i] < d[j] })
	b.ReportMetric(float64(d[len(d)/2])/1e6, name+"-p50-ms")
	b.ReportMetric(float64(d[len(d)*99/100])/1e6, name+"-p99-ms")
}

// BenchmarkWaitingCallers measures the memory and goroutines that a caller
// waiting for a slot uses.
func BenchmarkWaitingCallers(b *testing.B) {
	const callers = 900
	for b.Loop() {
		s := newTestHost(b, 0)
		var f, g runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&f)
		r := runtime.NumGoroutine()
		c := make([]net.Conn, 0, callers)
		for range callers {
			n, err := net.Dial("tcp", s.address)
			must.NoError(b, err)
			_, err = io.WriteString(n, "GET /listings/1 HTTP/1.1\r\nHost: x\r\nX-Api-Key: camp-key-1\r\n\r\n")
			must.NoError(b, err)
			c = append(c, n)
		}
		for s.queue.Waiting() < callers {
			<-s.clock.After(time.Millisecond)
		}
		b.ReportMetric(float64(runtime.NumGoroutine()-r)/callers, "goroutines/caller")
		runtime.GC()
		runtime.ReadMemStats(&g)
		b.ReportMetric(float64(g.HeapInuse+g.StackInuse-f.HeapInuse-f.StackInuse)/callers, "bytes/caller")
		for _, n := range c {
			n.Close()
		}
	}
}

// BenchmarkEnrolments measures how much enrolments cost in the store, both with IDs
// chosen by callers and with tickets. The minimum interval between commits is the same
// as on a host.
func BenchmarkEnrolments(b *testing.B) {
	for _, m := range []string{"own", "ticket"} {
		b.Run(m, func(b *testing.B) {
			s := newTestHost(b, 1)
			s.commitBatch.MinInterval = 25 * time.Millisecond
			const callers = 64
			d := make(chan int, callers)
			t := s.clock.Now()
			for c := range callers {
				go func() {
					ok := 0
					for i := range b.N / callers {
						id := fmt.Sprintf("%d-%d-%d", b.N, c, i)
						if m == "ticket" {
							id = s.tickets.Issue("camp", 1)[0]
						}
						q, err := s.request(b.Context(), []string{"POST", "/e", "X-Api-Key: camp-key-1", "Idempotency-Key: " + id, "=x"})
						if err != nil {
							continue
						}
						if n, err := do(q); err == nil && n == http.StatusOK {
							ok++
						}
					}
					d <- ok
				}()
			}
			n := 0
			for range callers {
				n += <-d
			}
			_, w := s.store.Operations()
			b.ReportMetric(float64(n)/s.clock.Since(t).Seconds(), "enrolments/s")
			b.ReportMetric(float64(w)/s.clock.Since(t).Seconds(), "commits/s")
			b.ReportMetric(float64(n), "answered")
		})
	}
}

// BenchmarkThroughput compares requests through the host with direct ones, with
// as many callers as there are cores. The callers and the backend server share
// the cores with the host.
func BenchmarkThroughput(b *testing.B) {
	s := newTestHost(b, 1)
	for _, v := range []struct{ name, address string }{{"direct", s.servers[0].Address}, {"through", s.address}} {
		b.Run(v.name, func(b *testing.B) {
			c := s.clock.Now()
			b.RunParallel(func(p *testing.PB) {
				t := new(http.Transport)
				defer t.CloseIdleConnections()
				for p.Next() {
					q, err := http.NewRequestWithContext(b.Context(), http.MethodGet, "http://"+v.address+"/listings/1", nil)
					must.NoError(b, err)
					q.Header.Set("X-Api-Key", "camp-key-1")
					a, err := t.RoundTrip(q)
					must.NoError(b, err)
					_, err = io.Copy(io.Discard, a.Body)
					must.NoError(b, err)
					a.Body.Close()
				}
			})
			b.ReportMetric(float64(b.N)/s.clock.Since(c).Seconds()/float64(runtime.GOMAXPROCS(0)), "requests/s/core")
		})
	}
}
