package main

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"shaleyard/routing"
)

// failureLogInterval is the minimum time between two log lines for failures of the same kind.
const failureLogInterval = time.Second

// connectionFailures counts failed accepts and connections closed for a protocol error. It logs both at a limited rate.
type connectionFailures struct {
	log *zap.Logger
	now func() routing.Time

	rejectedConns      uint64
	nextRejectionLogAt routing.Time // a rejected connection is not logged before this time

	// Failed accepts are reported by the accepting goroutine, not by the event loop.
	failedAccepts  atomic.Uint64
	acceptLogLimit rate.Sometimes
}

func newConnectionFailures(log *zap.Logger, now func() routing.Time) *connectionFailures {
	return &connectionFailures{log: log, now: now, acceptLogLimit: rate.Sometimes{Interval: failureLogInterval}}
}

// onConnectionRejected counts a connection that is closed because the input from a client, an upstream server or the
// discovery service is invalid or could not be handled. It logs at most one such connection per failureLogInterval.
// Otherwise a client that connects and sends invalid data again and again could make the event loop write a log line
// for each of its connections.
func (f *connectionFailures) onConnectionRejected(reason error) {
	f.rejectedConns++
	now := f.now()
	if now < f.nextRejectionLogAt {
		return
	}
	f.nextRejectionLogAt = now + failureLogInterval
	f.log.Info(
		"connection closed for a protocol error",
		zap.Uint64("count", f.rejectedConns),
		zap.NamedError("cause", reason),
	)
}

// onAcceptFailed counts a failed accept, which the listener retries. It may be called from any goroutine.
func (f *connectionFailures) onAcceptFailed(cause error) {
	count := f.failedAccepts.Add(1)
	f.acceptLogLimit.Do(func() {
		f.log.Warn("accept failed, retrying", zap.Uint64("count", count), zap.NamedError("cause", cause))
	})
}
