package peerserver

import (
	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
)

// guardedHandler bounds the wait for the first message of each call, and for the next call.
type guardedHandler struct {
	drpc.Handler
}

// HandleRPC handles one call.
func (h *guardedHandler) HandleRPC(s drpc.Stream, rpc string) error {
	t, ok := drpcctx.Transport(s.Context())
	c, k := t.(*guardedConn)
	if !ok || !k {
		return h.Handler.HandleRPC(s, rpc)
	}
	c.await(callTimeout)
	defer c.endCall()
	return h.Handler.HandleRPC(&guardedStream{Stream: s, received: c.received}, rpc)
}

// guardedStream reports messages.
type guardedStream struct {
	drpc.Stream
	received func()
}

// MsgRecv receives a message.
func (s *guardedStream) MsgRecv(m drpc.Message, e drpc.Encoding) error {
	err := s.Stream.MsgRecv(m, e)
	if err == nil {
		s.received()
	}
	return err
}
