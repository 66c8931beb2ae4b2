// Package operator is the HTTP interface for operators.
package operator

import (
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/charmbracelet/log"

	"celeryreach.example/celeryreach/change"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/config"
	"celeryreach.example/celeryreach/credential"
	"celeryreach.example/celeryreach/snapshot"
	"celeryreach.example/celeryreach/status"
)

const maxBytes = 64 << 20

// Operator is the handler of the operators' interface.
type Operator struct {
	// Log receives one line for each accepted change.
	Log *log.Logger
	// Snapshot returns the configuration in force, nil before the first.
	Snapshot func() *snapshot.Snapshot
	// Change commits configurations.
	Change *change.Change
	// Check returns every mistake of a configuration.
	Check func(c *config.Config) []string
	// Status describes what this host knows.
	Status func() status.Status
}

// ServeHTTP serves one call.
func (o *Operator) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !o.allowed(r) {
		http.Error(w, "an operator's key is needed", http.StatusUnauthorized)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /config":
		reply(w, http.StatusOK, o.Snapshot().Config)
	case "PUT /config":
		o.put(w, r)
	case "GET /status":
		reply(w, http.StatusOK, o.Status())
	default:
		http.NotFound(w, r)
	}
}

func (o *Operator) put(w http.ResponseWriter, r *http.Request) {
	v, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: the version that the change was made from is needed", http.StatusBadRequest)
		return
	}
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var c config.Config
	if err := codec.Unmarshal(b, &c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e := o.Check(&c); len(e) > 0 {
		http.Error(w, strings.Join(e, "\n"), http.StatusBadRequest)
		return
	}
	a, ok, err := o.Change.Commit(r.Context(), v, c)
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadGateway)
	case !ok:
		reply(w, http.StatusConflict, o.Change.Explain(r.Context(), v, c, a))
	default:
		o.Log.Info("configuration accepted", "Version", a.Version, "Preset", c.Preset)
		reply(w, http.StatusOK, a)
	}
}

func (o *Operator) allowed(r *http.Request) bool {
	s := o.Snapshot()
	if s == nil {
		return false
	}
	h := credential.Hash(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "))
	for _, k := range s.Config.Operators {
		if k.Hash == h {
			return true
		}
	}
	return false
}

func reply(w http.ResponseWriter, code int, v any) {
	b, err := codec.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(b) // a failed write means that the client left
}
