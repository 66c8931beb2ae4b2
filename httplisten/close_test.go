package httplisten_test

import (
	"io"
	"testing"
	"testing/synctest"
)

// passIdleLimit sends the next request on a kept connection just before the idle limit,
// which passes when pieces[late] has arrived and before its Read returns.
func passIdleLimit(t *testing.T, late int, pieces ...string) {
	inBubble(t, func(t *testing.T, w *piped) {
		w.call(t)
		clock.Sleep(idleLimit - margin)
		w.send(t, late, func() { clock.Sleep(2 * margin) }, pieces...)
		w.mustBeAnswered(t)
		w.call(t)
	})
}

// Guards against a timer that closes a kept connection whose next request has just been
// read.
func TestRequestReadAsIdleLimitPasses(t *testing.T) { passIdleLimit(t, 0, whole()...) }

// Guards against a timer that closes a kept connection when the rest of a header has
// just been read.
func TestHeaderEndReadAsIdleLimitPasses(t *testing.T) { passIdleLimit(t, 1, splitHeader()...) }

// Guards against a limit that has passed since the header was read and fails the body.
func TestHeaderReadAsIdleLimitPassesThenBody(t *testing.T) { passIdleLimit(t, 0, bodyAfter()...) }

// Guards against an idle limit that also ends the wait for a body.
func TestBodyReadAfterIdleLimit(t *testing.T) {
	inBubble(t, func(t *testing.T, w *piped) {
		w.call(t)
		p := bodyAfter()
		w.send(t, 0, nil, p[0])
		clock.Sleep(idleLimit + margin)
		w.send(t, 0, nil, p[1])
		w.mustBeAnswered(t)
		w.call(t)
	})
}

// passHeaderLimit sends the first request on a connection just before the header limit,
// which passes when pieces[late] has arrived and before its Read returns.
func passHeaderLimit(t *testing.T, late int, pieces ...string) {
	inBubble(t, func(t *testing.T, w *piped) {
		clock.Sleep(headerLimit - margin)
		w.send(t, late, func() { clock.Sleep(2 * margin) }, pieces...)
		w.mustBeAnswered(t)
		w.call(t)
	})
}

// Guards against a timer that closes a new connection whose first request has just been
// read.
func TestRequestReadAsHeaderLimitPasses(t *testing.T) { passHeaderLimit(t, 0, whole()...) }

// Guards against a timer that closes a new connection when the rest of its first header
// has just been read.
func TestHeaderEndReadAsHeaderLimitPasses(t *testing.T) { passHeaderLimit(t, 1, splitHeader()...) }

// Guards against a header limit that has passed since the header was read and fails the
// body.
func TestHeaderReadAsHeaderLimitPassesThenBody(t *testing.T) { passHeaderLimit(t, 0, bodyAfter()...) }

// stopAsRead sends the next request on a kept connection, and ends the server's context
// when pieces[late] has arrived and before its Read returns.
func stopAsRead(t *testing.T, late int, pieces ...string) {
	inBubble(t, func(t *testing.T, w *piped) {
		w.call(t)
		w.send(t, late, w.stopAndWait, pieces...)
		w.mustBeAnswered(t)
	})
}

func (w *piped) stopAndWait() {
	w.stop()
	clock.Sleep(margin)
}

// Guards against a shutdown that takes a kept connection for idle whose next request has
// just been read.
func TestRequestReadAtShutdown(t *testing.T) { stopAsRead(t, 0, whole()...) }

// Guards against a shutdown that takes a kept connection for idle when the rest of a
// header has just been read.
func TestHeaderEndReadAtShutdown(t *testing.T) { stopAsRead(t, 1, splitHeader()...) }

// Guards against a shutdown that takes a connection for idle whose first request has just
// been read, long after the connection was opened.
func TestFirstRequestReadAtShutdown(t *testing.T) {
	inBubble(t, func(t *testing.T, w *piped) {
		clock.Sleep(headerLimit - margin)
		w.send(t, 0, w.stopAndWait, whole()...)
		w.mustBeAnswered(t)
	})
}

// Guards against a shutdown that does not wait for the body of a request.
func TestBodyReadAfterShutdown(t *testing.T) {
	inBubble(t, func(t *testing.T, w *piped) {
		w.call(t)
		p := bodyAfter()
		w.send(t, 0, nil, p[0])
		w.stop()
		clock.Sleep(drainLimit / 2)
		w.send(t, 0, nil, p[1])
		w.mustBeAnswered(t)
	})
}

// Guards against a shutdown that reads a first request and drops it. The server may close
// the connection before that.
func TestFirstRequestAfterShutdown(t *testing.T) {
	inBubble(t, func(t *testing.T, w *piped) {
		synctest.Wait()
		w.stop()
		synctest.Wait()
		if _, err := io.WriteString(w.conn, header+body); err == nil {
			w.mustBeAnswered(t)
		}
	})
}

// Guards against a shutdown that reads the rest of a first header and drops the request.
// The server may close the connection before that.
func TestFirstHeaderEndAfterShutdown(t *testing.T) {
	inBubble(t, func(t *testing.T, w *piped) {
		p := splitHeader()
		w.send(t, 0, nil, p[0])
		w.stop()
		synctest.Wait()
		if _, err := io.WriteString(w.conn, p[1]); err == nil {
			w.mustBeAnswered(t)
		}
	})
}
