package httplisten_test

import (
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"
)

// Guards against a response that does not tell the caller that its connection is about to
// be closed, so that the caller's next request is lost.
func TestResponseDuringDrainAnnouncesEnd(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"no response": func(http.ResponseWriter, *http.Request) {},
		"status":      func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) },
		"flush":       func(w http.ResponseWriter, _ *http.Request) { _ = http.NewResponseController(w).Flush() },
		"body":        func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) },
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, w *piped) {
				end := make(chan struct{})
				w.handler = func(a http.ResponseWriter, q *http.Request) {
					<-end
					h(a, q)
				}
				w.send(t, 0, nil, whole()...)
				synctest.Wait()
				w.stop()
				synctest.Wait()
				close(end)
				p, err := http.ReadResponse(w.answer, nil)
				must.NoError(t, err)
				must.NoError(t, p.Body.Close())
				must.True(t, p.Close)
			})
		})
	}
}

// Guards against a shutdown that ends a connection on which a header is being received.
func TestHalfHeaderAtDrain(t *testing.T) {
	for name, kept := range map[string]bool{"first": false, "kept": true} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, w *piped) {
				if kept {
					w.call(t)
				}
				p := splitHeader()
				w.send(t, 0, nil, p[0])
				synctest.Wait()
				w.stop()
				clock.Sleep(headerLimit / 2)
				w.send(t, 0, nil, p[1])
				w.mustBeAnswered(t)
			})
		})
	}
}

// Guards against a shutdown that ends a connection whose caller is about to send its first
// request.
func TestFirstRequestDuringDrain(t *testing.T) {
	inBubble(t, func(t *testing.T, w *piped) {
		synctest.Wait()
		w.stop()
		clock.Sleep(headerLimit / 2)
		w.send(t, 0, nil, whole()...)
		w.mustBeAnswered(t)
	})
}

// Guards against a shutdown that takes as long as the limits of connections without a
// request.
func TestDrainEndsIdleConnections(t *testing.T) {
	inBubble(t, func(t *testing.T, w *piped) {
		w.call(t)
		synctest.Wait()
		w.stop()
		n := clock.Now()
		_, err := w.answer.ReadByte()
		must.ErrorIs(t, err, io.EOF)
		must.NoError(t, <-w.done)
		must.Less(t, headerLimit, clock.Since(n))
	})
}

// Guards against a host that never accepts a connection again after an error, and that cuts
// the requests on those that it has as soon as it shuts down.
func TestAcceptFails(t *testing.T) {
	inBubble(t, func(t *testing.T, w *piped) {
		w.send(t, 0, nil, header)
		w.listener.errs <- &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.ENOMEM)}
		synctest.Wait()
		c, err := w.listener.dial(func(c net.Conn) net.Conn { return c })
		must.NoError(t, err)
		must.NoError(t, c.Close())
		w.stop()
		clock.Sleep(drainLimit / 2)
		w.send(t, 0, nil, body)
		w.mustBeAnswered(t)
	})
}

// Guards against a host that accepts new connections while it waits for its last
// requests.
func TestNoNewConnectionsDuringDrain(t *testing.T) {
	inBubble(t, func(t *testing.T, w *piped) {
		end := make(chan struct{})
		w.handler = func(http.ResponseWriter, *http.Request) { <-end }
		w.send(t, 0, nil, whole()...)
		synctest.Wait()
		w.stop()
		synctest.Wait()
		_, err := w.listener.dial(func(c net.Conn) net.Conn { return c })
		must.ErrorIs(t, err, net.ErrClosed)
		close(end)
	})
}
