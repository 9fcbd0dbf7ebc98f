package eventloop

import (
	"sync"
	"time"
)

// warningInterval is the minimum time between two logged warnings.
const warningInterval = time.Second

// logger is the gnet Logger that logs warnings and errors. It may be used from any goroutine. Warnings are
// rate-limited: gnet logs one for each event on a connection that is closed already, and clients can cause any number
// of such events.
type logger struct {
	logf        func(string, ...any)
	now         func() time.Time
	mu          sync.Mutex
	lastWarning time.Time
}

// Debugf implements gnet's Logger. It discards the message.
func (l *logger) Debugf(string, ...any) {}

// Infof implements gnet's Logger. It discards the message.
func (l *logger) Infof(string, ...any) {}

// Warnf implements gnet's Logger. It logs at most one warning each warningInterval and discards the others.
func (l *logger) Warnf(format string, a ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if now.Sub(l.lastWarning) < warningInterval {
		return
	}
	l.lastWarning = now
	l.logf("gnet: "+format, a...)
}

// Errorf implements gnet's Logger.
func (l *logger) Errorf(format string, a ...any) { l.logf("gnet: "+format, a...) }

// Fatalf implements gnet's Logger. It logs the message and does not end the process.
func (l *logger) Fatalf(format string, a ...any) { l.logf("gnet: "+format, a...) }
