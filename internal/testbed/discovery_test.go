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
	f := &flap{modes: []string{what}}
	service.startFlap([]int{0}, f)
	address, err := service.listen(0)
	if err != nil {
		t.Fatal(err)
	}
	return service, f, address
}

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

// recordedEvents are the events of a kind that have been recorded.
func recordedEvents(t *testing.T, history *historyWriter, kind string) (list []Event) {
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
	for l := range strings.Lines(string(text)) {
		var event Event
		if err := json.Unmarshal([]byte(l), &event); err != nil {
			t.Fatal(err)
		}
		if event.Kind == kind {
			list = append(list, event)
		}
	}
	return list
}

// awaitStreamEnd waits until the end of a stream has been recorded.
func awaitStreamEnd(t *testing.T, service *discoveryService, what string) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if ends := recordedEvents(t, service.testbed.history, "stream"); len(ends) == 1 {
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
	service, _, address := newFlappingService(t, "break")
	conn := subscribe(t, address)
	if n, err := conn.Read(make([]byte, 100)); n != 0 || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read %d bytes, %v", n, err)
	}
	awaitStreamEnd(t, service, "break")

	h, _, address := newFlappingService(t, "half")
	text, err := bufio.NewReader(subscribe(t, address)).ReadString('\n')
	if want := `{"n":1,"event`; text != want || err == nil {
		t.Errorf("read %q, %v, want %q and the end", text, err, want)
	}
	awaitStreamEnd(t, h, "half")
	for _, x := range []*discoveryService{service, h} {
		if told := recordedEvents(t, x.testbed.history, "told"); len(told) > 0 {
			t.Errorf("recorded as told: %+v", told)
		}
	}
}

// A stream that has fallen silent brings nothing and stays open; what is told then counts as told with the next call.
func TestYoungStreamFallsSilent(t *testing.T) {
	service, flap, address := newFlappingService(t, "silent")
	conn := subscribe(t, address)
	awaitStreamEnd(t, service, "silent")
	service.publish(func(n int) string { return fmt.Sprintf(`{"n":%d,"event":"the second"}`, n) }, Event{What: "purge"})
	service.stopFlap([]int{0}, flap)
	r := bufio.NewReader(subscribe(t, address))
	for _, want := range []string{"the first", "the second"} {
		if line, err := r.ReadString('\n'); err != nil || !strings.Contains(line, want) {
			t.Fatalf("read %q, %v, want %s", line, err, want)
		}
	}
	// The old stream is still open, and nothing has come on it.
	if err := conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if n, err := conn.Read(make([]byte, 100)); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read %d bytes, %v", n, err)
	}
	var told []Event
	until := time.Now().Add(10 * time.Second)
	for ; len(told) < 2 && time.Now().Before(until); time.Sleep(time.Millisecond) {
		told = recordedEvents(t, service.testbed.history, "told")
	}
	calls := recordedEvents(t, service.testbed.history, "call")
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
		f := &flap{
			seed:   seed,
			begin:  begin,
			modes:  []string{endBreak, endHalf, endSilent},
			minAge: time.Second,
			maxAge: 3 * time.Second,
		}
		for director := range 4 {
			for nth := range 5 {
				end := f.drawEnd(director, nth, begin.Add(time.Minute))
				age := end.at.Sub(begin) - time.Minute
				if age < time.Second || age > 3*time.Second || end != f.drawEnd(director, nth, begin.Add(time.Minute)) {
					t.Errorf("seed %d, director %d, stream %d: %+v", seed, director, nth, end)
				}
				if early := f.drawEnd(director, nth, begin.Add(-time.Minute)); early.at != begin.Add(age) {
					t.Errorf("a stream that was up before the flap ends at %v, not %v after its begin", early.at, age)
				}
				seen[age], kinds[end.mode] = true, true
			}
		}
	}
	if len(seen) != 60 || len(kinds) != 3 {
		t.Errorf("%d ages for 60 streams, ends %v", len(seen), kinds)
	}
}
