package downstream

import "shaleyard/routing"

// outputHistory holds where the messages end that were written to a connection, as far as they are of interest: those
// that may still be in the program's buffer, and the latest ones.
type outputHistory struct {
	written  int64 // bytes written to the socket or to the program's buffer for it
	messages []writtenMessage
}

// writtenMessage is a message that was written to a connection.
type writtenMessage struct {
	end    int64 // bytes written to the connection up to the end of the message
	at     routing.Time
	answer bool // the answer to a submitted request
}

// add appends a message of the given size in bytes, written at the time now; answer is whether it answers a submitted
// request. unsent is the number of bytes in the program's buffer before the message is written. add forgets messages of
// which the socket has accepted all, except the latest ones, whose number is keep.
func (h *outputHistory) add(now routing.Time, size int, answer bool, unsent, keep int) {
	accepted := h.written - int64(unsent)
	forget := 0
	for len(h.messages)-forget > keep && h.messages[forget].end <= accepted {
		forget++
	}
	h.messages = append(h.messages[:0], h.messages[forget:]...)
	h.written += int64(size)
	h.messages = append(h.messages, writtenMessage{end: h.written, at: now, answer: answer})
}

// countWithin returns the number of messages of which a part is among the last bytes that were written.
func (h *outputHistory) countWithin(lastBytes int) int {
	begin := h.written - int64(lastBytes)
	count := 0
	for i := len(h.messages) - 1; i >= 0 && h.messages[i].end > begin; i-- {
		count++
	}
	return count
}

// oldestWithin returns when the oldest message was written of which a part is among the last bytes that were written.
// ok is false if there is none.
func (h *outputHistory) oldestWithin(lastBytes int) (writtenAt routing.Time, ok bool) {
	count := h.countWithin(lastBytes)
	if count == 0 {
		return 0, false
	}
	return h.messages[len(h.messages)-count].at, true
}

// sizeOfLatest returns the number of bytes from the beginning of the count-th latest answer on, or of all that was
// written if fewer answers are known.
func (h *outputHistory) sizeOfLatest(count int) int {
	for i := len(h.messages) - 1; i > 0; i-- {
		if !h.messages[i].answer {
			continue
		}
		if count--; count == 0 {
			return int(h.written - h.messages[i-1].end)
		}
	}
	return int(h.written)
}

// unsentMessages returns the number of messages that the socket has not accepted in whole.
func (c *Connection) unsentMessages() int { return c.output.countWithin(c.socket.OutboundBuffered()) }
