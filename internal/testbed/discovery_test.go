package testbed

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// newFlappingService returns a discovery service with one director and one event, its flap, and its address for the
// director. The flap ends each stream at its start, in the way that endMode names.
func newFlappingService(t *testing.T, endMode string) (*discoveryService, *flap, string) {
	t.Helper()
	dir := t.TempDir()
	history, err := newHistoryWriter(filepath.Join(dir, "record.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	service := newDiscoveryService(&Testbed{
		experiment: &Experiment{Directors: 1, Discovery: DiscoverySpec{CallsPerSecond: 1000}},
		history:    history,
		faults:     newFaultInjector(),
		subnet:     subnetOf(dir),
	})
	t.Cleanup(func() {
		service.close()
		if err := history.close(); err != nil && !errors.Is(err, os.ErrClosed) {
			t.Error(err)
		}
	})
	service.publish(func(n int) string { return fmt.Sprintf(`{"n":%d,"event":"the first"}`, n) }, Event{What: "list"})
	f := &flap{modes: []string{endMode}}
	service.startFlap([]int{0}, f)
	address, err := service.listen(0)
	if err != nil {
		t.Fatal(err)
	}
	return service, f, address
}

// subscribe opens a connection to the service and subscribes from revision 0. Reads fail after 10 s.
func subscribe(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(conn, "SUB 0\n"); err != nil {
		t.Fatal(err)
	}
	return conn
}

// recordedEvents returns the events of a kind that have been recorded so far.
func recordedEvents(t *testing.T, history *historyWriter, kind string) (events []Event) {
	t.Helper()
	history.mu.Lock()
	err := history.buffer.Flush()
	history.mu.Unlock()
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(history.file.Name())
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		var event Event
		if err := json.Unmarshal([]byte(line), &event); err != nil {
			t.Fatal(err)
		}
		if event.Kind == kind {
			events = append(events, event)
		}
	}
	return events
}

// awaitStreamEnd waits up to 10 s until the history holds exactly one event of kind "stream", the end of a stream. It
// checks that the event's What is the argument, that its director is d0 and that its Number is 1, which means that the
// stream ended before its first event was written.
func awaitStreamEnd(t *testing.T, service *discoveryService, what string) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if ends := recordedEvents(t, service.testbed.history, "stream"); len(ends) == 1 {
			if ends[0].What != what || ends[0].Number != 1 || ends[0].Director != "d0" {
				t.Errorf("got recorded event %+v, want what %q, number 1, director d0", ends[0], what)
			}
			return
		}
	}
	t.Fatal("got no recorded end of the stream within 10 s")
}

// A flap ends a stream with a reset (break), or with half an event and a close (half). If the service recorded the
// event as delivered ("told") in either case, the checker would take the director as notified of an event that it
// didn't get.
func TestStreamEndsWithResetOrTruncation(t *testing.T) {
	service, _, address := newFlappingService(t, "break")
	conn := subscribe(t, address)
	if n, err := conn.Read(make([]byte, 100)); n != 0 || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got %d bytes, error %v, want 0 bytes, %v", n, err, syscall.ECONNRESET)
	}
	awaitStreamEnd(t, service, "break")

	truncating, _, address := newFlappingService(t, "half")
	text, err := bufio.NewReader(subscribe(t, address)).ReadString('\n')
	if want := `{"n":1,"event`; text != want || err == nil {
		t.Errorf("got %q, error %v, want %q and an error at the end of the stream", text, err, want)
	}
	awaitStreamEnd(t, truncating, "half")
	for _, flapping := range []*discoveryService{service, truncating} {
		if delivered := recordedEvents(t, flapping.testbed.history, "told"); len(delivered) > 0 {
			t.Errorf("got events recorded as delivered %+v, want none", delivered)
		}
	}
}

