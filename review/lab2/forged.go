package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const forgedTime = 12 * time.Second

// forged is the case of entries by another writer, each with one field missing or of another type.
// They name processes that are no backend servers of the deployment.
type forged struct {
	broken atomic.Int64 // results of such a process that a client got
	served atomic.Int64
	runs   sync.Map // the process that ran a request, by id
}

func (f *forged) serve(s *server, c net.Conn, r *bufio.Reader) {
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if s.answerHealth(c, q) {
			continue
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		id := q.Header.Get("Request-Id")
		if s.wrongInstance(q) {
			_, _ = io.WriteString(c, answer(http.StatusMisdirectedRequest, map[string]string{"Request-Id": id, "Instance-Id": s.id}, ""))
			continue
		}
		f.runs.Store(id, s.id)
		s.deployment.note("process %s: runs %s %s", s.id, q.URL.Path, id)
		time.Sleep(workTime)
		if _, err := io.WriteString(c, s.result(id, strings.Repeat("x", 2000))); err != nil {
			return
		}
	}
}

// write adds the entries of the other writer. None of them is one as the page lists it.
func (f *forged) write(d *deployment) error {
	for _, v := range []struct {
		id, zone, field string
		value           any // nil leaves the field out
	}{
		{id: "i-other-1", zone: "a1", field: "version"},
		{id: "i-other-2", zone: "b1", field: "version", value: 7},
	} {
		s, err := startServer(v.id, v.zone, d, f.serve)
		if err != nil {
			return err
		}
		e := s.report().(map[string]any)
		delete(e, v.field)
		if v.value != nil {
			e[v.field] = v.value
		}
		d.store.put("servers", v.id, e)
		d.note("store: entry %s by another writer: %v", v.id, e)
	}
	return nil
}

func runForged(record string, trouble bool) int {
	f := &forged{}
	d, err := startDeployment(record, f.serve)
	if d != nil {
		defer d.stop()
	}
	if err == nil && trouble {
		err = f.write(d)
	}
	if err != nil {
		return cannotRun(err)
	}
	var wg sync.WaitGroup
	end := time.Now().Add(forgedTime)
	for n := range callers {
		wg.Go(func() {
			call(d, n, end, func(id string, status int) {
				if status != http.StatusOK {
					return
				}
				f.served.Add(1)
				if v, _ := f.runs.Load(id); strings.HasPrefix(fmt.Sprint(v), "i-other") {
					f.broken.Add(1)
					d.note("client: request %s BROKEN: a success that no backend server has signed, but %v", id, v)
				}
			})
		})
	}
	wg.Wait()
	d.note("requests served %d, by processes that are no backend servers %d", f.served.Load(), f.broken.Load())
	if f.served.Load() == 0 {
		return cannotRun(fmt.Errorf("no request was served"))
	}
	return verdict(f.broken.Load())
}
