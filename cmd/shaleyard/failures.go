package main

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"shaleyard/routing"
)

// failureLogInterval is the shortest time between two log lines on failures of a kind.
const failureLogInterval = time.Second

// connectionFailures counts client connections that failed, and logs some of them.
type connectionFailures struct {
	log *zap.Logger
	now func() routing.Time

	rejected           uint64
	nextRejectionLogAt routing.Time // no line on a rejected connection before

	// Accepts fail on a goroutine of their own, not on the event loop.
	accepts        atomic.Uint64
	acceptLogLimit rate.Sometimes
}

func newConnectionFailures(log *zap.Logger, now func() routing.Time) *connectionFailures {
	return &connectionFailures{log: log, now: now, acceptLogLimit: rate.Sometimes{Interval: failureLogInterval}}
}

// onConnectionRejected counts a connection that was closed for what came on it. It logs one a second at most: a client
// that sends junk must not have the event loop write a line for each message.
func (f *connectionFailures) onConnectionRejected(reason error) {
	f.rejected++
	now := f.now()
	if now < f.nextRejectionLogAt {
		return
	}
	f.nextRejectionLogAt = now + failureLogInterval
	f.log.Info(
		"connection closed for a protocol error",
		zap.Uint64("count", f.rejected),
		zap.NamedError("cause", reason),
	)
}

// onAcceptFailed counts an accept that failed and is tried again. It may be called from any goroutine.
func (f *connectionFailures) onAcceptFailed(cause error) {
	count := f.accepts.Add(1)
	f.acceptLogLimit.Do(func() {
		f.log.Warn("accept failed, retrying", zap.Uint64("count", count), zap.NamedError("cause", cause))
	})
}
