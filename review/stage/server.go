package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// purged is a purge of an object: copies from before it are dropped at the given time.
type purged struct{ at, dropped time.Time }

// servedCopy is an answer with an object that is purged at some time.
type servedCopy struct {
	request  string
	received time.Time // when the first bytes of the request were there
	since    time.Time // when the origin gave out the copy
}

// server is the stand-in for a cache, a parent or the origin. It holds every object and answers each request after a
// short time with a hit. The size of an object is the last five hexadecimal digits of its id.
type server struct {
	name     string
	rec      *record
	listener net.Listener
	delay    time.Duration
	since    time.Time

	mu  sync.Mutex
	ran map[string]int // by id of the request: how often it has run here
	// purged holds the purges that caches have yet to carry out: for up to 6 s they keep the older copy.
	purged map[string]purged
	// served holds the answers with a purged object.
	served []servedCopy
}

func startServer(rec *record, name string, delay time.Duration) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{name: name, rec: rec, listener: listener, delay: delay, since: time.Now(), ran: map[string]int{},
		purged: map[string]purged{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s, nil
}

func (s *server) address() string { return s.listener.Addr().String() }

// serve reads commands, and answers each request on its own goroutine, in any order.
func (s *server) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReaderSize(conn, 64<<10)
	out := &sync.Mutex{}
	stopped := &sync.Map{}
	for {
		words, err := readCommand(reader)
		if err != nil {
			return
		}
		switch {
		case words[0] == "STOP" && len(words) == 2:
			s.rec.log("%s stop %s", s.name, words[1])
			stopped.Store(words[1], true)
		case words[0] == "HELO" && len(words) == 2:
			out.Lock()
			_, _ = conn.Write(encode(words[1], "UP"))
			out.Unlock()
		case words[0] == "REQ" && len(words) == 4:
			go s.answer(conn, out, stopped, words, time.Now())
		default:
			s.rec.log("%s unknown command %.80q", s.name, words)
			return
		}
	}
}

func (s *server) answer(conn net.Conn, out *sync.Mutex, stopped *sync.Map, words []string, received time.Time) {
	id, fields := words[1], parseFields(words[2])
	s.rec.log("%s request %s %s body %d", s.name, id, words[2], len(words[3]))
	time.Sleep(s.delay)
	if _, gone := stopped.Load(id); gone {
		return
	}
	since := s.copyOf(id, fields, received)
	body := objectBody(fields["asset"])
	if fields["sort"] == "repayment" {
		body = []byte("recorded " + id)
	}
	s.mu.Lock()
	s.ran[id]++
	s.mu.Unlock()
	told := fmt.Sprintf("rev=%s,since=%d,n=HIT,l=inflight:1;util:0.1;x1:0.1;x0:0.9", fields["asset"],
		since.UnixMilli())
	text := encode(id, "OK", told, string(body))
	out.Lock()
	defer out.Unlock()
	if _, err := conn.Write(text); err == nil {
		s.rec.log("%s ran %s, answered %d bytes", s.name, id, len(body))
	}
}

// runs returns how often a request has run at all servers together.
func (s *stage) runs(id string) int {
	count := 0
	for _, server := range append([]*server{s.origin}, s.caches...) {
		server.mu.Lock()
		count += server.ran[id]
		server.mu.Unlock()
	}
	return count
}

// copyOf returns since when the server has the copy that it answers a request with. It is the copy from the start until
// the server drops it or the request does not admit one of its age; then a new one is fetched.
func (s *server) copyOf(id string, fields map[string]string, received time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	purge, ok := s.purged[fields["asset"]]
	if !ok {
		return s.since
	}
	since, now := s.since, time.Now()
	limit, _ := strconv.Atoi(fields["cap"])
	tooOld := limit > 0 && now.Sub(since) > time.Duration(limit)*time.Millisecond
	if now.After(purge.dropped) || now.After(purge.at) && tooOld {
		since = now
	}
	s.served = append(s.served, servedCopy{request: id, received: received, since: since})
	return since
}

// purge tells the server that an object is purged. It keeps the older copy for the given time.
func (s *server) purge(object string, at time.Time, keep time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.purged[object] = purged{at: at, dropped: at.Add(keep)}
}

func parseFields(text string) map[string]string {
	fields := map[string]string{}
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(field, "=")
		fields[name] = value
	}
	return fields
}

// objectBody returns the bytes of an object, which follow from its id.
func objectBody(id string) []byte {
	size, _ := strconv.ParseUint(id[len(id)-5:], 16, 32)
	body := make([]byte, size)
	for i := range body {
		body[i] = id[i%len(id)]
	}
	return body
}

func encode(words ...string) []byte {
	b := fmt.Appendf(nil, "*%d\r\n", len(words))
	for _, word := range words {
		b = fmt.Appendf(b, "$%d\r\n", len(word))
		b = append(b, word...)
		b = append(b, '\r', '\n')
	}
	return b
}

func readCommand(reader *bufio.Reader) ([]string, error) {
	count, err := readCount(reader, '*')
	if err != nil || count < 1 || count > 8 {
		return nil, errors.Join(err, errShort)
	}
	words := make([]string, count)
	for i := range words {
		size, err := readCount(reader, '$')
		if err != nil || size < 0 || size > 1<<20 {
			return nil, errors.Join(err, errShort)
		}
		content := make([]byte, size+2)
		if _, err := io.ReadFull(reader, content); err != nil {
			return nil, err
		}
		words[i] = string(content[:size])
	}
	return words, nil
}

func readCount(reader *bufio.Reader, prefix byte) (int, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if len(line) < 4 || line[0] != prefix {
		return 0, errShort
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}
