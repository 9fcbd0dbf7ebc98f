package testbed

import (
	"bufio"
	"cmp"
	"encoding/json"
	"os"
	"sync"
	"time"
)

// Event is one line of a history. The kind determines which fields are set; docs/testbed.md lists the kinds. Times
// are in milliseconds since the start of the run.
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

	// Capacity of a server, set with kind "life".
	Weight   float64 `json:"weight,omitempty"`
	ColdFrom float64 `json:"cold_from,omitempty"`
	Ramp     float64 `json:"ramp,omitempty"`
	Fall     float64 `json:"fall,omitempty"`
	Multiple float64 `json:"multiple,omitempty"`
}

// historyWriter writes the history's file. It stamps events from all stand-ins with their time and writes them in the
// order of the calls of record.
type historyWriter struct {
	started time.Time
	mu      sync.Mutex
	file    *os.File
	buffer  *bufio.Writer
	encoder *json.Encoder
	err     error // first error of encoding or writing
}

// newHistoryWriter creates the history's file. The history's times count from this call.
func newHistoryWriter(path string) (*historyWriter, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	buffer := bufio.NewWriterSize(file, 1<<16)
	return &historyWriter{started: time.Now(), file: file, buffer: buffer, encoder: json.NewEncoder(buffer)}, nil
}

// elapsedMS returns the time since the start of the history, in milliseconds.
func (w *historyWriter) elapsedMS() float64 {
	return float64(time.Since(w.started).Microseconds()) / 1000
}

// sinceStart converts a time in Unix milliseconds, as it is on the wire, to milliseconds since the start of the
// history.
func (w *historyWriter) sinceStart(unixMS int64) float64 {
	return float64(unixMS - w.started.UnixMilli())
}

// record writes an event with the present time. The first error of encoding or writing an event is kept, and close
// returns it.
func (w *historyWriter) record(event Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	event.AtMS = w.elapsedMS()
	w.err = cmp.Or(w.err, w.encoder.Encode(event))
}

// close flushes and closes the file. It returns the first error of all writes, the flush and the close.
func (w *historyWriter) close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.err = cmp.Or(w.err, w.buffer.Flush())
	w.err = cmp.Or(w.err, w.file.Close())
	return w.err
}
