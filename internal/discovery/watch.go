package discovery

import (
	"bytes"
	"errors"
	"strconv"
	"syscall"

	"go.uber.org/zap"

	"shaleyard/internal/eventloop"
)

// watch is one call of the list service: a dial, and the connection that comes of it.
type watch struct {
	watcher        *Watcher
	conn           eventloop.Conn
	partial        []byte // start of a line whose end has not come
	productive     bool   // a usable line has come
	revisionBehind bool   // the service's revision was behind ours when it last said it
	fullResync     bool   // everything was requested: the first event replaces all that is known
}

// Opened takes a dial that has succeeded. From now on this watch is followed, and one before it is closed, so that no
// event comes twice or out of order.
func (w *watch) Opened(conn eventloop.Conn) {
	watcher := w.watcher
	if watcher.dialing != w {
		_ = conn.Close() // Nothing was sent on it, and nothing depends on how it ends.
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

// subscribe requests all events behind the last one that was applied, or all there are if the service numbers its
// events anew.
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

// Failed takes a dial that has failed. If it was refused or reset, the service is down; if it took too long, the
// service is overloaded or unreachable, and more calls would make that worse.
func (w *watch) Failed(err error) {
	w.watcher.Counters.ConnectFailures++
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		w.watcher.endWatch(w, EndRefused)
		return
	}
	w.watcher.endWatch(w, EndTimedOut)
}

// Closed takes the end of the connection. Events count as notified while the watch is down, so a productive watch is
// replaced soon; the wait after one that never was, or broke off within a list, is longer, to spare a broken service.
func (w *watch) Closed() {
	if w.watcher.active == w {
		w.watcher.Counters.Disconnects++
	}
	w.watcher.endWatch(w, w.endOnClose())
}

// endOnClose is how the watch ends if it is closed, or brings a line that can't be used.
func (w *watch) endOnClose() WatchEnd {
	if w.productive {
		return EndBroken
	}
	return EndUnusable
}

// endOnSilence is how the watch ends if nothing has come for too long.
func (w *watch) endOnSilence() WatchEnd {
	if w.revisionBehind {
		return EndUnusable
	}
	if w.productive {
		return EndSilent
	}
	return EndTimedOut
}

// Data takes received bytes and applies the lines that are complete. A line that can't be used ends the watch, and the
// next one resumes behind the last event that was applied.
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

// bufferPartial keeps the start of a line, up to the limit of a line's length.
func (w *watch) bufferPartial(start []byte) error {
	if len(w.partial)+len(start) > w.watcher.limits.MaxWatchLineBytes {
		w.watcher.Counters.BadLines++
		return errLineTooLong
	}
	w.partial = append(w.partial, start...)
	return nil
}

// completeLine returns the line that ends with tail. It is valid until the next bytes are buffered.
func (w *watch) completeLine(tail []byte) []byte {
	if len(w.partial) == 0 {
		return tail
	}
	w.partial = append(w.partial, tail...)
	return w.partial
}

// applyLine applies a complete line and resets the timer of silence.
func (w *watch) applyLine(line []byte) error {
	watcher := w.watcher
	watcher.Counters.Lines++
	if err := watcher.applyLine(line, w); err != nil {
		watcher.Counters.BadLines++
		watcher.log.Warn("discovery line can't be used", zap.String("address", watcher.address), zap.Error(err))
		watcher.endWatch(w, w.endOnClose())
		return err
	}
	w.partial = w.partial[:0]
	if w.revisionBehind { // The service is alive but has no news: it has the time until the timer runs out to catch up.
		return nil
	}
	watcher.resetSilenceTimer(w)
	w.productive = true
	watcher.lastUsableLine = watcher.now()
	if !watcher.redirecting { // Lines of the old service say nothing of calls of the new one.
		watcher.backoff.RecordUsableLine(watcher.now())
	}
	return nil
}
