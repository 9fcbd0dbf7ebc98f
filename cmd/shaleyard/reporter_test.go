package main

import (
	"strings"
	"testing"
	"time"

	"shaleyard/internal/config"
)

// logLines passes on each line written to the log.
type logLines chan string

func (l logLines) Write(line []byte) (int, error) {
	select {
	case l <- string(line):
	default: // nobody reads any more: the loop must not wait
	}
	return len(line), nil
}

// Directors in their hundreds are killed at the end of a day: counters written only at the exit were never
// seen, and nothing could be counted across the fleet. They are written as the program runs.
func TestCountersAreLoggedAsTheProgramRuns(t *testing.T) {
	logged := make(logLines, 64)
	startWithLimits(t, 1024, logged, func(limits *config.Limits) { limits.CountersInterval = 10 * time.Millisecond })
	late := time.After(20 * time.Second) // only so that a failure ends
	for seen := 0; seen < 2; {
		select {
		case line := <-logged:
			if strings.Contains(line, `"counters":{`) {
				seen++
			}
		case <-late:
			t.Fatalf("%d lines of counters while the program runs", seen)
		}
	}
}
