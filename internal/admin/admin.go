// Package admin serves operators' calls over HTTP, aside of the event loop: whether the process is ready, and its drain.
// Callers that send nothing, or more than a call has, hold none of the others up.
package admin

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
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

const (
	maxHeaderBytes  = 4 << 10         // of a call
	callTimeout     = 5 * time.Second // from a connection's first moment to the end of its call
	shutdownTimeout = 50 * time.Millisecond
)

// Process is what operators ask and tell. Its methods must not wait for the event loop.
type Process interface {
	// Ready tells whether the front may send clients here, and if not, why.
	Ready() (ready bool, why string)
	// Drain empties the process.
	Drain()
	// Resume ends a drain; false: the process can't come back.
	Resume() bool
	// Called is told of each call but those that ask whether the process is ready.
	Called(method, path string, status int)
}

// Server answers operators' calls.
type Server struct {
	process  Process
	listener *listener.Listener
	http     *http.Server
	maxConns int // connections held at once

	mu    sync.Mutex
	conns []net.Conn // eldest first
}

// Listen opens the operators' address for a process; of connections at most so many are held at once, and the eldest goes
// for a new one.
func Listen(address string, most int, process Process) (*Server, error) {
	l, err := listener.Open(address)
	if err != nil {
		return nil, err
	}
	s := &Server{process: process, listener: l, maxConns: most}
	calls := http.NewServeMux()
	calls.HandleFunc("GET "+healthPath, s.handleHealth)
	calls.HandleFunc("PUT "+drainPath, s.handleDrain)
	calls.HandleFunc("PUT "+resumePath, s.handleResume)
	s.http = &http.Server{Handler: calls, ReadTimeout: callTimeout, WriteTimeout: callTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: s.trackConnection, ErrorLog: log.New(io.Discard, "", 0)} // what callers do wrong is theirs to see
	s.http.SetKeepAlivesEnabled(false) // one call to a connection
	return s, nil
}

// Address is where the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve answers calls until Close.
func (s *Server) Serve() { _ = s.http.Serve(s.listener) }

// Close ends the server; calls that are being answered have a moment to end.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		s.http.Close()
	}
}

// trackConnection keeps the number of connections bounded: the eldest has had the most time for its call.
func (s *Server) trackConnection(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns = append(s.conns, c)
		if len(s.conns) > s.maxConns {
			s.conns[0].Close()
			s.conns = s.conns[1:]
		}
	case http.StateClosed, http.StateHijacked:
		for i, o := range s.conns {
			if o == c {
				s.conns = append(s.conns[:i], s.conns[i+1:]...)
				return
			}
		}
	}
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	if ready, why := s.process.Ready(); !ready {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Server) handleDrain(w http.ResponseWriter, r *http.Request) {
	s.process.Drain()
	s.respond(w, r, http.StatusOK)
}

func (s *Server) handleResume(w http.ResponseWriter, r *http.Request) {
	if !s.process.Resume() {
		s.respond(w, r, http.StatusConflict)
		return
	}
	s.respond(w, r, http.StatusOK)
}

func (s *Server) respond(w http.ResponseWriter, r *http.Request, status int) {
	s.process.Called(r.Method, r.URL.Path, status)
	w.WriteHeader(status)
}
