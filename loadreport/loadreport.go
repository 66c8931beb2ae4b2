// Package loadreport reads what a backend server says of itself in the header
// of an answer.
package loadreport

import (
	"math"
	"net/http"
	"strconv"
)

// Header fields of a report. Callers never see them.
const (
	// LoadHeader is the busy part of the backend server, 1 when it is full.
	LoadHeader = "X-Backend-Load"
	// DrainingHeader is present when it wants no new work.
	DrainingHeader = "X-Backend-Draining"
)

// Loadreport is one report. It lags and may mislead.
type Loadreport struct {
	// Load is the busy part, between 0 and 1.
	Load float64
	// Known tells whether Load was given.
	Known bool
	// Draining is the wish for no new work.
	Draining bool
}

// Take reads the report and removes it from the header.
func Take(h http.Header) Loadreport {
	f, err := strconv.ParseFloat(h.Get(LoadHeader), 64)
	r := Loadreport{Known: err == nil && !math.IsNaN(f), Draining: h.Get(DrainingHeader) != ""}
	if r.Known {
		r.Load = min(max(f, 0), 1)
	}
	h.Del(LoadHeader)
	h.Del(DrainingHeader)
	return r
}
