// Package reservation reserves ports for hosts that are started in tests and demos.
package reservation

import (
	"net/netip"
	"syscall"

	"github.com/pkg/errors"
)

// Reservation reserves a port of the loopback address while no process listens on it.
// Without it, any process on the machine could get the port for an outgoing connection
// in the seconds in which a host is stopped, and the host could not start again. The
// socket never listens, and both it and the host's listener set SO_REUSEADDR, as every
// listener of package net does, so the host can listen on the port.
type Reservation struct {
	// Address is 127.0.0.1 and the port.
	Address string

	socket int
}

// New reserves a free port.
func New() (*Reservation, error) {
	n, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return nil, errors.Wrap(err, "create socket")
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
		return errors.Wrap(err, "set SO_REUSEADDR")
	}
	if err := syscall.Bind(r.socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return errors.Wrap(err, "bind socket to a loopback port")
	}
	a, err := syscall.Getsockname(r.socket)
	if err != nil {
		return errors.Wrap(err, "read socket address")
	}
	v, ok := a.(*syscall.SockaddrInet4)
	if !ok {
		return errors.Errorf("unexpected type of socket address: %T", a)
	}
	r.Address = netip.AddrPortFrom(netip.AddrFrom4(v.Addr), uint16(v.Port)).String() //nolint:gosec // a port has 16 bits
	return nil
}

// Release releases the port.
func (r *Reservation) Release() {
	_ = syscall.Close(r.socket) // no data was written to the socket
}
