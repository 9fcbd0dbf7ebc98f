package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"shaleyard/internal/nettest"
)

// Purged copies were served after the discovery service had stopped for 4 s while it stayed open: the director had
// closed the connection on which the service went on, and waited before its next call. This test checks that a purge is
// obeyed on whichever connection the service announces it after the stop, although the director has called again.
func TestPurgeAfterStopIsObeyedOnAnyWatch(t *testing.T) {
	for resumed, name := range []string{"first watch", "second watch"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := startProgram(t)
			watches := make([]*nettest.Conn, 2)
			for call := range watches { // the service stops at once: the second call follows after the silence timeout
				watches[call] = env.discovery.Accept()
				if got := watches[call].ReadLine(); got != "SUB 1" {
					t.Errorf("subscribed with %q, want %q", got, "SUB 1")
				}
			}
			counters := &env.program.discovery.Counters
			env.waitUntil(func() bool { return counters.SilenceTimeouts == 2 })
			purgedAt := time.Now()
			purge := fmt.Sprintf(`{"n":2,"purge":{"key":"7f3a9c21e0b4d655","at":%d}}`, purgedAt.UnixMilli())
			watches[resumed].TrySend(purge + "\n") // fails if the director has closed the watch
			obeyBy := purgedAt.Add(env.program.limits.PurgeApplyWithin)
			env.waitUntil(func() bool { return counters.Events == 2 || time.Now().After(obeyBy) })
			client := env.dial()
			client.Submit(1, "", requestFields("media", ref1)...)
			request := env.cache.Accept().ReadCommand()
			if fields := request[2]; !strings.Contains(fields, ",cap=") {
				t.Errorf("got request fields %q, want a limit on the age of copies (cap)", fields)
			}
		})
	}
}
