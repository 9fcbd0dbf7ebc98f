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

// newFlappingService is a list service for one director, with one event, that ends streams as they start.
func newFlappingService(t *testing.T, what string) (*discoveryService, *flap, string) {
	t.Helper()
	dir := t.TempDir()
	r, err := newHistoryWriter(filepath.Join(dir, "record.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	s := newDiscoveryService(&Testbed{experiment: &Experiment{Directors: 1, Discovery: DiscoverySpec{CallsPerSecond: 1000}}, history: r, faults: newFaultInjector(),
		subnet: subnetOf(dir)})
	t.Cleanup(func() {
		s.close()
		if err := r.close(); err != nil && !errors.Is(err, os.ErrClosed) {
			t.Error(err)
		}
	})
	s.publish(func(n int) string { return fmt.Sprintf(`{"n":%d,"event":"the first"}`, n) }, Event{What: "list"})
	f := &flap{modes: []string{what}}
	s.startFlap([]int{0}, f)
	address, err := s.listen(0)
	if err != nil {
		t.Fatal(err)
	}
	return s, f, address
}

func subscribe(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(c, "SUB 0\n"); err != nil {
		t.Fatal(err)
	}
	return c
}

// recordedEvents is what has been recordedEvents of a kind.
func recordedEvents(t *testing.T, r *historyWriter, kind string) (list []Event) {
	t.Helper()
	r.mu.Lock()
	err := r.buffer.Flush()
	r.mu.Unlock()
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(r.file.Name())
	if err != nil {
		t.Fatal(err)
	}
	for l := range strings.Lines(string(text)) {
		var e Event
		if err := json.Unmarshal([]byte(l), &e); err != nil {
			t.Fatal(err)
		}
		if e.Kind == kind {
			list = append(list, e)
		}
	}
	return list
}

// awaitStreamEnd waits until the end of a stream has been recorded.
func awaitStreamEnd(t *testing.T, s *discoveryService, what string) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if ends := recordedEvents(t, s.testbed.history, "stream"); len(ends) == 1 {
			if ends[0].What != what || ends[0].Number != 1 || ends[0].Director != "d0" {
				t.Errorf("recorded %+v", ends[0])
			}
			return
		}
	}
	t.Fatal("no end of the stream was recorded")
}

// A stream that breaks ends with a reset, one that breaks in an event with half of it; neither counts as told.
func TestYoungStreamBreaks(t *testing.T) {
	s, _, address := newFlappingService(t, "break")
	c := subscribe(t, address)
	if n, err := c.Read(make([]byte, 100)); n != 0 || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read %d bytes, %v", n, err)
	}
	awaitStreamEnd(t, s, "break")

	h, _, address := newFlappingService(t, "half")
	text, err := bufio.NewReader(subscribe(t, address)).ReadString('\n')
	if want := `{"n":1,"event`; text != want || err == nil {
		t.Errorf("read %q, %v, want %q and the end", text, err, want)
	}
	awaitStreamEnd(t, h, "half")
	for _, x := range []*discoveryService{s, h} {
		if told := recordedEvents(t, x.testbed.history, "told"); len(told) > 0 {
			t.Errorf("recorded as told: %+v", told)
		}
	}
}

// A stream that has fallen silent brings nothing and stays open; what is told then counts as told with the next call.
func TestYoungStreamFallsSilent(t *testing.T) {
	s, f, address := newFlappingService(t, "silent")
	c := subscribe(t, address)
	awaitStreamEnd(t, s, "silent")
	s.publish(func(n int) string { return fmt.Sprintf(`{"n":%d,"event":"the second"}`, n) }, Event{What: "purge"})
	s.stopFlap([]int{0}, f)
	r := bufio.NewReader(subscribe(t, address))
	for _, want := range []string{"the first", "the second"} {
		if line, err := r.ReadString('\n'); err != nil || !strings.Contains(line, want) {
			t.Fatalf("read %q, %v, want %s", line, err, want)
		}
	}
	// The old stream is still open, and nothing has come on it.
	if err := c.SetReadDeadline(time.Now().Add(20 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if n, err := c.Read(make([]byte, 100)); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read %d bytes, %v", n, err)
	}
	var told []Event
	for until := time.Now().Add(10 * time.Second); len(told) < 2 && time.Now().Before(until); time.Sleep(time.Millisecond) {
		told = recordedEvents(t, s.testbed.history, "told")
	}
	calls := recordedEvents(t, s.testbed.history, "call")
	if len(told) != 2 || len(calls) != 2 || told[0].AtMS < calls[1].AtMS {
		t.Errorf("told %+v, calls %+v: want both told after the second call", told, calls)
	}
}

// How a director's streams end hangs on the seed, its number and their order alone, and differs between all of these.
func TestEndsOfStreamsAreDrawnBySeed(t *testing.T) {
	begin := time.Now()
	seen := map[time.Duration]bool{}
	kinds := map[string]bool{}
	for seed := range uint64(3) {
		f := &flap{seed: seed, begin: begin, modes: []string{"break", "half", "silent"}, minAge: time.Second, maxAge: 3 * time.Second}
		for director := range 4 {
			for nth := range 5 {
				e := f.drawEnd(director, nth, begin.Add(time.Minute))
				age := e.at.Sub(begin) - time.Minute
				if age < time.Second || age > 3*time.Second || e != f.drawEnd(director, nth, begin.Add(time.Minute)) {
					t.Errorf("seed %d, director %d, stream %d: %+v", seed, director, nth, e)
				}
				if early := f.drawEnd(director, nth, begin.Add(-time.Minute)); early.at != begin.Add(age) {
					t.Errorf("a stream that was up before the flap ends at %v, not %v after its begin", early.at, age)
				}
				seen[age], kinds[e.mode] = true, true
			}
		}
	}
	if len(seen) != 60 || len(kinds) != 3 {
		t.Errorf("%d ages for 60 streams, ends %v", len(seen), kinds)
	}
}
