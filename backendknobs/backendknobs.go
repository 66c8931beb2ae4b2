// Package backendknobs describes the faults that the backend stand-in plays.
package backendknobs

// Backendknobs are set by tests and by hand while a stand-in runs.
type Backendknobs struct {
	// Shed refuses every request unrun, as a full backend server does.
	Shed bool `json:",omitzero"`
	// Drain refuses every request unrun and says so at /health.
	Drain bool `json:",omitzero"`
	// Cold makes every request take ten times as long.
	Cold bool `json:",omitzero"`
	// Silent takes connections and requests, runs nothing and never answers.
	Silent bool `json:",omitzero"`
	// Mute runs requests and never answers.
	Mute bool `json:",omitzero"`
	// Close runs requests and closes the connection without an answer.
	Close bool `json:",omitzero"`
	// Cut runs requests and closes the connection in the middle of the answer.
	Cut bool `json:",omitzero"`
	// WrongID runs requests and answers with another request's id.
	WrongID bool `json:",omitzero"`
	// Short runs requests and promises a longer answer than it sends.
	Short bool `json:",omitzero"`
	// Unsized runs requests and ends the answer with the connection.
	Unsized bool `json:",omitzero"`
	// Lie makes /health claim the opposite of the truth.
	Lie bool `json:",omitzero"`
	// First plays the faults for this many requests only; zero means all.
	First int `json:",omitzero"`
	// Bytes is the size of answers; zero means a line.
	Bytes int `json:",omitzero"`
}
