package testbed

import (
	"bufio"
	"cmp"
	"encoding/json"
	"os"
	"sync"
	"time"
)

// Event is one line of a history. Which fields are set depends on the kind (docs/testbed.md lists them); times are
// milliseconds from the begin of the run.
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
	err     error // the first
}

func newHistoryWriter(path string) (*historyWriter, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	buffer := bufio.NewWriterSize(file, 1<<16)
	return &historyWriter{started: time.Now(), file: file, buffer: buffer, encoder: json.NewEncoder(buffer)}, nil
}

// elapsedMS is the time since the start.
func (w *historyWriter) elapsedMS() float64 {
	return float64(time.Since(w.started).Microseconds()) / 1000
}

// sinceStart is a time on the wire, in Unix milliseconds, as the history has it.
func (w *historyWriter) sinceStart(unixMS int64) float64 {
	return float64(unixMS - w.started.UnixMilli())
}

// record adds an event, which happens now.
func (w *historyWriter) record(event Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	event.AtMS = w.elapsedMS()
	w.err = cmp.Or(w.err, w.encoder.Encode(event))
}

// close returns the first error of all that was written.
func (w *historyWriter) close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.err = cmp.Or(w.err, w.buffer.Flush())
	w.err = cmp.Or(w.err, w.file.Close())
	return w.err
}
