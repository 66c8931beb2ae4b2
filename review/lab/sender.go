package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// senderOf returns the host whose process has a connection from a loopback address, nil if none
// has. The hosts themselves don't tell a server which of them sends a request.
func (l *lab) senderOf(address string) *host {
	s := "socket:[" + inodeOf(address) + "]"
	for _, h := range l.hosts {
		if h.process == nil {
			continue
		}
		d := filepath.Join("/proc", strconv.Itoa(h.process.Process.Pid), "fd")
		e, err := os.ReadDir(d)
		if err != nil {
			continue // the process has ended
		}
		for _, f := range e {
			if v, err := os.Readlink(filepath.Join(d, f.Name())); err == nil && v == s {
				return h
			}
		}
	}
	return nil
}

// inodeOf returns the inode of the socket that has a loopback address as its own, empty if there
// is none.
func inodeOf(address string) string {
	_, p, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	n, err := strconv.Atoi(p)
	if err != nil {
		return ""
	}
	b, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	own := fmt.Sprintf("0100007F:%04X", n)
	for _, v := range strings.Split(string(b), "\n") {
		if f := strings.Fields(v); len(f) > 9 && f[1] == own {
			return f[9]
		}
	}
	return ""
}
