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

func newSite(b *testing.B, servers int) *site {
	s := &site{clock: clockwork.NewRealClock(), patience: time.Minute, handlers: make(map[string]*backendstandin.Backendstandin), done: make(chan string, 100_000)}
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

// BenchmarkAddedLatency compares a call through the entry host with a direct
// call of the backend server, in turn and in one run.
func BenchmarkAddedLatency(b *testing.B) {
	for _, m := range []string{http.MethodGet, http.MethodPost} {
		b.Run(m, func(b *testing.B) {
			s := newSite(b, 1)
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
					<-s.clock.After(time.Second) // the account's burst
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

// BenchmarkWaitingCallers measures what a caller costs that waits for a slot.
func BenchmarkWaitingCallers(b *testing.B) {
	const callers = 900
	for b.Loop() {
		s := newSite(b, 0)
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

// BenchmarkEnrolments measures the store's part of enrolments with ids of the
// callers' own, and with tickets. The gap is that of a host.
func BenchmarkEnrolments(b *testing.B) {
	for _, m := range []string{"own", "ticket"} {
		b.Run(m, func(b *testing.B) {
			s := newSite(b, 1)
			s.group.Gap = 25 * time.Millisecond
			const callers = 64
			d := make(chan int, callers)
			t := s.clock.Now()
			for c := range callers {
				go func() {
					ok := 0
					for i := range b.N / callers {
						id := fmt.Sprintf("%d-%d-%d", b.N, c, i)
						if m == "ticket" {
							id = s.tickets.Mint("camp", 1)[0]
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
