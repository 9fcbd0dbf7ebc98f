package rig2

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	Held   = 0 // the rule was kept
	Broken = 1 // the rule was broken
	NotRun = 2 // the case could not run
)

// Record is the record of a run: one line for each thing that was sent, answered or run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, out: bufio.NewWriter(file), start: time.Now()}, nil
}

// Logf adds a line with the time since the start in seconds.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.4f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.out, format, args...)
	fmt.Fprintln(r.out)
}

// Close writes out all lines.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// Trouble reports whether the case plays its disruption: it does unless TROUBLE is 0.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Main runs a case and ends the program with its status. The case's folder is the first argument.
func Main(play func(*Record) (int, error)) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM FOLDER")
		os.Exit(NotRun)
	}
	record, err := NewRecord(os.Args[1] + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	go giveUp()
	status, err := play(record)
	if err != nil {
		record.Logf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		status = NotRun
	}
	record.Logf("trouble=%v exit status %d", Trouble(), status)
	record.Close()
	os.Exit(status)
}

// longest is the time that a case may take.
const longest = 115 * time.Second

// giveUp ends the case without a result, and the directors that it started, when it is told to end or takes too long.
func giveUp() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-told:
	case <-time.After(longest):
	}
	killAll()
	os.Exit(NotRun)
}
