// Package sums describes what one host has counted for the burn report.
package sums

import (
	"time"

	"celeryreach.example/celeryreach/drained"
	"celeryreach.example/celeryreach/second"
	"celeryreach.example/celeryreach/tally"
	"celeryreach.example/celeryreach/usage"
)

// Sums are the counts of one host since its start, for the longest window.
type Sums struct {
	// Host is the host.
	Host string
	// Incarnation is its incarnation: sums of two incarnations add up.
	Incarnation uint64
	// Region is its region.
	Region string
	// At is when the sums were taken.
	At time.Time
	// Tallies are the counts by minute, account and service.
	Tallies []tally.Tally
	// Seconds are the counts against rates.
	Seconds []second.Second
	// Usages are the slots by minute and service.
	Usages []usage.Usage
	// Drains are the drains that ended.
	Drains []drained.Drained
	// Latencies hold a histogram of the time to the end of a whole answer, in
	// microseconds, for each service in the last hour, in HdrHistogram's
	// encoding.
	Latencies map[string][]byte
}
