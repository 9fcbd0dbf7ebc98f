package eventloop

import (
	"errors"
	"slices"
	"syscall"
)

// Shortage is what we ourselves lack where a connect fails: such a failure says nothing of the peer.
type Shortage uint8

// The shortages.
const (
	NoShortage Shortage = iota // the peer, or the way to it, has failed
	NoSocket                   // no descriptor, buffer or memory: no connect can succeed now
	NoWay                      // no route, port or permission towards this peer: others may be reached
)

var (
	socketErrors = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.EINTR}
	wayErrors    = []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN, syscall.ENETUNREACH,
		syscall.EHOSTUNREACH, syscall.ENETDOWN, syscall.EACCES, syscall.EPERM, syscall.EALREADY}
)

// ShortageOf tells what a failed dial says of our own resources.
func ShortageOf(err error) Shortage {
	is := func(errno syscall.Errno) bool { return errors.Is(err, errno) }
	switch {
	case errors.Is(err, errNotRegistered), slices.ContainsFunc(socketErrors, is):
		return NoSocket
	case slices.ContainsFunc(wayErrors, is):
		return NoWay
	}
	return NoShortage
}
