package httplisten_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/httplisten"
)

const (
	requestsOfCaller = 20
	maxPieces        = 4
	// maxChanges lets a bubble report callers that wait for ever.
	maxChanges = 10_000
	// largeBody does not fit into one read of the server.
	largeBody = 5000
	// longestLimit is the longest limit of a load, in units.
	longestLimit = 15
	idHeader     = "Id"
	waitHeader   = "Wait"
)

// load is many callers on kept connections to one server whose limits change.
type load struct {
	seed  uint64
	unit  time.Duration // of limits and pauses
	calls int           // callers that send requests
	quiet int           // callers that never complete a header
	drain time.Duration
	// dial opens a connection and returns both ends. The seed is for the connection.
	dial func(seed uint64) (net.Conn, *watchedConn, error)
	// bounded tells that a connection left open too long can be detected by the clock.
	bounded bool

	header, idle atomic.Int64
	stopping     chan struct{} // closed when the shutdown begins
	begun        sync.Map      // numbers of the requests that were passed to the handler
	mu           sync.Mutex
	unanswered   []unanswered
	faults       []string
}

// unanswered is a request whose connection was closed before its answer.
type unanswered struct {
	id   string
	end  int64 // bytes up to the request's end, from the connection's start
	read *watchedConn
	err  error
}

// watchedConn is the server's end of a connection. It counts the bytes that the server
// has read.
type watchedConn struct {
	net.Conn
	read atomic.Int64
	late func() // delays the return of a Read that got bytes
}

func (c *watchedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	if n > 0 && c.late != nil {
		c.late()
	}
	return n, err
}

// watchedListener accepts connections of callers on loopback and pairs their ends.
type watchedListener struct {
	net.Listener
	dialing  sync.Mutex
	accepted chan *watchedConn
	closed   chan struct{}
	once     sync.Once
}

func (l *watchedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	w := &watchedConn{Conn: c}
	select {
	case l.accepted <- w:
	case <-l.closed: // the caller does not wait any more
	}
	return w, nil
}

func (l *watchedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// dial opens one connection at a time, so that the next one accepted is its other end.
func (l *watchedListener) dial(uint64) (net.Conn, *watchedConn, error) {
	l.dialing.Lock()
	defer l.dialing.Unlock()
	c, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", l.Addr().String())
	if err != nil {
		return nil, nil, err
	}
	select {
	case w := <-l.accepted:
		return c, w, nil
	case <-l.closed:
		_ = c.Close()
		return nil, nil, net.ErrClosed
	}
}

// run plays the load and returns what went wrong.
func (l *load) run(n net.Listener) []string {
	r := rand.New(rand.NewPCG(l.seed, 0))
	l.stopping = make(chan struct{})
	l.changeLimits(r)
	y := r.IntN(10)
	s := &httplisten.Httplisten{
		Listener: n, Handler: http.HandlerFunc(l.serve), Clock: clock, DrainTimeout: l.drain,
		Limits: func() (header, idle time.Duration) {
			return time.Duration(l.header.Load()), time.Duration(l.idle.Load())
		},
		BeforeShutdown: func(context.Context) {
			close(l.stopping)
			for range y {
				runtime.Gosched()
			}
		},
	}
	ctx, f := context.WithCancel(context.Background())
	e := make(chan error, 1)
	go func() { e <- s.Run(ctx) }()
	x, stopOperator := context.WithCancel(context.Background())
	o := make(chan struct{})
	go func() { l.operate(x, f, r); close(o) }()
	var w sync.WaitGroup
	for i := range l.calls + l.quiet {
		c := &caller{load: l, rand: rand.New(rand.NewPCG(l.seed, uint64(i)+1)), number: i}
		if i < l.calls {
			w.Go(c.call)
		} else {
			w.Go(c.neverComplete)
		}
	}
	w.Wait()
	stopOperator()
	<-o
	f()
	if err := <-e; err != nil {
		l.fault("the server ended: %v", err)
	}
	return l.verdict()
}

// operate changes the limits, and in half of the loads ends the server's context.
func (l *load) operate(ctx context.Context, stop func(), r *rand.Rand) {
	for range maxChanges {
		select {
		case <-ctx.Done():
			return
		case <-clock.After(l.upTo(r, 10)):
		}
		l.changeLimits(r)
		if l.seed%2 == 0 && r.IntN(10) == 0 {
			stop()
		}
	}
}

func (l *load) changeLimits(r *rand.Rand) {
	m := []int{1, 2, 3, 5, longestLimit}
	l.header.Store(int64(l.unit) * int64(m[r.IntN(len(m))]))
	l.idle.Store(int64(l.unit) * int64(m[r.IntN(len(m))]))
}

// upTo draws a duration of at most n units.
func (l *load) upTo(r *rand.Rand, n int64) time.Duration {
	return time.Duration(r.Int64N(n*int64(l.unit) + 1))
}

func (l *load) serve(w http.ResponseWriter, r *http.Request) {
	l.begun.Store(r.Header.Get(idHeader), true)
	b, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n, _ := strconv.Atoi(r.Header.Get(waitHeader)) // written by the caller
	clock.Sleep(time.Duration(n))
	_, _ = w.Write(b) // the caller judges what it gets
}

func (l *load) fault(format string, a ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, a...))
}

// verdict returns the faults. A request without an answer is one if the server has read
// it whole or passed it on.
func (l *load) verdict() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.faults
	for _, u := range l.unanswered {
		_, ok := l.begun.Load(u.id)
		if ok || u.read.read.Load() >= u.end {
			o = append(o, fmt.Sprintf("request %s: read whole %t, passed on %t, no answer: %v", u.id, u.read.read.Load() >= u.end, ok, u.err))
		}
	}
	sort.Strings(o)
	return o
}

