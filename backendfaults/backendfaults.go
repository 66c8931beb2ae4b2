// Package backendfaults defines the faults that a backend stand-in can inject.
package backendfaults

// Backendfaults are the injected faults. They can be changed while the stand-in
// runs.
type Backendfaults struct {
	// Shed refuses every request without running it, like a backend server with
	// no free slot.
	Shed bool `json:",omitzero"`
	// Drain refuses every request without running it, and reports the drain at
	// /health.
	Drain bool `json:",omitzero"`
	// Cold makes every request take ten times as long.
	Cold bool `json:",omitzero"`
	// Silent accepts connections and reads requests, but neither runs nor answers
	// the requests.
	Silent bool `json:",omitzero"`
	// Mute runs requests but never answers them.
	Mute bool `json:",omitzero"`
	// Close runs requests and closes the connection without a response.
	Close bool `json:",omitzero"`
	// Cut runs requests and closes the connection in the middle of the
	// response.
	Cut bool `json:",omitzero"`
	// WrongID runs requests and sets the id of another request in the response.
	WrongID bool `json:",omitzero"`
	// Short runs requests and sends less data than Content-Length announces.
	Short bool `json:",omitzero"`
	// Unsized runs requests and marks the end of the response only by closing
	// the connection.
	Unsized bool `json:",omitzero"`
	// Lie makes /health report the opposite of the actual state.
	Lie bool `json:",omitzero"`
	// First limits the faults to this number of requests; zero means no limit.
	First int `json:",omitzero"`
	// Bytes is the size of response bodies; zero means a single line.
	Bytes int `json:",omitzero"`
}
