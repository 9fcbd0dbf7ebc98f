package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// feed is the stand-in for the control feed. It tells every event once and in order, and the last number each second.
type feed struct {
	rec     *record
	address string

	mu       sync.Mutex
	events   []string // the event with number n stands at n-1
	listener net.Listener
	streams  map[net.Conn]bool
}

func startFeed(rec *record) (*feed, error) {
	f := &feed{rec: rec, address: "127.0.0.1:0", streams: map[net.Conn]bool{}}
	return f, f.up()
}

// up has the feed accept calls at its address.
func (f *feed) up() error {
	listener, err := net.Listen("tcp", f.address)
	if err != nil {
		return err
	}
	f.rec.log("feed is up")
	f.mu.Lock()
	f.address, f.listener = listener.Addr().String(), listener
	f.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go f.serve(conn)
		}
	}()
	return nil
}

// down ends the feed's process in the middle of an event: it writes half of the event to each stream and closes it, and
// refuses all calls from then on. The event is in the feed, and is told once the feed is up again.
func (f *feed) down(content string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.listener.Close()
	event := f.append(content)
	for conn := range f.streams {
		_, _ = conn.Write([]byte(event[:len(event)/2]))
		_ = conn.Close()
	}
	f.rec.log("feed is down in the middle of event %d", len(f.events))
}

// add appends an event, given without its number.
func (f *feed) add(content string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.append(content)
}

func (f *feed) append(content string) (event string) {
	event = fmt.Sprintf(`{"n":%d,%s}`, len(f.events)+1, content)
	f.events = append(f.events, event)
	f.rec.log("feed event %s", event)
	return event
}

func (f *feed) serve(conn net.Conn) {
	defer conn.Close()
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return
	}
	f.rec.log("feed call %q", strings.TrimSpace(line))
	next, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, "SUB ")))
	if err != nil {
		return
	}
	var beat time.Time
	for err == nil {
		next, err = f.tell(conn, next, &beat)
		time.Sleep(5 * time.Millisecond)
	}
	f.mu.Lock()
	delete(f.streams, conn)
	f.mu.Unlock()
}

// tell writes the events behind a number and, each second, the last number. It returns the number of the last event.
func (f *feed) tell(conn net.Conn, told int, beat *time.Time) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.streams[conn] = true
	text := ""
	for _, event := range f.events[min(told, len(f.events)):] {
		text += event + "\n"
	}
	if time.Since(*beat) >= time.Second {
		*beat = time.Now()
		text += fmt.Sprintf("{\"n\":%d}\n", len(f.events))
	}
	if _, err := conn.Write([]byte(text)); err != nil {
		return told, err
	}
	if told < len(f.events) {
		f.rec.log("feed has told all up to event %d", len(f.events))
	}
	return len(f.events), nil
}