// caller sends requests on a kept connection, and opens another when it is closed.
type caller struct {
	load   *load
	rand   *rand.Rand
	number int

	conn   net.Conn
	server *watchedConn
	answer *bufio.Reader
	sent   int64 // bytes of requests on the connection
}

func (c *caller) call() {
	defer c.hangUp()
	for i := range requestsOfCaller {
		if !c.request(fmt.Sprint(c.number, "-", i)) {
			return
		}
	}
}

func (c *caller) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// limit opens a connection if there is none, and returns the limit of the wait that
// begins.
func (c *caller) limit() (time.Duration, bool) {
	if c.conn != nil {
		return time.Duration(c.load.idle.Load()), true
	}
	n, s, err := c.load.dial(c.rand.Uint64())
	if err != nil {
		return 0, false // the server has stopped
	}
	c.conn, c.server, c.answer, c.sent = n, s, bufio.NewReader(n), 0
	return time.Duration(c.load.header.Load()), true
}

// request sends one request whose header ends about when the limit passes. It is false
// when the server has stopped.
func (c *caller) request(id string) bool {
	m, ok := c.limit()
	if !ok {
		return false
	}
	q := bytes.Repeat([]byte("b"), []int{0, 4, largeBody}[c.rand.IntN(3)])
	h := fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: a\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n",
		idHeader, id, waitHeader, c.handlerWait(m), len(q))
	c.sent += int64(len(h) + len(q))
	u := unanswered{id: id, end: c.sent, read: c.server}
	if u.err = c.send(h, q, m); u.err == nil {
		if c.rand.IntN(50) == 0 {
			c.hangUp() // a caller that leaves gets no answer
			return true
		}
		u.err = c.readAnswer(id, q)
	}
	if u.err != nil {
		c.load.mu.Lock()
		c.load.unanswered = append(c.load.unanswered, u)
		c.load.mu.Unlock()
		c.hangUp()
	}
	return true
}

// send writes the header in pieces, the last of them about when the limit m passes, and
// the body with the last piece or later.
func (c *caller) send(h, q []byte, m time.Duration) error {
	t := c.aroundLimit(m)
	rush := c.rand.IntN(2) == 0
	if c.rand.IntN(2) == 0 {
		h, q = append(h, q...), nil
	}
	for range c.rand.IntN(maxPieces) {
		d := time.Duration(c.rand.Int64N(int64(t) + 1))
		t -= d
		c.pause(d, rush)
		i := c.rand.IntN(len(h) / 2)
		if _, err := c.conn.Write(h[:i]); err != nil {
			return err
		}
		h = h[i:]
	}
	c.pause(t, rush)
	if _, err := c.conn.Write(h); err != nil {
		return err
	}
	if len(q) > 0 {
		c.pause(c.load.upTo(c.rand, 2*longestLimit), rush)
		_, err := c.conn.Write(q)
		return err
	}
	return nil
}

// aroundLimit draws a time exactly at a limit, just below or above it, or anywhere.
func (c *caller) aroundLimit(m time.Duration) time.Duration {
	switch c.rand.IntN(7) {
	case 0:
		return m
	case 1:
		return m - 1
	case 2:
		return m + 1
	case 3:
		return m - c.load.unit/1000
	case 4:
		return m + c.load.unit/1000
	case 5:
		return 0
	}
	return time.Duration(c.rand.Int64N(int64(2 * m)))
}

func (c *caller) handlerWait(m time.Duration) time.Duration {
	if c.rand.IntN(2) == 0 {
		return 0
	}
	return c.aroundLimit(m)
}

// pause waits. A caller that rushes goes on when the shutdown begins.
func (c *caller) pause(d time.Duration, rush bool) {
	var s chan struct{}
	if rush {
		s = c.load.stopping
	}
	select {
	case <-clock.After(d):
	case <-s:
	}
}

// readAnswer reads an answer whole. An error answer counts as none.
func (c *caller) readAnswer(id string, q []byte) error {
	p, err := http.ReadResponse(c.answer, nil)
	if err != nil {
		return err
	}
	b, err := io.ReadAll(p.Body)
	if err != nil {
		return err
	}
	_ = p.Body.Close() // read to its end
	if p.StatusCode != http.StatusOK {
		return errors.Errorf("status %d, %.80q", p.StatusCode, b)
	}
	if !bytes.Equal(b, q) {
		c.load.fault("request %s: an answer of %d bytes, not %d", id, len(b), len(q))
	}
	if p.Close {
		c.hangUp()
	}
	return nil
}

// neverComplete opens a connection, in half of the cases gets an answer on it, and then
// sends nothing, a part of a header, or a header that does not end. The server must
// close the connection.
func (c *caller) neverComplete() {
	defer c.hangUp()
	if c.rand.IntN(2) == 0 && !c.request(fmt.Sprint(c.number, "-0")) {
		return
	}
	if _, ok := c.limit(); !ok {
		return
	}
	if c.load.bounded {
		_ = c.conn.SetDeadline(clock.Now().Add((longestLimit + 1) * c.load.unit)) // open connections have deadlines
	}
	var err error
	n := c.rand.IntN(3)
	for i := 0; err == nil && (n == 2 || i < n); i++ {
		_, err = io.WriteString(c.conn, "POST / HTTP/1.1\r\nId"[min(i, 18):min(i, 18)+1])
		clock.Sleep(c.load.unit / 2)
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		_, err = io.Copy(io.Discard, c.answer)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.load.fault("caller %d: its connection without a request is open (kind %d)", c.number, n)
	}
}
