package discovery

import (
	"bytes"
	"errors"
	"strconv"
	"syscall"

	"go.uber.org/zap"

	"shaleyard/internal/eventloop"
	"shaleyard/internal/timer"
	"shaleyard/routing"
)

// watch is one call to the discovery service: a dial, and the connection that results from it.
type watch struct {
	watcher       *Watcher
	address       string         // of the service
	cancelDial    func()         // gives the dial up
	conn          eventloop.Conn // nil: the dial has not succeeded yet
	ended         bool           // the call is not in progress any more
	overdue       bool           // the call has made no progress in time, and none since
	progressTimer timer.Timer    // expires when the call becomes overdue

	partial        []byte       // received start of an incomplete line
	lastUsableLine routing.Time // when the last usable line was received; 0: none yet
	revision       uint64       // revision of the last event received, or of the subscription before the first one
	revisionBehind bool         // the service's last heartbeat had a revision before the last applied event
	lagCounted     bool         // the service's revision was before the subscription's, and this has been counted
	caughtUp       bool         // the last line was a heartbeat with the revision of the last applied event
	fullResync     bool         // all events were requested, and the first one, a snapshot, has not been applied yet
}

// awaitProgress restarts the timer that makes the call overdue. When the network fails, a call receives neither lines
// nor a close, while the service's events still count as notified.
func (w *watch) awaitProgress() {
	watcher := w.watcher
	overdueAt := watcher.now() + watcher.timeForProgress(w)
	watcher.timers.Schedule(&w.progressTimer, overdueAt, func() { watcher.handleOverdue(w) })
}

// Opened handles a successful dial: it subscribes. Watches of the service at another address are closed, so that no
// event is applied after one of the service to which this director was redirected. A dial that succeeds when it is
// overdue is in time again, but a call that is scheduled because of it is made nevertheless.
func (w *watch) Opened(conn eventloop.Conn) {
	watcher := w.watcher
	if w.ended {
		_ = conn.Close() // Nothing was sent on this connection, so an error of Close does not matter.
		return
	}
	w.conn = conn
	watcher.discardWhere(func(call *watch) bool { return call.address != w.address })
	isFirst := !watcher.everConnected
	watcher.everConnected = true
	watcher.Counters.Connects++
	w.overdue = false
	w.awaitProgress()
	if err := w.subscribe(); err != nil {
		watcher.endCall(w, EndUnusable)
	}
	if isFirst && watcher.onFirstConnect != nil {
		watcher.onFirstConnect()
	}
}

// subscribe requests the events after the last applied one. If the service's revision was before the last applied event
// on maxWatchesBehind consecutive watches, the service has begun again at revision 1, and subscribe requests all
// events.
func (w *watch) subscribe() error {
	watcher := w.watcher
	from := watcher.revision
	if watcher.watchesBehind >= maxWatchesBehind {
		watcher.Counters.FullResyncs++
		watcher.log.Warn("discovery service restarted its revisions: requesting all events",
			zap.String("address", watcher.address), zap.Uint64("revision", watcher.revision))
		w.fullResync = true
		from = 0
	}
	w.revision = from
	request := strconv.AppendUint([]byte("SUB "), from, 10)
	request = append(request, '\n')
	_, err := w.conn.Writev([][]byte{request})
	return err
}

// Failed handles a failed dial. A connection that is refused or reset (ECONNREFUSED, ECONNRESET) means that the service
// is down. Any other error counts as a timeout: the service is overloaded or unreachable, and more calls would add to
// an overload.
func (w *watch) Failed(err error) {
	if w.ended {
		return
	}
	w.watcher.Counters.ConnectFailures++
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		w.watcher.endCall(w, EndRefused)
		return
	}
	w.watcher.endCall(w, EndTimedOut)
}

// Closed handles the end of the connection. Events count as notified while no watch is up, so a watch that received a
// usable line is replaced soon. The wait after a watch that received none, or closed within its first list, is longer
// to limit the load on a broken service.
func (w *watch) Closed() {
	if !w.ended {
		w.watcher.Counters.Disconnects++
	}
	w.watcher.endCall(w, w.endOnClose())
}

// endOnClose returns the WatchEnd of a watch that is closed by the service or receives an invalid line: EndBroken if
// it had received a usable line before, EndUnusable otherwise.
func (w *watch) endOnClose() WatchEnd {
	if w.lastUsableLine != 0 {
		return EndBroken
	}
	return EndUnusable
}

// endOnSilence returns the WatchEnd that stands for the cause by which a call is overdue: EndBehind if the service's
// revision is behind the last applied event, else EndSilent if the watch had received a usable line, else EndTimedOut.
func (w *watch) endOnSilence() WatchEnd {
	if w.revisionBehind {
		return EndBehind
	}
	if w.lastUsableLine != 0 {
		return EndSilent
	}
	return EndTimedOut
}

// Data handles received bytes and applies the lines that are complete. An invalid line ends the watch, and the next
// watch resumes after the last applied event.
func (w *watch) Data(received []byte) error {
	for len(received) > 0 {
		if w.ended {
			return errWatchReplaced
		}
		end := bytes.IndexByte(received, '\n')
		if end < 0 {
			return w.bufferPartial(received)
		}
		line := w.completeLine(received[:end])
		received = received[end+1:]
		if err := w.applyLine(line); err != nil {
			return err
		}
	}
	return nil
}

// bufferPartial stores the start of an incomplete line, or returns errLineTooLong if the line would exceed
// MaxWatchLineBytes.
func (w *watch) bufferPartial(start []byte) error {
	if len(w.partial)+len(start) > w.watcher.limits.MaxWatchLineBytes {
		w.watcher.Counters.BadLines++
		return errLineTooLong
	}
	w.watcher.limitBufferedBytes(w, len(start))
	w.partial = append(w.partial, start...)
	return nil
}

// completeLine returns the line that consists of the buffered start and tail. The returned slice is valid until the
// next call of bufferPartial or completeLine.
func (w *watch) completeLine(tail []byte) []byte {
	if len(w.partial) == 0 {
		return tail
	}
	w.partial = append(w.partial, tail...)
	return w.partial
}

// applyLine applies a complete line. An invalid line ends the watch and is returned as an error. A line while the
// service's revision is behind the last applied event is not usable: the service must catch up.
func (w *watch) applyLine(line []byte) error {
	watcher := w.watcher
	watcher.Counters.Lines++
	if err := watcher.applyLine(line, w); err != nil {
		watcher.Counters.BadLines++
		watcher.log.Warn("invalid line from discovery service",
			zap.String("address", w.address), zap.Error(err))
		watcher.endCall(w, w.endOnClose())
		return err
	}
	w.partial = w.partial[:0]
	if !w.revisionBehind {
		watcher.recordUsableLine(w)
	}
	return nil
}
