// Package operator is the HTTP interface for operators.
package operator

import (
	"context"
	"expvar"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"

	"github.com/charmbracelet/log"

	"celeryreach.example/celeryreach/change"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/credential"
	"celeryreach.example/celeryreach/history"
	"celeryreach.example/celeryreach/problem"
	"celeryreach.example/celeryreach/snapshot"
	"celeryreach.example/celeryreach/status"
	"celeryreach.example/celeryreach/sums"
	"celeryreach.example/celeryreach/why"
)

const (
	maxBytes = 64 << 20
	bearer   = "Bearer "
)

// Operator is the handler of the operators' interface.
type Operator struct {
	// Log receives one line for each accepted change.
	Log *log.Logger
	// Snapshot returns the configuration in force, nil before the first.
	Snapshot func() *snapshot.Snapshot
	// History holds former configurations.
	History *history.History
	// Change commits configurations.
	Change *change.Change
	// Check returns every mistake of a configuration.
	Check func(c *config.Config) []string
	// Status describes what this host knows.
	Status func(ctx context.Context) status.Status
	// Sums returns this host's counts for the burn report.
	Sums func() sums.Sums
	// Kept returns the counts of processes that no longer run.
	Kept func(ctx context.Context) ([]sums.Sums, error)
	// Why explains the answer to a look-up.
	Why func(account, service, region string, a netip.Addr) why.Why
}

// ServeHTTP serves one call.
func (o *Operator) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := o.Snapshot()
	if s == nil {
		refuse(w, http.StatusServiceUnavailable, problem.Unconfigured, "this host has no configuration yet")
		return
	}
	if !allowed(s, r) {
		refuse(w, http.StatusUnauthorized, problem.KeyUnknown, "an operator's key is needed")
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /config":
		o.get(w, r, s)
	case "PUT /config":
		o.put(w, r)
	case "GET /status":
		reply(w, http.StatusOK, o.Status(r.Context()))
	case "GET /why":
		o.why(w, r)
	case "GET /burn":
		reply(w, http.StatusOK, o.Sums())
	case "GET /burn/kept":
		o.kept(w, r)
	case "GET /debug/vars":
		expvar.Handler().ServeHTTP(w, r)
	default:
		refuse(w, http.StatusNotFound, problem.BadRequest, "there is no "+r.Method+" "+r.URL.Path)
	}
}

func (o *Operator) get(w http.ResponseWriter, r *http.Request, s *snapshot.Snapshot) {
	q := r.URL.Query().Get("version")
	if q == "" {
		reply(w, http.StatusOK, s.Config)
		return
	}
	v, err := strconv.ParseUint(q, 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, problem.BadRequest, "version: a whole number is needed")
		return
	}
	c := o.History.Version(v)
	if c == nil {
		refuse(w, http.StatusNotFound, problem.BadRequest, "this host does not remember version "+q)
		return
	}
	reply(w, http.StatusOK, c)
}

func (o *Operator) put(w http.ResponseWriter, r *http.Request) {
	v, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, problem.BadRequest, "from: the version that the change was made from is needed")
		return
	}
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if err != nil {
		refuse(w, http.StatusBadRequest, problem.BadRequest, err.Error())
		return
	}
	var c config.Config
	if err := codec.Unmarshal(b, &c); err != nil {
		refuse(w, http.StatusBadRequest, problem.BadRequest, err.Error())
		return
	}
	if m := o.Check(&c); len(m) > 0 {
		reply(w, http.StatusUnprocessableEntity, &problem.Problem{
			Problem: problem.Mistaken, Message: "the configuration has mistakes; nothing was changed", Mistakes: m,
		})
		return
	}
	o.commit(w, r, v, c)
}

func (o *Operator) commit(w http.ResponseWriter, r *http.Request, from uint64, c config.Config) {
	a, ok, err := o.Change.Commit(r.Context(), from, c)
	switch {
	case err != nil:
		refuse(w, http.StatusBadGateway, problem.Unknown, err.Error())
	case !ok:
		x := o.Change.Explain(r.Context(), from, c, a)
		reply(w, http.StatusConflict, &problem.Problem{
			Problem: problem.Conflict, Message: "another change was accepted in between; nothing was changed",
			Accepted: a, Yours: x.Yours, Theirs: x.Theirs,
		})
	default:
		o.Log.Info("configuration accepted", "Version", a.Version, "Preset", c.Preset)
		reply(w, http.StatusOK, a)
	}
}

func (o *Operator) why(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	var a netip.Addr
	if v := q.Get("address"); v != "" {
		p, err := netip.ParseAddr(v)
		if err != nil {
			refuse(w, http.StatusBadRequest, problem.BadRequest, "address: "+err.Error())
			return
		}
		a = p
	}
	reply(w, http.StatusOK, o.Why(q.Get("account"), q.Get("service"), q.Get("region"), a))
}

func (o *Operator) kept(w http.ResponseWriter, r *http.Request) {
	k, err := o.Kept(r.Context())
	if err != nil {
		refuse(w, http.StatusBadGateway, problem.Unknown, err.Error())
		return
	}
	reply(w, http.StatusOK, k)
}

func allowed(s *snapshot.Snapshot, r *http.Request) bool {
	h := credential.Hash(strings.TrimPrefix(r.Header.Get("Authorization"), bearer))
	for _, k := range s.Config.Operators {
		if k.Hash == h {
			return true
		}
	}
	return false
}

func refuse(w http.ResponseWriter, code int, cause, message string) {
	reply(w, code, &problem.Problem{Problem: cause, Message: message})
}

func reply(w http.ResponseWriter, code int, v any) {
	b, err := codec.Marshal(v)
	if err != nil {
		panic(err) // the interface's types hold nothing that JSON cannot
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(b) // a failed write means that the client left
}
