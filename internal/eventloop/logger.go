package eventloop

import (
	"sync"
	"time"
)

// warningInterval is the least time between two warnings that are passed on.
const warningInterval = time.Second

// logger passes on gnet's warnings and errors, from any goroutine. Warnings are rate-limited: gnet has one for each
// event that finds its connection closed, and clients could cause those in any number.
type logger struct {
	logf        func(string, ...any)
	now         func() time.Time
	mu          sync.Mutex
	lastWarning time.Time
}

// Debugf implements gnet's Logger: nothing is logged.
func (l *logger) Debugf(string, ...any) {}

// Infof implements gnet's Logger: nothing is logged.
func (l *logger) Infof(string, ...any) {}

// Warnf implements gnet's Logger.
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

// Fatalf implements gnet's Logger. It does not end the process.
func (l *logger) Fatalf(format string, a ...any) { l.logf("gnet: "+format, a...) }
