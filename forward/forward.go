// Package forward passes requests that the own failure domain cannot take to a
// host of another one.
package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryreach.example/celeryreach/member"
	"celeryreach.example/celeryreach/outcome"
	"celeryreach.example/celeryreach/request"
	"celeryreach.example/celeryreach/wire"
)

const pieceBytes = 32 << 10

// Forward is the sending side.
type Forward struct {
	// Clock measures deadlines.
	Clock clockwork.Clock
	// Targets returns hosts of other failure domains that may take a request
	// of a service, best first.
	Targets func(service string) []member.Member
	// Open starts a stream to a host.
	Open func(ctx context.Context, address string) (wire.DRPCPeer_ForwardClient, func(), error)
}

// Serve tries one target and writes the answer to w. The receiving host admits
// the request or refuses it.
func (f *Forward) Serve(ctx context.Context, r *request.Request, w http.ResponseWriter) outcome.Outcome {
	t := f.Targets(r.Service.Name)
	if len(t) == 0 {
		return refuse("no failure domain has a free slot")
	}
	s, done, err := f.Open(ctx, t[0].PeerAddress)
	if err != nil {
		return refuse("the other failure domain cannot be reached")
	}
	defer done()
	if err := f.send(s, r); err != nil {
		return lost(r, err)
	}
	return receive(s, r, w)
}

func (f *Forward) send(s wire.DRPCPeer_ForwardClient, r *request.Request) error {
	h := &wire.Request{
		Id: r.ID, Account: r.Credential.Account, Service: r.Service.Name, Method: r.Method, Target: r.Target,
		Headers: headers(r.Header), TimeoutNanoseconds: int64(r.Deadline.Sub(f.Clock.Now())),
		IdempotencyId: r.IdempotencyID, KeyId: r.Credential.Hash,
	}
	if err := s.Send(&wire.Frame{Part: &wire.Frame_Request{Request: h}}); err != nil {
		return err
	}
	if r.Body != nil {
		if err := pieces(r.Body, func(b []byte) error {
			return s.Send(&wire.Frame{Part: &wire.Frame_Body{Body: b}})
		}); err != nil {
			return err
		}
	}
	return s.Send(&wire.Frame{Part: &wire.Frame_End{End: true}})
}

func receive(s wire.DRPCPeer_ForwardClient, r *request.Request, w http.ResponseWriter) outcome.Outcome {
	begun := false
	for {
		m, err := s.Recv()
		if err != nil {
			if begun {
				// The status is out, so only a broken connection tells the
				// caller that the answer is not whole.
				panic(http.ErrAbortHandler)
			}
			return lost(r, err)
		}
		switch v := m.Part.(type) {
		case *wire.Frame_Refusal:
			return outcome.Outcome{
				Outcome: v.Refusal.Outcome, Ran: v.Refusal.Ran, Message: v.Refusal.Message,
				RetryAfter: time.Duration(v.Refusal.RetryAfterNanoseconds),
			}
		case *wire.Frame_Answer:
			for _, h := range v.Answer.Headers {
				w.Header()[h.Name] = h.Values
			}
			w.WriteHeader(int(v.Answer.Status))
			begun = true
		case *wire.Frame_Body:
			if _, err := w.Write(v.Body); err != nil {
				return outcome.Outcome{Outcome: outcome.Left, Ran: outcome.RanUnknown}
			}
		case *wire.Frame_End:
			return outcome.Outcome{Outcome: outcome.Answered, Ran: outcome.RanYes}
		}
	}
}

// lost is the outcome of a request whose stream broke after it was sent.
func lost(r *request.Request, err error) outcome.Outcome {
	o := outcome.BackendFailed
	if r.NonIdempotent {
		o = outcome.OutcomeUnknown
	}
	return outcome.Outcome{Outcome: o, Ran: outcome.RanUnknown, Message: err.Error()}
}

func refuse(m string) outcome.Outcome {
	return outcome.Outcome{Outcome: outcome.NoCapacity, Ran: outcome.RanNo, Message: m, RetryAfter: time.Second}
}

func pieces(r io.Reader, send func(b []byte) error) error {
	b := make([]byte, pieceBytes)
	for {
		n, err := r.Read(b)
		if n > 0 {
			if err := send(b[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func headers(h http.Header) []*wire.Header {
	var r []*wire.Header
	for k, v := range h {
		r = append(r, &wire.Header{Name: k, Values: v})
	}
	return r
}
