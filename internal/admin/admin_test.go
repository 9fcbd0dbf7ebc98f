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

// fakeProcess is told to drain and to resume, and is ready in between.
type fakeProcess struct {
	drained, stopping atomic.Bool
	called            atomic.Int64
}

func (p *fakeProcess) Ready() (bool, string) {
	return !p.drained.Load() && !p.stopping.Load(), "drained"
}
func (p *fakeProcess) Drain()                     { p.drained.Store(true) }
func (p *fakeProcess) Called(string, string, int) { p.called.Add(1) }
func (p *fakeProcess) Resume() bool {
	p.drained.Store(p.stopping.Load())
	return !p.stopping.Load()
}

func startServer(t *testing.T, most int) (*Server, *fakeProcess) {
	t.Helper()
	p := &fakeProcess{}
	s, err := Listen("127.0.0.1:0", most, p)
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	t.Cleanup(s.Close)
	return s, p
}

// dialServer opens a connection that ends with the test.
func dialServer(t *testing.T, s *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// callStatus is the callStatus of the answer to a call that is written as it is.
func callStatus(t *testing.T, s *Server, call string) int {
	t.Helper()
	c := dialServer(t, s)
	c.SetDeadline(time.Now().Add(time.Second)) // operators wait no longer
	io.WriteString(c, call)                    // the answer may come before the end of what is too long
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%.40q: %v", call, err)
	}
	if !answer.Close {
		t.Errorf("%.40q: the connection is kept for a second call", call)
	}
	return answer.StatusCode
}

func requestText(method, path string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: director\r\n\r\n", method, path)
}

func TestEveryCallHasItsAnswer(t *testing.T) {
	s, p := startServer(t, 8)
	for _, c := range []struct {
		call string
		want int
	}{
		{requestText("GET", "/healthcheck"), 200},
		{requestText("PUT", "/healthcheck/fail"), 200},
		{requestText("PUT", "/healthcheck/fail"), 200},
		{requestText("GET", "/healthcheck"), 503},
		{requestText("HEAD", "/healthcheck"), 503},
		{requestText("PUT", "/healthcheck/ok"), 200},
		{requestText("GET", "/healthcheck"), 200},
		{requestText("PUT", "/healthcheck"), 405},
		{requestText("GET", "/healthcheck/fail"), 405},
		{requestText("DELETE", "/healthcheck/ok"), 405},
		{requestText("GET", "/healthcheck/else"), 404},
		{requestText("GET", "/"), 404},
		{"nonsense\r\n\r\n", 400},
		{"GET /healthcheck HTTP/1.1\r\nHost: director\r\nX: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", 431},
		{"PUT /healthcheck/ok HTTP/1.1\r\nHost: director\r\nContent-Length: 5\r\n\r\nhello", 200},
	} {
		if got := callStatus(t, s, c.call); got != c.want {
			t.Errorf("%.40q: %d, want %d", c.call, got, c.want)
		}
	}
	p.stopping.Store(true)
	if got := callStatus(t, s, requestText("PUT", "/healthcheck/ok")); got != 409 {
		t.Errorf("resumed while stopping: %d", got)
	}
	if n := p.called.Load(); n != 5 {
		t.Errorf("%d calls told, want the 5 that change the process", n)
	}
}

// Callers connect by the hundreds and finish no call: whoever makes one has the answer in time all the same.
func TestSilentCallersHoldNobodyUp(t *testing.T) {
	s, _ := startServer(t, 8)
	for round := range 5 {
		for i := range 60 {
			c := dialServer(t, s)
			io.WriteString(c, []string{"", "GET /heal", "PUT /healthcheck/fail HTTP/1.1\r\nHost"}[i%3])
		}
		if got := callStatus(t, s, requestText("GET", "/healthcheck")); got != 200 {
			t.Errorf("round %d: %d", round, got)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) > 8 {
		t.Errorf("%d connections are held, 8 at most", len(s.conns))
	}
}
