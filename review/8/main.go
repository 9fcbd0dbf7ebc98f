// Command 8 plays case 8 of the second review: the control feed stops while it stays open, and tells what it held
// back when it goes on.
package main

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"shaleyard/review/rig2"
)

const (
	directors = 3
	cycles    = 8
	settled   = 5 * time.Second        // the feed is well for so long before each stop
	phase     = 950 * time.Millisecond // from the feed's last line to the stop
	stopped   = 4 * time.Second
	rest      = 6500 * time.Millisecond // from the stop to the end of a cycle
	tellAfter = 200 * time.Millisecond  // a purge is in the feed so long after it happened (99 to 320 ms)
	dropAfter = 5900 * time.Millisecond // an older copy is dropped so long after the purge (6 s at most)
	// told is when the purge counts as told at the latest: 4 s after the stop; heed is the time to obey it, with 50 ms.
	told  = 4 * time.Second
	heed  = 550 * time.Millisecond
	slack = 20 * time.Millisecond // for the stand-ins' own delays
	size  = 2_000
	allow = 3 * time.Second
)

func main() { rig2.Main(play) }

// world is what the caches hold of the objects of a cycle. The clients of each director ask for an object of their own,
// so that no director renews the copy that another one is answered from.
type world struct {
	mu       sync.Mutex
	record   *rig2.Record
	objects  [directors]string
	copies   map[string]time.Time // since, by cache and object
	purgedAt time.Time            // zero: not purged
	bindsAt  time.Time            // requests sent later may not be answered from an older copy
	broken   int
	checked  int // answers after bindsAt
}

// begin begins a cycle with new objects, of which no cache has a copy.
func (w *world) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.objects {
		w.objects[i] = rig2.Ref()
	}
	w.copies = map[string]time.Time{}
	w.purgedAt, w.bindsAt = time.Time{}, time.Time{}
}

// held reports whether the rule has held until now.
func (w *world) held() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.broken == 0
}

func (w *world) purge(at, bindsAt time.Time) [directors]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.purgedAt, w.bindsAt = at, bindsAt
	return w.objects
}

// handle is what a cache does: it answers from its copy if that is young enough, else it fills from the origin.
func (w *world) handle(cache string, call *rig2.Call) {
	if call.Word != "REQ" {
		return
	}
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	object := call.Fields["asset"]
	if !slices.Contains(w.objects[:], object) {
		call.Conn.Answer(call.ID, "ERR", "-", nil)
		return
	}
	since, held := w.copies[cache+object]
	older := held && !w.purgedAt.IsZero() && since.Before(w.purgedAt)
	if older && now.Sub(w.purgedAt) > dropAfter {
		held = false
	}
	limit, _ := strconv.Atoi(call.Fields["cap"])
	if held && (limit == 0 || now.Sub(since) <= time.Duration(limit)*time.Millisecond) {
		w.answer(cache, call, since, now, "HIT")
		return
	}
	if call.Fields["up"] == "" || strings.Contains(call.Fields["do"], "peek") {
		call.Conn.Answer(call.ID, "MISS", "n=UP_MISS", nil)
		return
	}
	w.copies[cache+object] = now
	w.answer(cache, call, now, now, "MISS_ORIGIN")
}

func (w *world) answer(cache string, call *rig2.Call, since, now time.Time, note string) {
	version := "new"
	if !w.purgedAt.IsZero() && since.Before(w.purgedAt) {
		version = "old"
	}
	bound := !w.bindsAt.IsZero() && now.After(w.bindsAt.Add(slack))
	if bound {
		w.checked++
	}
	w.record.Logf("%s: %s, cap %q, up %q: %s, %s copy", cache, call.ID, call.Fields["cap"], call.Fields["up"], note,
		version)
	if bound && version == "old" {
		w.broken++
		w.record.Logf("BROKEN: %s was sent %v after the purge had to be obeyed, and is answered from a copy %v older "+
			"than the purge", call.ID, now.Sub(w.bindsAt), w.purgedAt.Sub(since))
	}
	fields := fmt.Sprintf("n=%s,rev=r%d,since=%d", note, since.UnixMilli(), since.UnixMilli())
	call.Conn.Answer(call.ID, "OK", fields, rig2.Body(call.Fields["asset"], size))
}

