// Package link describes the links between regions.
package link

// Link is the connection from one region to another, in one direction.
type Link struct {
	// From is the sending region.
	From string
	// To is the receiving region.
	To string
	// BytesPerSecond is the capacity of the link, shared by all traffic.
	BytesPerSecond int64
}
