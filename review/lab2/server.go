package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// serveFunc treats one connection of a backend server until it ends.
type serveFunc func(s *server, c net.Conn, r *bufio.Reader)

// server is a stand-in of a backend server.
type server struct {
	id, zone, address string
	deployment        *deployment
	running           atomic.Int64
	sequence          atomic.Int64 // of its status reports
	draining, silent  atomic.Bool
}

func startServer(id, zone string, d *deployment, serve serveFunc) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, zone: zone, address: l.Addr().String(), deployment: d}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(s, c, bufio.NewReader(c))
			}()
		}
	}()
	return s, nil
}

// report is the backend server's next status report.
func (s *server) report() any {
	v := "ready"
	if s.draining.Load() {
		v = "draining"
	}
	return map[string]any{
		"service": "ledger", "address": s.address, "zone": s.zone, "version": "v1", "slots": 6, "state": v,
		"cold_remaining_s": 0, "seq": s.sequence.Add(1), "born": startedAt,
	}
}

// startedAt is when the backend servers started, in Unix milliseconds.
var startedAt = time.Now().UnixMilli()

// wrongInstance reports whether a request expects another instance.
func (s *server) wrongInstance(q *http.Request) bool {
	v := q.Header.Get("Expect-Instance")
	return v != "" && v != s.id
}

// answerHealth answers a health check, and reports whether the request is one.
func (s *server) answerHealth(c net.Conn, q *http.Request) bool {
	if q.URL.Path != "/health" {
		return false
	}
	v := http.StatusOK
	if s.draining.Load() {
		v = http.StatusServiceUnavailable
	}
	_, _ = io.WriteString(c, answer(v, map[string]string{
		"Instance-Id": s.id, "Server-Load": fmt.Sprintf("%d,0,6", s.running.Load()),
	}, ""))
	return true
}

// answer formats a whole answer with a length.
func answer(status int, header map[string]string, body string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	for k, v := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	b.WriteString("\r\n" + body)
	return b.String()
}

// result is the answer of a request that the backend server has run.
func (s *server) result(id, body string) string {
	return answer(http.StatusOK, map[string]string{
		"Request-Id": id, "Server-Stamp": s.id + "." + id, "Server-Load": fmt.Sprintf("%d,0,6", s.running.Load()),
	}, body)
}
