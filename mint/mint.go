// Package mint hands out tickets to callers.
package mint

import (
	"net/http"
	"strconv"

	"celeryreach.example/celeryreach/admission"
	"celeryreach.example/celeryreach/codec"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/refusal"
	"celeryreach.example/celeryreach/ticket"
	"celeryreach.example/celeryreach/tickets"
)

const maxTickets = 100

// Mint answers GET /tickets.
type Mint struct {
	// Admission identifies keys.
	Admission *admission.Admission
	// Ticket makes the tickets.
	Ticket *ticket.Ticket
	// EntryHost is the caller address of this host.
	EntryHost string
}

// ServeHTTP hands out as many tickets as the query's count says, or one.
func (m *Mint) ServeHTTP(w http.ResponseWriter, h *http.Request) {
	c, ok := m.Admission.Identify(h)
	if !ok {
		refuse(w, outcome.KeyUnknown, "the key is missing, wrong or withdrawn")
		return
	}
	n := 1
	if v := h.URL.Query().Get("count"); v != "" {
		p, err := strconv.Atoi(v)
		if err != nil || p < 1 || p > maxTickets {
			refuse(w, outcome.BadRequest, "count is no number from 1 to 100")
			return
		}
		n = p
	}
	b, err := codec.Marshal(tickets.Tickets{
		Tickets: m.Ticket.Mint(c.Account, n), EntryHost: m.EntryHost, Lifetime: m.Ticket.Lifetime,
	})
	if err != nil {
		panic(err) // Tickets hold nothing that JSON cannot
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_, _ = w.Write(b) // a failed write means that the caller left
}

func refuse(w http.ResponseWriter, o, m string) {
	refusal.Write(w, outcome.Outcome{Outcome: o, Ran: outcome.RanNo, Message: m})
}
