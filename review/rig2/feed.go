package rig2

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Endpoint is an entry of the list of servers.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

// Feed is a stand-in for the control feed.
type Feed struct {
	listener net.Listener
	record   *Record
	mu       sync.Mutex
	events   []string // event i has the number i+1
	index    int
	conns    map[*feedConn]bool
	silent   bool // new and open connections are told nothing
	beats    chan struct{}
}

type feedConn struct {
	net.Conn
	told int // number of events that were told
}

// StartFeed starts a feed whose first event is the full list.
func StartFeed(record *Record, list []Endpoint) (*Feed, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &Feed{listener: listener, record: record, conns: map[*feedConn]bool{}, beats: make(chan struct{})}
	f.addMembers(true, list)
	go f.accept()
	go f.beat()
	return f, nil
}

// Address returns the address at which the feed listens.
func (f *Feed) Address() string { return f.listener.Addr().String() }

// Close ends the feed.
func (f *Feed) Close() {
	_ = f.listener.Close()
	f.Break()
}

// Known returns the events up to now, for a configuration.
func (f *Feed) Known() map[string]any {
	f.mu.Lock()
	defer f.mu.Unlock()
	events := make([]json.RawMessage, 0, len(f.events))
	for _, event := range f.events {
		events = append(events, json.RawMessage(event))
	}
	return map[string]any{"n": len(events), "events": events}
}

func (f *Feed) addMembers(snapshot bool, list []Endpoint) {
	f.index++
	text, _ := json.Marshal(map[string]any{
		"n":       len(f.events) + 1,
		"members": map[string]any{"index": f.index, "snapshot": snapshot, "endpoints": list},
	})
	f.events = append(f.events, string(text))
}

// Members adds an event with changed entries of the list.
func (f *Feed) Members(list ...Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addMembers(false, list)
	f.record.Logf("feed: event %s", f.events[len(f.events)-1])
	f.tellAll()
}

// Silence has the feed tell nothing on open and new connections, or ends that.
func (f *Feed) Silence(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = on
	f.record.Logf("feed: silent %v", on)
	f.tellAll()
}

// Break closes all open connections.
func (f *Feed) Break() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for conn := range f.conns {
		_ = conn.Close()
	}
	f.record.Logf("feed: open connections closed")
}

func (f *Feed) tellAll() {
	for conn := range f.conns {
		f.tell(conn)
	}
}

func (f *Feed) tell(conn *feedConn) {
	for !f.silent && conn.told < len(f.events) {
		_, _ = fmt.Fprintf(conn, "%s\n", f.events[conn.told])
		conn.told++
	}
}

func (f *Feed) beat() {
	for range time.Tick(time.Second) {
		f.mu.Lock()
		for conn := range f.conns {
			if !f.silent {
				_, _ = fmt.Fprintf(conn, "%d\n", conn.told)
			}
		}
		f.mu.Unlock()
		select {
		case f.beats <- struct{}{}:
		default:
		}
	}
}

// WaitBeat waits until the feed has written its next line with the last number.
func (f *Feed) WaitBeat() { <-f.beats }

func (f *Feed) accept() {
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.serve(&feedConn{Conn: conn})
	}
}

func (f *Feed) serve(conn *feedConn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	if err != nil {
		return
	}
	last, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, "SUB ")))
	if err != nil {
		return
	}
	f.record.Logf("feed: SUB %d", last)
	f.mu.Lock()
	conn.told = last
	f.conns[conn] = true
	f.tell(conn)
	f.mu.Unlock()
	_, _ = reader.ReadByte() // until the director or Break closes the connection
	f.mu.Lock()
	delete(f.conns, conn)
	f.mu.Unlock()
}

// PurgeAt adds an event with a purge of an object that happened at the given time.
func (f *Feed) PurgeAt(object string, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	event := fmt.Sprintf(`{"n":%d,"purge":{"key":%q,"at":%d}}`, len(f.events)+1, object, at.UnixMilli())
	f.events = append(f.events, event)
	f.record.Logf("feed: event %s", event)
	f.tellAll()
}
