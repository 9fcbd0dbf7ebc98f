package eventloop

import (
	"errors"
	"slices"
	"syscall"
)

// DialFailure is the class of a failed dial, by where the fault lies. Only PeerFailed is evidence against the peer.
type DialFailure uint8

// The kinds of failed dials.
const (
	PeerFailed              DialFailure = iota // the peer, or the network on the way to it, failed
	LocalResourcesExhausted                    // no descriptor, buffer or memory on this host; no dial can succeed now
	// Unreachable means that this host has no route, port or permission for this peer. Other peers may be reachable.
	Unreachable
)

// Errors of dials that fail on this host, by class.
var (
	exhaustionErrors = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC,
		syscall.EINTR}
	unreachableErrors = []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN, syscall.ENETUNREACH,
		syscall.EHOSTUNREACH, syscall.ENETDOWN, syscall.EACCES, syscall.EPERM, syscall.EALREADY}
)

// ClassifyDialError returns the class of the error of a failed dial. An error that is not known to be a failure of this
// host is PeerFailed.
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
