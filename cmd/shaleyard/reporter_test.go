package main

import (
	"strings"
	"testing"
	"time"

	"shaleyard/internal/config"
)

// logLines is a writer for a log. It sends each line to the channel.
type logLines chan string

// Write implements io.Writer. It drops the line if the channel is full, so that it does not block the event loop.
func (l logLines) Write(line []byte) (int, error) {
	select {
	case l <- string(line):
	default:
	}
	return len(line), nil
}

// TestCountersAreLoggedPeriodically checks that counters are logged while the program runs. Hundreds of directors are
// killed at the end of a day: counters logged only at the exit would be lost, and no totals across the fleet could be
// computed.
func TestCountersAreLoggedPeriodically(t *testing.T) {
	logged := make(logLines, 64)
	startWithLimits(t, 1024, logged, func(limits *config.Limits) { limits.CountersInterval = 10 * time.Millisecond })
	timeout := time.After(20 * time.Second)
	for seen := 0; seen < 2; {
		select {
		case line := <-logged:
			if strings.Contains(line, `"counters":{`) {
				seen++
			}
		case <-timeout:
			t.Fatalf("got %d log lines with counters while the program runs, want 2", seen)
		}
	}
}
