package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case writes what was sent, answered and run. Times are milliseconds since its start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

// ms returns the time since the start in milliseconds.
func (r *record) ms() float64 { return float64(time.Since(r.start).Microseconds()) / 1000 }

func (r *record) log(format string, args ...any) {
	line := fmt.Sprintf("%9.1f ", r.ms()) + fmt.Sprintf(format, args...) + "\n"
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.WriteString(line)
}

// say writes a line to the record and to the terminal.
func (r *record) say(format string, args ...any) {
	r.log(format, args...)
	fmt.Printf(format+"\n", args...)
}
