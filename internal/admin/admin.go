// Package admin serves operators' calls over HTTP, beside the event loop: whether the process is ready, and its drain.
// The number of connections and the time of a call are bounded, so that callers which send nothing, or more than a call
// has, do not delay the others.
package admin

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"shaleyard/internal/listener"
)

// Paths of the calls.
const (
	healthPath = "/healthcheck"
	drainPath  = "/healthcheck/fail"
	resumePath = "/healthcheck/ok"
)

// Bounds of a call.
const (
	maxHeaderBytes  = 4 << 10
	callTimeout     = 5 * time.Second       // from a connection's accept to the end of its call
	shutdownTimeout = 50 * time.Millisecond // for calls that are being answered when the server closes
)

// Process is what operators query and control. Its methods must not wait for the event loop.
type Process interface {
	// Ready reports whether the load balancer may send clients here, and if not, why.
	Ready() (ready bool, why string)
	// Drain starts a drain.
	Drain()
	// Resume cancels a drain; false: it can't be cancelled any more.
	Resume() bool
	// Called is called for each call except health checks.
	Called(method, path string, status int)
}

// Server answers operators' calls. Its methods may be called from any goroutine.
type Server struct {
	process  Process
	listener *listener.Listener
	http     *http.Server
	maxConns int

	mu    sync.Mutex
	conns []net.Conn // oldest first
}

// Listen opens the operators' address for a process. At most maxConns connections are held at once; the oldest is
// closed for a new one.
func Listen(address string, maxConns int, process Process) (*Server, error) {
	opened, err := listener.Open(address)
	if err != nil {
		return nil, err
	}
	s := &Server{process: process, listener: opened, maxConns: maxConns}
	calls := http.NewServeMux()
	calls.HandleFunc("GET "+healthPath, s.handleHealth)
	calls.HandleFunc("PUT "+drainPath, s.handleDrain)
	calls.HandleFunc("PUT "+resumePath, s.handleResume)
	s.http = &http.Server{
		Handler:        calls,
		ReadTimeout:    callTimeout,
		WriteTimeout:   callTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ConnState:      s.trackConnection,
		ErrorLog:       log.New(io.Discard, "", 0), // callers' faults are reported to the callers
	}
	s.http.SetKeepAlivesEnabled(false) // one call to a connection
	return s, nil
}

// Address is where the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve answers calls until Close.
func (s *Server) Serve() { _ = s.http.Serve(s.listener) }

// Close ends the server. Calls that are being answered have shutdownTimeout to end.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		s.http.Close()
	}
}

// trackConnection bounds the number of connections. The oldest gives way, as it has had the most time for its call.
func (s *Server) trackConnection(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.addConnection(conn)
	case http.StateClosed, http.StateHijacked:
		s.removeConnection(conn)
	}
}

func (s *Server) addConnection(conn net.Conn) {
	s.conns = append(s.conns, conn)
	if len(s.conns) <= s.maxConns {
		return
	}
	s.conns[0].Close()
	s.conns = s.conns[1:]
}

func (s *Server) removeConnection(conn net.Conn) {
	i := slices.Index(s.conns, conn)
	if i >= 0 {
		s.conns = slices.Delete(s.conns, i, i+1)
	}
}

func (s *Server) handleHealth(response http.ResponseWriter, _ *http.Request) {
	ready, why := s.process.Ready()
	if !ready {
		http.Error(response, why, http.StatusServiceUnavailable)
		return
	}
	response.WriteHeader(http.StatusOK)
}

func (s *Server) handleDrain(response http.ResponseWriter, request *http.Request) {
	s.process.Drain()
	s.respond(response, request, http.StatusOK)
}

func (s *Server) handleResume(response http.ResponseWriter, request *http.Request) {
	if !s.process.Resume() {
		s.respond(response, request, http.StatusConflict)
		return
	}
	s.respond(response, request, http.StatusOK)
}

func (s *Server) respond(response http.ResponseWriter, request *http.Request, status int) {
	s.process.Called(request.Method, request.URL.Path, status)
	response.WriteHeader(status)
}
