package discovery

import (
	"bytes"
	"errors"
	"strconv"
	"syscall"

	"go.uber.org/zap"

	"shaleyard/internal/eventloop"
)

// watch is one call to the discovery service: a dial, and the connection that results from it.
type watch struct {
	watcher        *Watcher
	conn           eventloop.Conn
	partial        []byte // received start of an incomplete line
	usable         bool   // a usable line has been received
	revisionBehind bool   // the service's last heartbeat had a revision before the last applied event
	fullResync     bool   // all events were requested, and the first one, a snapshot, has not been applied yet
}

// Opened handles a successful dial: it makes this watch the active one and subscribes. The previous watch is closed, so
// that no event is received twice or out of order.
func (w *watch) Opened(conn eventloop.Conn) {
	watcher := w.watcher
	if watcher.dialing != w {
		_ = conn.Close() // Nothing was sent on this connection, so an error of Close does not matter.
		return
	}
	if previous := watcher.active; previous != nil {
		_ = previous.conn.Close()
	}
	w.conn = conn
	watcher.active = w
	watcher.dialing = nil
	watcher.redirecting = false
	isFirst := !watcher.everConnected
	watcher.everConnected = true
	watcher.Counters.Connects++
	watcher.resetSilenceTimer(w)
	if err := w.subscribe(); err != nil {
		watcher.endWatch(w, EndUnusable)
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
	request := strconv.AppendUint([]byte("SUB "), from, 10)
	request = append(request, '\n')
	_, err := w.conn.Writev([][]byte{request})
	return err
}

// Failed handles a failed dial. A connection that is refused or reset (ECONNREFUSED, ECONNRESET) means that the service
// is down. Any other error counts as a timeout: the service is overloaded or unreachable, and more calls would add to
// an overload.
func (w *watch) Failed(err error) {
	w.watcher.Counters.ConnectFailures++
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		w.watcher.endWatch(w, EndRefused)
		return
	}
	w.watcher.endWatch(w, EndTimedOut)
}

// Closed handles the end of the connection. Events count as notified while no watch is up, so a watch that received a
// usable line is replaced soon. The wait after a watch that received none, or closed within its first list, is longer
// to limit the load on a broken service.
func (w *watch) Closed() {
	if w.watcher.active == w {
		w.watcher.Counters.Disconnects++
	}
	w.watcher.endWatch(w, w.endOnClose())
}

// endOnClose returns the WatchEnd of a watch that is closed by the service or receives an invalid line: EndBroken if
// it had received a usable line before, EndUnusable otherwise.
func (w *watch) endOnClose() WatchEnd {
	if w.usable {
		return EndBroken
	}
	return EndUnusable
}

// endOnSilence returns the WatchEnd of a watch whose silence timer expires: EndUnusable if the service's revision is
// behind the last applied event, else EndSilent if the watch had received a usable line, else EndTimedOut.
func (w *watch) endOnSilence() WatchEnd {
	if w.revisionBehind {
		return EndUnusable
	}
	if w.usable {
		return EndSilent
	}
	return EndTimedOut
}

// Data handles received bytes and applies the lines that are complete. An invalid line ends the watch, and the next
// watch resumes after the last applied event.
func (w *watch) Data(received []byte) error {
	for len(received) > 0 {
		if w.watcher.active != w {
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

// applyLine applies a complete line and resets the silence timer. An invalid line ends the watch and is returned as an
// error. The timer is not reset while the service's revision is behind the last applied event.
func (w *watch) applyLine(line []byte) error {
	watcher := w.watcher
	watcher.Counters.Lines++
	if err := watcher.applyLine(line, w); err != nil {
		watcher.Counters.BadLines++
		watcher.log.Warn("invalid line from discovery service",
			zap.String("address", watcher.address), zap.Error(err))
		watcher.endWatch(w, w.endOnClose())
		return err
	}
	w.partial = w.partial[:0]
	if w.revisionBehind { // The service must catch up before the silence timer expires.
		return nil
	}
	watcher.resetSilenceTimer(w)
	w.usable = true
	watcher.lastUsableLine = watcher.now()
	if !watcher.redirecting { // Lines of the old service are no evidence about the new one.
		watcher.backoff.RecordUsableLine(watcher.now())
	}
	return nil
}
