// Package hostcounts describes the counts of one host for the burn report.
package hostcounts

import (
	"time"

	"celeryreach.example/celeryreach/completeddrain"
	"celeryreach.example/celeryreach/requestcounts"
	"celeryreach.example/celeryreach/secondcount"
	"celeryreach.example/celeryreach/usage"
)

// Hostcounts holds the counts of one host since its start, limited to the longest
// window of the report.
type Hostcounts struct {
	// Host is the name of the host.
	Host string
	// Incarnation is the incarnation of the host. The counts of two incarnations are
	// independent and can be added.
	Incarnation uint64
	// Region is the region of the host.
	Region string
	// At is the time at which the counts were read.
	At time.Time
	// Tallies holds the counts by minute, account and service.
	Tallies []requestcounts.Requestcounts
	// Seconds holds the admitted and refused requests by second and account.
	Seconds []secondcount.Secondcount
	// Usages holds the slot usage by minute and service.
	Usages []usage.Usage
	// Drains lists the completed drains.
	Drains []completeddrain.Completeddrain
	// Latencies holds, for each service, a histogram of the times to the end of a
	// complete answer in the last hour, in microseconds and in the encoding of
	// HdrHistogram.
	Latencies map[string][]byte
}
