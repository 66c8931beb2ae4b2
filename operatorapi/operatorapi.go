// Package operatorapi serves the HTTP interface for operators.
package operatorapi

import (
	"context"
	"expvar"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"

	"github.com/charmbracelet/log"

	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/configcommit"
	"celeryreach.example/celeryreach/confighistory"
	"celeryreach.example/celeryreach/credential"
	"celeryreach.example/celeryreach/hostcounts"
	"celeryreach.example/celeryreach/lookupexplanation"
	"celeryreach.example/celeryreach/problem"
	"celeryreach.example/celeryreach/snapshot"
	"celeryreach.example/celeryreach/status"
)

const (
	maxConfigBytes = 64 << 20
	bearerPrefix   = "Bearer "
)

// Operatorapi is the HTTP handler of the operators' interface.
type Operatorapi struct {
	// Log receives one line for each accepted change.
	Log *log.Logger
	// Snapshot returns the configuration in force, or nil if there is none yet.
	Snapshot func() *snapshot.Snapshot
	// History holds earlier configurations.
	History *confighistory.Confighistory
	// ConfigCommit commits configurations.
	ConfigCommit *configcommit.Configcommit
	// Validate returns all mistakes in a configuration.
	Validate func(c *config.Config) []string
	// Status returns the state known to this host.
	Status func(ctx context.Context) status.Status
	// Counts returns this host's counts for the burn report.
	Counts func() hostcounts.Hostcounts
	// StoredCounts returns the counts of processes that no longer run, as stored on the
	// platform.
	StoredCounts func(ctx context.Context) ([]hostcounts.Hostcounts, error)
	// ExplainLookup explains the result of a look-up.
	ExplainLookup func(account, service, region string, a netip.Addr) lookupexplanation.Lookupexplanation
}

// ServeHTTP authenticates and serves one request.
func (o *Operatorapi) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := o.Snapshot()
	if s == nil {
		writeProblem(w, http.StatusServiceUnavailable, problem.NotConfigured, "this host has no configuration yet")
		return
	}
	if !authorized(s, r) {
		writeProblem(w, http.StatusUnauthorized, problem.KeyUnknown, "a valid operator's key is required")
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /config":
		o.getConfig(w, r, s)
	case "PUT /config":
		o.putConfig(w, r)
	case "GET /status":
		writeJSON(w, http.StatusOK, o.Status(r.Context()))
	case "GET /why":
		o.explainLookup(w, r)
	case "GET /burn":
		writeJSON(w, http.StatusOK, o.Counts())
	case "GET /burn/kept":
		o.getStoredCounts(w, r)
	case "GET /debug/vars":
		expvar.Handler().ServeHTTP(w, r)
	default:
		writeProblem(w, http.StatusNotFound, problem.BadRequest, "there is no "+r.Method+" "+r.URL.Path)
	}
}

func (o *Operatorapi) getConfig(w http.ResponseWriter, r *http.Request, s *snapshot.Snapshot) {
	q := r.URL.Query().Get("version")
	if q == "" {
		writeJSON(w, http.StatusOK, s.Config)
		return
	}
	v, err := strconv.ParseUint(q, 10, 64)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, problem.BadRequest, "version: must be an unsigned integer")
		return
	}
	c := o.History.Version(v)
	if c == nil {
		writeProblem(w, http.StatusNotFound, problem.BadRequest, "this host does not hold configuration version "+q)
		return
	}
	writeJSON(w, http.StatusOK, c)
}

func (o *Operatorapi) putConfig(w http.ResponseWriter, r *http.Request) {
	v, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, problem.BadRequest, "from: must be the version that the change is based on")
		return
	}
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxConfigBytes))
	if err != nil {
		writeProblem(w, http.StatusBadRequest, problem.BadRequest, err.Error())
		return
	}
	var c config.Config
	if err := codec.Unmarshal(b, &c); err != nil {
		writeProblem(w, http.StatusBadRequest, problem.BadRequest, err.Error())
		return
	}
	if m := o.Validate(&c); len(m) > 0 {
		writeJSON(w, http.StatusUnprocessableEntity, &problem.Problem{
			Problem: problem.InvalidConfig, Message: "the configuration has mistakes; nothing was changed", Mistakes: m,
		})
		return
	}
	o.commitConfig(w, r, v, c)
}

func (o *Operatorapi) commitConfig(w http.ResponseWriter, r *http.Request, from uint64, c config.Config) {
	a, ok, err := o.ConfigCommit.Commit(r.Context(), from, c)
	switch {
	case err != nil:
		writeProblem(w, http.StatusBadGateway, problem.OutcomeUnknown, err.Error())
	case !ok:
		x := o.ConfigCommit.Explain(r.Context(), from, c, a)
		writeJSON(w, http.StatusConflict, &problem.Problem{
			Problem: problem.Conflict, Message: "another change was accepted in between; nothing was changed",
			Accepted: a, Yours: x.Yours, Theirs: x.Theirs,
		})
	default:
		o.Log.Info("configuration accepted", "Version", a.Version, "Preset", c.Preset)
		writeJSON(w, http.StatusOK, a)
	}
}

func (o *Operatorapi) explainLookup(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	var a netip.Addr
	if v := q.Get("address"); v != "" {
		p, err := netip.ParseAddr(v)
		if err != nil {
			writeProblem(w, http.StatusBadRequest, problem.BadRequest, "address: "+err.Error())
			return
		}
		a = p
	}
	writeJSON(w, http.StatusOK, o.ExplainLookup(q.Get("account"), q.Get("service"), q.Get("region"), a))
}

func (o *Operatorapi) getStoredCounts(w http.ResponseWriter, r *http.Request) {
	k, err := o.StoredCounts(r.Context())
	if err != nil {
		writeProblem(w, http.StatusBadGateway, problem.OutcomeUnknown, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, k)
}

// authorized reports whether the request carries a configured operator's key.
func authorized(s *snapshot.Snapshot, r *http.Request) bool {
	h := credential.Hash(strings.TrimPrefix(r.Header.Get("Authorization"), bearerPrefix))
	for _, k := range s.Config.Operators {
		if k.Hash == h {
			return true
		}
	}
	return false
}

func writeProblem(w http.ResponseWriter, code int, cause, message string) {
	writeJSON(w, code, &problem.Problem{Problem: cause, Message: message})
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	b, err := codec.Marshal(v)
	if err != nil {
		panic(err) // all types of this interface can be encoded as JSON
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(b) // a write fails only if the client disconnected
}
