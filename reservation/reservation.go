// Package reservation keeps ports for hosts that are started in tests and demos.
package reservation

import (
	"net/netip"
	"syscall"

	"github.com/pkg/errors"
)

// Reservation keeps a port of the loopback address while nobody listens there. In
// the seconds in which a host is stopped, any process on the machine may else get
// its port for a connection of its own, and the host could not start again. The
// socket never listens, and both it and the host's set SO_REUSEADDR, as every
// listener of package net does; so the host can listen on the port.
type Reservation struct {
	// Address is 127.0.0.1 and the port.
	Address string

	socket int
}

// New draws a free port.
func New() (*Reservation, error) {
	n, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return nil, errors.Wrap(err, "socket")
	}
	syscall.CloseOnExec(n)
	r := &Reservation{socket: n}
	if err := r.bind(); err != nil {
		r.Release()
		return nil, err
	}
	return r, nil
}

func (r *Reservation) bind() error {
	if err := syscall.SetsockoptInt(r.socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return errors.Wrap(err, "reuse address")
	}
	if err := syscall.Bind(r.socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return errors.Wrap(err, "bind")
	}
	a, err := syscall.Getsockname(r.socket)
	if err != nil {
		return errors.Wrap(err, "address")
	}
	v, ok := a.(*syscall.SockaddrInet4)
	if !ok {
		return errors.Errorf("unexpected address %T", a)
	}
	r.Address = netip.AddrPortFrom(netip.AddrFrom4(v.Addr), uint16(v.Port)).String() //nolint:gosec // a port has 16 bits
	return nil
}

// Release gives the port up.
func (r *Reservation) Release() {
	_ = syscall.Close(r.socket) // nothing was written to it
}