func play(record *rig2.Record) (int, error) {
	w := &world{record: record}
	w.begin()
	change := func(config *rig2.Config) { config.Settings = rig2.Settings(directors) }
	fleet, err := rig2.StartFleet(record, 3, w.handle, change)
	defer fleet.Stop()
	if err != nil {
		return rig2.NotRun, err
	}
	addresses := []string{fleet.Director.Config.Listen}
	for i := 1; i < directors; i++ {
		other, err := startOther(record, fleet, i)
		if err != nil {
			return rig2.NotRun, err
		}
		defer other.Kill()
		addresses = append(addresses, other.Config.Listen)
	}
	over := make(chan struct{})
	var group sync.WaitGroup
	var answered [directors]int
	for i, address := range addresses {
		group.Go(func() { answered[i] = w.ask(i, address, over) })
	}
	for i := 0; i < cycles && w.held(); i++ {
		w.cycle(fleet.Feed)
	}
	close(over)
	group.Wait()
	return w.result(answered), nil
}

// startOther starts another director of the deployment.
func startOther(record *rig2.Record, fleet *rig2.Fleet, number int) (*rig2.Director, error) {
	config := fleet.Director.Config
	config.Name = fmt.Sprint("n", number+1)
	config.Settings = rig2.Settings(directors)
	config.Settings["me"] = number
	config.Operator = ""
	var err error
	if config.Listen, err = rig2.FreeAddress(); err != nil {
		return nil, err
	}
	director, err := rig2.Start(config)
	if err != nil {
		return nil, err
	}
	record.Logf("director %s started, listens at %s", config.Name, config.Listen)
	return director, director.WaitReady()
}

func (w *world) result(answered [directors]int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	served := 0
	for _, count := range answered {
		served += count
	}
	w.record.Logf("%d served, %d answers to requests that had to obey a purge, %d of them from an older copy", served,
		w.checked, w.broken)
	switch {
	case w.broken > 0:
		return rig2.Broken
	case w.checked == 0 || served == 0:
		return rig2.NotRun
	}
	return rig2.Held
}

// cycle lets the feed be well, stops it, and purges the objects at the beginning of the stop.
func (w *world) cycle(feed *rig2.Feed) {
	w.begin()
	time.Sleep(settled)
	feed.WaitBeat()
	time.Sleep(phase)
	start := time.Now()
	bindsAt := start.Add(told + heed)
	if rig2.Trouble() {
		feed.Silence(true)
	} else {
		bindsAt = start.Add(tellAfter + heed)
	}
	objects := w.purge(start, bindsAt)
	time.Sleep(tellAfter)
	for _, object := range objects {
		feed.PurgeAt(object, start)
	}
	time.Sleep(time.Until(start.Add(stopped)))
	if rig2.Trouble() {
		feed.Silence(false)
	}
	time.Sleep(time.Until(start.Add(rest)))
}

// ask asks a director for its object of the cycle, again and again.
func (w *world) ask(number int, address string, over chan struct{}) (served int) {
	client, err := rig2.Dial(address)
	for err == nil {
		select {
		case <-over:
			return served
		case <-time.After(30 * time.Millisecond):
		}
		w.mu.Lock()
		object := w.objects[number]
		w.mu.Unlock()
		answer := rig2.Wait(client.Submit(rig2.Request("media", object, allow), nil), allow+time.Second)
		if answer.Kind == rig2.Served && bytes.HasPrefix(answer.Body, []byte(object)) {
			served++
		}
		if client.Ended() {
			client, err = rig2.Dial(address)
		}
	}
	return served
}
