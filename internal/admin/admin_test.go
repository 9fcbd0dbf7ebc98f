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

// fakeProcess is ready unless it is drained or stopping.
type fakeProcess struct {
	drained, stopping atomic.Bool
	called            atomic.Int64
}

func (p *fakeProcess) Ready() (bool, string) {
	return !p.drained.Load() && !p.stopping.Load(), "drained"
}

func (p *fakeProcess) Drain() { p.drained.Store(true) }

func (p *fakeProcess) Called(string, string, int) { p.called.Add(1) }

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

// dialServer opens a connection that ends with the test.
func dialServer(t *testing.T, server *Server) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", server.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// callStatus sends a call as it is written, and returns the status of its answer.
func callStatus(t *testing.T, server *Server, call string) int {
	t.Helper()
	conn := dialServer(t, server)
	if err := conn.SetDeadline(time.Now().Add(time.Second)); err != nil { // operators wait no longer
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, call) // it may fail: the answer to a call that is too long may come before its end
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("%.40q: %v", call, err)
	}
	defer answer.Body.Close()
	if !answer.Close {
		t.Errorf("%.40q: the connection is kept for a second call", call)
	}
	return answer.StatusCode
}

// requestText is a call without a body.
func requestText(method, path string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: director\r\n\r\n", method, path)
}

func TestEveryCallHasItsAnswer(t *testing.T) {
	server, process := startServer(t, 8)
	for _, tc := range []struct { // in this order: each finds the process as the last has left it
		name, call string
		want       int
	}{
		{"ready", requestText("GET", "/healthcheck"), 200},
		{"drain", requestText("PUT", "/healthcheck/fail"), 200},
		{"drain again", requestText("PUT", "/healthcheck/fail"), 200},
		{"not ready", requestText("GET", "/healthcheck"), 503},
		{"not ready, head alone", requestText("HEAD", "/healthcheck"), 503},
		{"resume", requestText("PUT", "/healthcheck/ok"), 200},
		{"ready again", requestText("GET", "/healthcheck"), 200},
		{"put of the health check", requestText("PUT", "/healthcheck"), 405},
		{"get of the drain", requestText("GET", "/healthcheck/fail"), 405},
		{"delete", requestText("DELETE", "/healthcheck/ok"), 405},
		{"unknown path", requestText("GET", "/healthcheck/else"), 404},
		{"root", requestText("GET", "/"), 404},
		{"no HTTP", "nonsense\r\n\r\n", 400},
		{"header too large",
			"GET /healthcheck HTTP/1.1\r\nHost: director\r\nX: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", 431},
		{"resume with a body", "PUT /healthcheck/ok HTTP/1.1\r\nHost: director\r\nContent-Length: 5\r\n\r\nhello", 200},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := callStatus(t, server, tc.call); got != tc.want {
				t.Errorf("%.40q: %d, want %d", tc.call, got, tc.want)
			}
		})
	}
	process.stopping.Store(true)
	if got := callStatus(t, server, requestText("PUT", "/healthcheck/ok")); got != 409 {
		t.Errorf("resumed while stopping: %d", got)
	}
	if n := process.called.Load(); n != 5 {
		t.Errorf("%d calls reported, want the 5 that change the process", n)
	}
}

// Callers connect by the hundreds and finish no call: whoever makes one has the answer in time all the same.
func TestSilentCallersHoldNobodyUp(t *testing.T) {
	unfinished := []string{"", "GET /heal", "PUT /healthcheck/fail HTTP/1.1\r\nHost"}
	server, _ := startServer(t, 8)
	for round := range 5 {
		for i := range 60 {
			_, _ = io.WriteString(
				dialServer(t, server),
				unfinished[i%len(unfinished)],
			) // it may have been closed already
		}
		if got := callStatus(t, server, requestText("GET", "/healthcheck")); got != 200 {
			t.Errorf("round %d: %d", round, got)
		}
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	if len(server.conns) > 8 {
		t.Errorf("%d connections are held, 8 at most", len(server.conns))
	}
}
