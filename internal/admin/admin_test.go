package admin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// fakeProcess implements Process. It is ready unless it is drained or stopping, and counts the reported calls.
type fakeProcess struct {
	drained, stopping atomic.Bool
	called            atomic.Int64
}

func (p *fakeProcess) Ready() (bool, string) {
	return !p.drained.Load() && !p.stopping.Load(), "drained"
}

func (p *fakeProcess) Drain() { p.drained.Store(true) }

func (p *fakeProcess) RecordCall(string, string, int) { p.called.Add(1) }

func (p *fakeProcess) Resume() bool {
	p.drained.Store(p.stopping.Load())
	return !p.stopping.Load()
}

func startServer(t *testing.T, maxConns int) (*Server, *fakeProcess) {
	t.Helper()
	process := &fakeProcess{}
	server, err := Listen("127.0.0.1:0", maxConns, process)
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve()
	t.Cleanup(server.Close)
	return server, process
}

// dialServer opens a connection to the server, which is closed at the end of the test.
func dialServer(t *testing.T, server *Server) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", server.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// callStatus sends the text of a call unchanged and returns the status code of the answer.
func callStatus(t *testing.T, server *Server, call string) int {
	t.Helper()
	conn := dialServer(t, server)
	if err := conn.SetDeadline(time.Now().Add(time.Second)); err != nil { // operators wait at most that long
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, call) // may fail: a call that is too long can be answered before its end is sent
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("%.40q: %v", call, err)
	}
	defer answer.Body.Close()
	if !answer.Close {
		t.Errorf("%.40q: the connection is kept open for a second call", call)
	}
	return answer.StatusCode
}

// requestText returns the text of an HTTP request without a body.
func requestText(method, path string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: director\r\n\r\n", method, path)
}

func TestCallsReturnExpectedStatus(t *testing.T) {
	server, process := startServer(t, 8)
	for _, tc := range []struct { // the order matters: each row depends on the state that the row before has left
		name, call string
		want       int
	}{
		{"ready", requestText("GET", "/healthcheck"), 200},
		{"drain", requestText("PUT", "/healthcheck/fail"), 200},
		{"drain again", requestText("PUT", "/healthcheck/fail"), 200},
		{"not ready", requestText("GET", "/healthcheck"), 503},
		{"not ready, HEAD", requestText("HEAD", "/healthcheck"), 503},
		{"resume", requestText("PUT", "/healthcheck/ok"), 200},
		{"ready again", requestText("GET", "/healthcheck"), 200},
		{"PUT of the health check", requestText("PUT", "/healthcheck"), 405},
		{"GET of the drain", requestText("GET", "/healthcheck/fail"), 405},
		{"DELETE", requestText("DELETE", "/healthcheck/ok"), 405},
		{"unknown path", requestText("GET", "/healthcheck/else"), 404},
		{"root", requestText("GET", "/"), 404},
		{"not HTTP", "nonsense\r\n\r\n", 400},
		{"header too large",
			"GET /healthcheck HTTP/1.1\r\nHost: director\r\nX: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", 431},
		{"resume with a body", "PUT /healthcheck/ok HTTP/1.1\r\nHost: director\r\nContent-Length: 5\r\n\r\nhello", 200},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := callStatus(t, server, tc.call); got != tc.want {
				t.Errorf("%.40q: got status %d, want %d", tc.call, got, tc.want)
			}
		})
	}
	process.stopping.Store(true)
	if got := callStatus(t, server, requestText("PUT", "/healthcheck/ok")); got != 409 {
		t.Errorf("resume while stopping: got status %d, want 409", got)
	}
	if n := process.called.Load(); n != 5 {
		t.Errorf("got %d reported calls, want 5: all drains and resumes", n)
	}
}

// Hundreds of callers connect and never complete a call. A complete call must still be answered in time, and the number
// of open connections must stay within the limit.
func TestIncompleteCallsDoNotDelayOthers(t *testing.T) {
	unfinished := []string{"", "GET /heal", "PUT /healthcheck/fail HTTP/1.1\r\nHost"}
	server, _ := startServer(t, 8)
	for round := range 5 {
		for i := range 60 {
			_, _ = io.WriteString(
				dialServer(t, server),
				unfinished[i%len(unfinished)],
			) // may fail: the server may have closed the connection already
		}
		if got := callStatus(t, server, requestText("GET", "/healthcheck")); got != 200 {
			t.Errorf("round %d: got status %d, want 200", round, got)
		}
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	if len(server.conns) > 8 {
		t.Errorf("got %d open connections, want at most 8", len(server.conns))
	}
}
