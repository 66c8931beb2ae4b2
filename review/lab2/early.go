package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Of a long body, pieceBytes are sent each pieceDelay. A backend server that answers early has read
// earlyBytes, and reads on after laterDelay.
const (
	longBytes  = 512 << 10
	pieceBytes = 8 << 10
	pieceDelay = 2 * time.Millisecond
	earlyBytes = 320 << 10
	laterDelay = 100 * time.Millisecond
	// answerBytes is the length of an answer.
	answerBytes = 1536 << 10
	// uploadWorkers send one body after the other for uploadTime.
	uploadTime    = 45 * time.Second
	uploadWorkers = 8
)

// longBody returns a body in which each word tells its place.
func longBody(seed uint32) []byte {
	b := make([]byte, longBytes)
	for i := 0; i < len(b); i += 8 {
		binary.BigEndian.PutUint32(b[i:], seed)
		binary.BigEndian.PutUint32(b[i+4:], uint32(i))
	}
	return b
}

// early is the case of backend servers that answer before they have read a long body.
type early struct {
	trouble bool
	broken  atomic.Int64 // bodies that went on with other bytes
	bodies  sync.Map     // by request id
	whole   atomic.Int64
	cut     atomic.Int64
	answers atomic.Int64
	early   atomic.Int64 // answers before the whole body was read
	sent    atomic.Int64
}

func (e *early) serve(s *server, c net.Conn, r *bufio.Reader) {
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if s.answerHealth(c, q) {
			continue
		}
		id := q.Header.Get("Request-Id")
		if s.wrongInstance(q) {
			_, _ = io.Copy(io.Discard, q.Body)
			_, _ = io.WriteString(c, answer(http.StatusMisdirectedRequest, map[string]string{"Request-Id": id, "Instance-Id": s.id}, ""))
			continue
		}
		v, ok := e.bodies.Load(id)
		if !ok {
			e.broken.Add(1)
			s.deployment.note("server %s: request %q was sent by no client", s.id, id)
			return
		}
		s.running.Add(1)
		ok = e.run(s, c, q, id, v.([]byte))
		s.running.Add(-1)
		if !ok {
			return
		}
	}
}

// run reads a body, answers, and compares the body with the one that the client sends. It returns
// false if the connection has ended.
func (e *early) run(s *server, c net.Conn, q *http.Request, id string, due []byte) bool {
	got := make([]byte, 0, len(due))
	b := make([]byte, 4<<10)
	answered, early := false, e.trouble && s.isFaulty()
	for {
		n, err := q.Body.Read(b)
		got = append(got, b[:n]...)
		if early && !answered && len(got) >= earlyBytes {
			answered = true
			e.early.Add(1)
			if _, err := io.WriteString(c, s.result(id, string(make([]byte, answerBytes)))); err != nil {
				return false
			}
			s.deployment.note("server %s: request %s answered after %d bytes of the body, reads on later", s.id, id, len(got))
			time.Sleep(laterDelay)
		}
		if err == nil {
			continue
		}
		e.compare(s, id, got, due, err)
		if err != io.EOF {
			return false
		}
		if !answered {
			_, err := io.WriteString(c, s.result(id, string(make([]byte, answerBytes))))
			return err == nil
		}
		return true
	}
}

// compare judges the body that a backend server has read until err.
func (e *early) compare(s *server, id string, got, due []byte, err error) {
	for i := range got {
		if i >= len(due) || got[i] != due[i] {
			e.broken.Add(1)
			o := i / 8 * 8
			w := "none"
			if o+8 <= len(got) {
				w = fmt.Sprint(binary.BigEndian.Uint32(got[o+4:]))
			}
			s.deployment.note("server %s: request %s BROKEN: where byte %d of the body is due it gets byte %s; the body ended with %v after %d of %d bytes", s.id, id, o, w, err, len(got), len(due))
			return
		}
	}
	switch {
	case err == io.EOF && len(got) < len(due):
		e.broken.Add(1)
		s.deployment.note("server %s: request %s BROKEN: the body ends as if whole after %d of %d bytes", s.id, id, len(got), len(due))
	case err == io.EOF:
		e.whole.Add(1)
		s.deployment.note("server %s: request %s has its whole body", s.id, id)
	default:
		e.cut.Add(1)
		s.deployment.note("server %s: request %s: the connection ended after %d bytes of the body, all as sent", s.id, id, len(got))
	}
}

// upload sends one request with a long body, with a length or in chunks.
func (e *early) upload(d *deployment, n int) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	body := longBody(rand.Uint32())
	e.bodies.Store(id, body)
	c, err := net.DialTimeout("tcp", d.hosts[n%len(d.hosts)].front, time.Second)
	if err != nil {
		d.note("client: request %s: %v", id, err)
		return
	}
	defer c.Close()
	chunked := n/len(d.hosts)%2 == 1
	h := "Content-Length: " + strconv.Itoa(len(body))
	if chunked {
		h = "Transfer-Encoding: chunked"
	}
	d.note("client: request %s sent, %s", id, h)
	fmt.Fprintf(c, "POST /pay/%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 8000\r\nKey: %s\r\n%s\r\n\r\n", n, hostName, id, key, h)
	var w io.Writer = c
	if chunked {
		w = httputil.NewChunkedWriter(c)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		p, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			d.note("client: request %s: no answer: %v", id, err)
			return
		}
		b, err := io.ReadAll(p.Body)
		d.note("client: request %s: status %d, %d bytes, error %v", id, p.StatusCode, len(b), err)
		if p.StatusCode == http.StatusOK && err == nil {
			e.answers.Add(1)
		}
	}()
	for i := 0; i < len(body); i += pieceBytes {
		if _, err := w.Write(body[i:min(i+pieceBytes, len(body))]); err != nil {
			break // the host has answered and reads no more
		}
		time.Sleep(pieceDelay)
	}
	if chunked {
		_ = w.(io.Closer).Close()
		_, _ = io.WriteString(c, "\r\n")
	}
	<-done
}

func runEarly(record string, trouble bool) int {
	e := &early{trouble: trouble}
	d, err := startDeployment(record, e.serve)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return cannotRun(err)
	}
	var wg sync.WaitGroup
	end := time.Now().Add(uploadTime)
	for range uploadWorkers {
		wg.Go(func() {
			for time.Now().Before(end) {
				e.upload(d, int(e.sent.Add(1)))
			}
		})
	}
	wg.Wait()
	d.note("requests %d, answered %d, early answers %d, bodies whole %d, cut %d, BROKEN %d",
		e.sent.Load(), e.answers.Load(), e.early.Load(), e.whole.Load(), e.cut.Load(), e.broken.Load())
	if e.answers.Load() < e.sent.Load()/2 || trouble && e.early.Load() == 0 {
		return cannotRun(fmt.Errorf("%d of %d requests were answered, %d of them early", e.answers.Load(), e.sent.Load(), e.early.Load()))
	}
	return verdict(e.broken.Load())
}
