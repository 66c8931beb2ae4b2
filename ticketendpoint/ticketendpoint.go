// Package ticketendpoint serves the HTTP endpoint that issues tickets to callers.
package ticketendpoint

import (
	"net/http"
	"strconv"

	"celeryreach.example/celeryreach/authenticator"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/errorresponse"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/tickets"
	"celeryreach.example/celeryreach/ticketstore"
)

const maxTickets = 100

// Ticketendpoint handles GET /tickets.
type Ticketendpoint struct {
	// Authenticator identifies the key of a request.
	Authenticator *authenticator.Authenticator
	// Tickets issues the tickets.
	Tickets *ticketstore.Ticketstore
	// EntryHost is the caller address of this host.
	EntryHost string
}

// ServeHTTP issues the number of tickets in the query parameter count, or one.
func (m *Ticketendpoint) ServeHTTP(w http.ResponseWriter, h *http.Request) {
	c, ok := m.Authenticator.Identify(h)
	if !ok {
		refuse(w, outcome.KeyUnknown, "the key is missing, wrong or withdrawn")
		return
	}
	n := 1
	if v := h.URL.Query().Get("count"); v != "" {
		p, err := strconv.Atoi(v)
		if err != nil || p < 1 || p > maxTickets {
			refuse(w, outcome.BadRequest, "count must be a number from 1 to 100")
			return
		}
		n = p
	}
	b, err := codec.Marshal(tickets.Tickets{
		Tickets: m.Tickets.Issue(c.Account, n), EntryHost: m.EntryHost, Lifetime: m.Tickets.Lifetime,
	})
	if err != nil {
		panic(err) // Tickets always encode as JSON
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_, _ = w.Write(b) // a failed write means that the caller has disconnected
}

func refuse(w http.ResponseWriter, o, m string) {
	errorresponse.Write(w, outcome.Outcome{Outcome: o, Ran: outcome.RanNo, Message: m})
}
