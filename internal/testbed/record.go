// Package lab starts a fleet of directors as processes of their own between stand-ins for everything that they
// talk to (the list service, caches, parents, the origin, clients), breaks what lies between them by a script,
// and writes all that crosses the stand-ins into one record. internal/labcheck judges the record; it shares no
// code with this package or with the program.
package testbed

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"
	"time"
)

// Event is one line of a record. Which fields are set hangs on the kind (docs/laboratory.md lists them); times
// are milliseconds from the begin of the run.
type Event struct {
	AtMS      float64 `json:"ms"`
	Kind      string  `json:"kind"`
	Who       string  `json:"who,omitempty"`
	What      string  `json:"what,omitempty"`
	Director  string  `json:"director,omitempty"`
	Ref       string  `json:"ref,omitempty"`
	Class     string  `json:"class,omitempty"`
	Object    string  `json:"object,omitempty"`
	Source    string  `json:"up,omitempty"`
	Number    int     `json:"n,omitempty"`
	Value     float64 `json:"value,omitempty"`
	Work      float64 `json:"work,omitempty"`
	Since     float64 `json:"since,omitempty"`
	TimeoutMS float64 `json:"allow,omitempty"`
	Retry     bool    `json:"again,omitempty"`
	Site      string  `json:"site,omitempty"`
	Conns     int     `json:"conns,omitempty"`

	// Of kind "life": what a server can bear.
	Weight   float64 `json:"weight,omitempty"`
	ColdFrom float64 `json:"cold_from,omitempty"`
	Ramp     float64 `json:"ramp,omitempty"`
	Fall     float64 `json:"fall,omitempty"`
	Multiple float64 `json:"multiple,omitempty"`
}

// historyWriter takes events from all stand-ins, in the order in which they happen.
type historyWriter struct {
	started time.Time
	mu      sync.Mutex
	file    *os.File
	buffer  *bufio.Writer
	encoder *json.Encoder
	err     error
}

func newHistoryWriter(path string) (*historyWriter, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	w := bufio.NewWriterSize(f, 1<<16)
	return &historyWriter{started: time.Now(), file: f, buffer: w, encoder: json.NewEncoder(w)}, nil
}

// elapsedMS is the time since the begin; times on the wire are Unix milliseconds and are recorded by at.
func (r *historyWriter) elapsedMS() float64 {
	return float64(time.Since(r.started).Microseconds()) / 1000
}

func (r *historyWriter) sinceStart(unixMS int64) float64 {
	return float64(unixMS - r.started.UnixMilli())
}

func (r *historyWriter) record(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.AtMS = r.elapsedMS()
	if err := r.encoder.Encode(e); err != nil && r.err == nil {
		r.err = err
	}
}

func (r *historyWriter) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.buffer.Flush(); err != nil && r.err == nil {
		r.err = err
	}
	if err := r.file.Close(); err != nil && r.err == nil {
		r.err = err
	}
	return r.err
}
