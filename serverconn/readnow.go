package serverconn

import (
	"io"
	"net"
	"os"
	"syscall"
)

// readNow reads bytes that have arrived on c. If there are none, or c can't tell, it
// returns os.ErrDeadlineExceeded.
func readNow(c net.Conn, p []byte) (int, error) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0, os.ErrDeadlineExceeded
	}
	r, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	var n int
	var readErr error
	err = r.Read(func(fd uintptr) bool {
		n, readErr = syscall.Read(int(fd), p)
		return true
	})
	switch {
	case err != nil:
		return 0, err
	case readErr == syscall.EAGAIN:
		return 0, os.ErrDeadlineExceeded
	case readErr != nil:
		return 0, os.NewSyscallError("read", readErr)
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}
