package httplisten_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"
)

// Guards against a header that is taken for a shorter one when its rest comes after its
// limit: a part of a line, or a request without its body, would be run.
func TestLateHeaderIsNotCut(t *testing.T) {
	for name, pieces := range map[string][2]string{
		"in a line":      {"GET / HTTP/1.1\r\nHost: exa", "mple\r\n\r\n"},
		"before its end": {"POST / HTTP/1.1\r\nHost: a", "\r\nContent-Length: 33\r\n\r\nGET /other HTTP/1.1\r\nHost: a\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, w *piped) {
				w.handler = func(_ http.ResponseWriter, q *http.Request) { t.Errorf("ran %s %s %s", q.Method, q.Host, q.URL) }
				w.server.afterTimeout = func() {
					go func() { _, _ = io.WriteString(w.conn, pieces[1]) }() // fails if the server reads no more
				}
				w.send(t, 0, nil, pieces[0])
				_, err := io.ReadAll(w.answer)
				must.NoError(t, err)
			})
		})
	}
}

// Guards against a body that begins with the end of its header: the header was taken for
// complete one byte before its end, and that byte came after its limit.
func TestLateHeaderEndIsNoBody(t *testing.T) {
	inBubble(t, func(t *testing.T, w *piped) {
		w.handler = func(_ http.ResponseWriter, q *http.Request) {
			b, err := io.ReadAll(q.Body)
			if err == nil {
				t.Errorf("the body is %q", b)
			}
		}
		n := len(header) - 1
		w.server.afterTimeout = func() {
			go func() { _, _ = io.WriteString(w.conn, header[n:]+body) }() // fails if the server reads no more
		}
		w.send(t, 0, nil, header[:n])
		_, _ = io.ReadAll(w.answer) // the caller's request has failed in any case
	})
}

// Guards against a header that begins just after the idle limit, when the server still
// takes it, and gets no time to be completed.
func TestHeaderAfterIdleLimitHasItsOwn(t *testing.T) {
	inBubble(t, func(t *testing.T, w *piped) {
		w.call(t)
		clock.Sleep(idleLimit + margin)
		p := splitHeader()
		w.send(t, 0, nil, p[0])
		clock.Sleep(headerLimit / 2)
		w.send(t, 0, nil, p[1])
		w.mustBeAnswered(t)
	})
}

// Guards against callers with slow headers that nobody notices.
func TestLateHeadersAreCounted(t *testing.T) {
	for name, pieces := range map[string][]string{
		"first":         {"GET / HTTP/1.1\r\n"},
		"kept":          {header + body, "GET / HTTP/1.1\r\n"},
		"kept in parts": {header + body, "GET / HT", "TP/1.1\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, w *piped) {
				if len(pieces) > 1 {
					w.call(t)
				}
				for _, p := range pieces[min(len(pieces)-1, 1):] {
					w.send(t, 0, nil, p)
				}
				_, err := io.ReadAll(w.answer)
				must.NoError(t, err)
				synctest.Wait()
				must.EqOp(t, 1, w.late)
			})
		})
	}
}

// Guards against an idle connection that is counted as one with a late header.
func TestIdleConnectionIsNotLate(t *testing.T) {
	inBubble(t, func(t *testing.T, w *piped) {
		w.call(t)
		_, err := io.ReadAll(w.answer)
		must.NoError(t, err)
		synctest.Wait()
		must.EqOp(t, 0, w.late)
	})
}

// Guards against a refusal that its caller cannot read to its end, since the connection is
// reset while the caller still sends its body.
func TestRefusalBeforeBodyIsWhole(t *testing.T) {
	w := start(t)
	h := http.HandlerFunc(func(a http.ResponseWriter, _ *http.Request) { a.WriteHeader(http.StatusRequestEntityTooLarge) })
	w.handler.Store(&h)
	_, err := io.WriteString(w.conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("x", 300<<10))
	must.NoError(t, err)
	p, err := http.ReadResponse(w.answer, nil)
	must.NoError(t, err)
	must.NoError(t, p.Body.Close())
	_, err = w.answer.ReadByte()
	must.ErrorIs(t, err, io.EOF)
}
