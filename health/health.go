// Package health describes the result of probing a backend server.
package health

import "celeryreach.example/celeryreach/loadreport"

// Health is what one probe saw. It may be wrong either way, since health
// endpoints lag and mislead.
type Health struct {
	// Reached tells whether a connection could be opened.
	Reached bool
	// Healthy tells whether the health endpoint said so.
	Healthy bool
	// Report is what the endpoint's answer said besides.
	Report loadreport.Loadreport
}
