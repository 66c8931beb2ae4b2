// Package loadreport parses the load report of a backend server in the header
// of an answer.
package loadreport

import (
	"math"
	"net/http"
	"strconv"
)

// Header fields of a load report. They are removed from the answers to callers.
const (
	// LoadHeader is the fraction of the backend server's capacity in use; 1 means
	// that the backend server is full.
	LoadHeader = "X-Backend-Load"
	// DrainingHeader is present if the backend server wants no new requests.
	DrainingHeader = "X-Backend-Draining"
)

// Loadreport is one load report. It is delayed and may be wrong.
type Loadreport struct {
	// Load is the fraction of the capacity in use, between 0 and 1.
	Load float64
	// Known is true if Load was given.
	Known bool
	// Draining is true if the backend server wants no new requests.
	Draining bool
}

// Extract parses the load report and removes it from the header.
func Extract(h http.Header) Loadreport {
	f, err := strconv.ParseFloat(h.Get(LoadHeader), 64)
	r := Loadreport{Known: err == nil && !math.IsNaN(f), Draining: h.Get(DrainingHeader) != ""}
	if r.Known {
		r.Load = min(max(f, 0), 1)
	}
	h.Del(LoadHeader)
	h.Del(DrainingHeader)
	return r
}
