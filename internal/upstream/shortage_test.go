package upstream

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"

	"shaleyard/internal/handle"
	"shaleyard/routing"
)

// Connects fail in every way that Linux documents. For want of our own it is told apart from what the peer has done, and
// neither ejects nor paces the peer; the attempt never ran in any case.
func TestOwnShortagesAreNoEvidence(t *testing.T) {
	for errno, want := range map[syscall.Errno]routing.Result{
		syscall.EMFILE: routing.LocalResourcesExhausted, syscall.ENFILE: routing.LocalResourcesExhausted, syscall.ENOBUFS: routing.LocalResourcesExhausted, syscall.ENOMEM: routing.LocalResourcesExhausted,
		syscall.EADDRNOTAVAIL: routing.Unreachable, syscall.EAGAIN: routing.Unreachable, syscall.ENETUNREACH: routing.Unreachable,
		syscall.EHOSTUNREACH: routing.Unreachable, syscall.EACCES: routing.Unreachable, syscall.EPERM: routing.Unreachable, syscall.EADDRINUSE: routing.Unreachable,
		syscall.ECONNREFUSED: routing.ConnectFailed, syscall.ECONNRESET: routing.ConnectFailed, syscall.ETIMEDOUT: routing.ConnectFailed,
	} {
		b := newHarness()
		b.send(1, "r1")
		err := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)}
		for range 1 + maxRedials { // a reset dial is made again
			if len(b.results) == 0 {
				b.dials[len(b.dials)-1].Failed(fmt.Errorf("attempt: %w", err))
			}
		}
		if d := cmp.Diff(map[handle.Handle]routing.Result{1: want}, b.results); d != "" {
			t.Errorf("%v: %s", errno, d)
		}
		if own := b.pools.Counters.LocalResourceErrors != 0; own != (want != routing.ConnectFailed) || b.pools.NumConns() != 0 {
			t.Errorf("%v: %d shortages counted, %d connections left", errno, b.pools.Counters.LocalResourceErrors, b.pools.NumConns())
		}
	}
}
