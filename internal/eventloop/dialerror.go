package eventloop

import (
	"errors"
	"slices"
	"syscall"
)

// DialFailure says whose fault a failed dial is. A failure of our own says nothing about the peer.
type DialFailure uint8

// The kinds of failed dials.
const (
	PeerFailed              DialFailure = iota // the peer, or the network on the way to it, has failed
	LocalResourcesExhausted                    // no descriptor, buffer or memory: no dial can succeed now
	Unreachable                                // no route, port or permission for this peer: others may be reachable
)

var (
	exhaustionErrors = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC,
		syscall.EINTR}
	unreachableErrors = []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN, syscall.ENETUNREACH,
		syscall.EHOSTUNREACH, syscall.ENETDOWN, syscall.EACCES, syscall.EPERM, syscall.EALREADY}
)

// ClassifyDialError tells what a failed dial says about our own resources.
func ClassifyDialError(err error) DialFailure {
	is := func(errno syscall.Errno) bool { return errors.Is(err, errno) }
	switch {
	case errors.Is(err, errNotRegistered), slices.ContainsFunc(exhaustionErrors, is):
		return LocalResourcesExhausted
	case slices.ContainsFunc(unreachableErrors, is):
		return Unreachable
	}
	return PeerFailed
}
