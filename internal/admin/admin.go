// Package admin serves operators' calls over HTTP: the readiness check of the process, and the start and the
// cancellation of its drain. Calls are served on goroutines of their own, not on the event loop. The number of
// connections, the size of a header and the duration of a call are bounded, so that callers that send nothing, or too
// much, do not delay other callers.
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

// URL paths of the calls.
const (
	healthPath = "/healthcheck"
	drainPath  = "/healthcheck/fail"
	resumePath = "/healthcheck/ok"
)

// Limits of a call.
const (
	maxHeaderBytes  = 4 << 10
	callTimeout     = 5 * time.Second       // from the accept of a connection to the end of its call
	shutdownTimeout = 50 * time.Millisecond // time that calls in progress have to end when the server closes
)

// Process is the process that operators query and control. Its methods must not wait for the event loop, so that calls
// are answered while the loop is stalled.
type Process interface {
	// Ready reports whether the load balancer may send clients to this process, and the reason if it may not.
	Ready() (ready bool, why string)
	// Drain starts a drain of the process.
	Drain()
	// Resume cancels a drain. It returns false if the drain can no longer be cancelled.
	Resume() bool
	// RecordCall is called for each drain and each resume, with the status of the answer.
	RecordCall(method, path string, status int)
}

// Server is the HTTP server for operators' calls. Its methods may be called from any goroutine.
type Server struct {
	process  Process
	listener *listener.Listener
	http     *http.Server
	maxConns int

	mu    sync.Mutex
	conns []net.Conn // oldest first
}

// Listen returns a Server that listens at the address and passes calls to the process. The server holds at most
// maxConns connections at once: a new connection beyond that closes the oldest one.
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
		ErrorLog:       log.New(io.Discard, "", 0), // errors of a call are reported to its caller only
	}
	s.http.SetKeepAlivesEnabled(false) // one call per connection
	return s, nil
}

// Address returns the address at which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve answers calls until Close.
func (s *Server) Serve() { _ = s.http.Serve(s.listener) }

// Close stops the server. Calls in progress are cut off after shutdownTimeout.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		s.http.Close()
	}
}

// trackConnection keeps s.conns up to date on a change of a connection's state, and limits the number of connections.
// Beyond the limit the oldest connection is closed, as it has had the most time for its call.
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
	s.process.RecordCall(request.Method, request.URL.Path, status)
	response.WriteHeader(status)
}