// A flap makes a stream silent: the stream stays open, and nothing more is written to it. Events that are published
// then must be written to, and recorded as delivered on, only the stream of the director's next call. Otherwise the
// checker would take the director as notified too early.
func TestSilentStreamStaysOpen(t *testing.T) {
	service, flap, address := newFlappingService(t, "silent")
	conn := subscribe(t, address)
	awaitStreamEnd(t, service, "silent")
	service.publish(func(n int) string { return fmt.Sprintf(`{"n":%d,"event":"the second"}`, n) }, Event{What: "purge"})
	service.stopFlap([]int{0}, flap)
	reader := bufio.NewReader(subscribe(t, address))
	for _, want := range []string{"the first", "the second"} {
		if line, err := reader.ReadString('\n'); err != nil || !strings.Contains(line, want) {
			t.Fatalf("got line %q, error %v, want one with %q", line, err, want)
		}
	}
	// The silent stream is still open, and nothing has been written to it.
	if err := conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if n, err := conn.Read(make([]byte, 100)); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %d bytes, error %v, want 0 bytes, %v", n, err, os.ErrDeadlineExceeded)
	}
	var delivered []Event
	until := time.Now().Add(10 * time.Second)
	for ; len(delivered) < 2 && time.Now().Before(until); time.Sleep(time.Millisecond) {
		delivered = recordedEvents(t, service.testbed.history, "told")
	}
	calls := recordedEvents(t, service.testbed.history, "call")
	if len(delivered) != 2 || len(calls) != 2 || delivered[0].AtMS < calls[1].AtMS {
		t.Errorf("got delivered events %+v, calls %+v, want two events delivered after the second of two calls",
			delivered, calls)
	}
}

// A stopped service accepts calls and writes nothing, neither on the stream that was open nor on the new one. When it
// goes on, it must write what it held back on both of them. Otherwise an experiment could not tell a director that has
// kept its streams from one that has closed them.
func TestStoppedServiceWritesToAllStreamsWhenItGoesOn(t *testing.T) {
	service, flap, address := newFlappingService(t, endSilent)
	service.stopFlap([]int{0}, flap)
	first := subscribe(t, address)
	firstReader := bufio.NewReader(first)
	if line, err := firstReader.ReadString('\n'); err != nil || !strings.Contains(line, "the first") {
		t.Fatalf("got line %q, error %v, want the first event", line, err)
	}
	service.setMode(modeStopped, 1, 0)
	service.publish(func(n int) string { return fmt.Sprintf(`{"n":%d,"event":"the second"}`, n) }, Event{What: "purge"})
	second := subscribe(t, address)
	for name, conn := range map[string]net.Conn{"open": first, "new": second} {
		if err := conn.SetReadDeadline(time.Now().Add(30 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		if n, err := conn.Read(make([]byte, 100)); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s stream while stopped: got %d bytes, error %v, want 0 bytes, %v",
				name, n, err, os.ErrDeadlineExceeded)
		}
		if err := conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
			t.Fatal(err)
		}
	}
	service.setMode(modeWell, 1, 0)
	if line, err := firstReader.ReadString('\n'); err != nil || !strings.Contains(line, "the second") {
		t.Errorf("open stream: got line %q, error %v, want the second event", line, err)
	}
	secondReader := bufio.NewReader(second)
	for _, want := range []string{"the first", "the second"} {
		if line, err := secondReader.ReadString('\n'); err != nil || !strings.Contains(line, want) {
			t.Errorf("new stream: got line %q, error %v, want one with %q", line, err, want)
		}
	}
}

// Drawing the end of a stream again with the same seed, director and stream number must give the same way of ending and
// the same age: otherwise a run couldn't be repeated by its seed. The ages of 60 streams (3 seeds, 4 directors, 5
// numbers) must all differ: they depend on all three values so that streams do not end together. All 3 ways of ending
// must occur. The age of a stream that was opened before the flap counts from the flap's begin.
func TestEndsOfStreamsAreDrawnBySeed(t *testing.T) {
	begin := time.Now()
	ages := map[time.Duration]bool{}
	modes := map[string]bool{}
	for seed := range uint64(3) {
		f := &flap{
			seed:   seed,
			begin:  begin,
			modes:  []string{endReset, endTruncated, endSilent},
			minAge: time.Second,
			maxAge: 3 * time.Second,
		}
		for director := range 4 {
			for nth := range 5 {
				end := f.drawEnd(director, nth, begin.Add(time.Minute))
				age := end.at.Sub(begin) - time.Minute
				if age < time.Second || age > 3*time.Second || end != f.drawEnd(director, nth, begin.Add(time.Minute)) {
					t.Errorf("seed %d, director %d, stream %d: got end %+v at age %v, "+
						"want an age between 1s and 3s, the same end when drawn again", seed, director, nth, end, age)
				}
				if early := f.drawEnd(director, nth, begin.Add(-time.Minute)); early.at != begin.Add(age) {
					t.Errorf("stream opened before the flap: got end at %v, want %v (%v after the flap's begin)",
						early.at, begin.Add(age), age)
				}
				ages[age], modes[end.mode] = true, true
			}
		}
	}
	if len(ages) != 60 || len(modes) != 3 {
		t.Errorf("got %d different ages of 60 streams, ends %v, want 60 and all 3 ends", len(ages), modes)
	}
}
