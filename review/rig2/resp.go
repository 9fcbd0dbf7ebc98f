package rig2

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

var errCommand = errors.New("command that can't be read")

// Call is a command that a server received: REQ with its id, fields and body, or STOP with its id.
type Call struct {
	Word   string
	ID     string
	Fields map[string]string
	Body   []byte
	Conn   *ServerConn
}

// ServerConn is a director's connection to a server.
type ServerConn struct {
	net.Conn
	mu    sync.Mutex
	ended bool // nothing more is written
}

// Answer writes an answer in the form of the protocol page: ID WORD FIELDS BODY.
func (c *ServerConn) Answer(id, word, fields string, body []byte) {
	c.Raw(Encode(id, word, fields, string(body)))
}

// Raw writes bytes as they are.
func (c *ServerConn) Raw(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		_, _ = c.Write(data)
	}
}

// Last writes bytes and nothing after them. The connection stays open.
func (c *ServerConn) Last(data []byte) {
	c.Raw(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
}

// Pieces writes bytes in small pieces, a millisecond apart.
func (c *ServerConn) Pieces(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.ended && len(data) > 0 {
		size := min(len(data), maxPiece)
		_, _ = c.Write(data[:size])
		data = data[size:]
		time.Sleep(time.Millisecond)
	}
}

const maxPiece = 150

// Encode returns a RESP array of bulk strings.
func Encode(parts ...string) []byte {
	text := fmt.Sprintf("*%d\r\n", len(parts))
	for _, part := range parts {
		text += fmt.Sprintf("$%d\r\n%s\r\n", len(part), part)
	}
	return []byte(text)
}

// Server is a stand-in for a cache, a parent or the origin.
type Server struct {
	Name     string
	listener net.Listener
	handle   func(*Call)
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

// StartServer listens on a free loopback port, or on the given address, and passes each command to handle, which is
// called in a goroutine of its own.
func StartServer(name, address string, handle func(*Call)) (*Server, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{Name: name, listener: listener, handle: handle, conns: map[net.Conn]bool{}}
	go s.accept()
	return s, nil
}

// Address returns the address at which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends the server and its connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go s.serve(&ServerConn{Conn: conn})
	}
}

func (s *Server) serve(conn *ServerConn) {
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		delete(s.conns, conn.Conn)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		parts, err := readArray(reader)
		if err != nil {
			return
		}
		call, err := parseCall(parts)
		if err != nil {
			return
		}
		call.Conn = conn
		go s.handle(call)
	}
}

func parseCall(parts []string) (*Call, error) {
	switch {
	case len(parts) == 4 && parts[0] == "REQ":
		fields := map[string]string{}
		for field := range strings.SplitSeq(parts[2], ",") {
			name, value, _ := strings.Cut(field, "=")
			fields[name] = value
		}
		return &Call{Word: "REQ", ID: parts[1], Fields: fields, Body: []byte(parts[3])}, nil
	case len(parts) == 2:
		return &Call{Word: parts[0], ID: parts[1]}, nil
	}
	return nil, errCommand
}

func readArray(reader *bufio.Reader) ([]string, error) {
	count, err := readHeader(reader, '*')
	if err != nil {
		return nil, err
	}
	parts := make([]string, 0, count)
	for range count {
		length, err := readHeader(reader, '$')
		if err != nil {
			return nil, err
		}
		data := make([]byte, length+2)
		if _, err := io.ReadFull(reader, data); err != nil {
			return nil, err
		}
		parts = append(parts, string(data[:length]))
	}
	return parts, nil
}

func readHeader(reader *bufio.Reader, prefix byte) (int, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if len(line) < 4 || line[0] != prefix {
		return 0, errCommand
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}
