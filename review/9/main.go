// Command 9 plays case 9 of the second review: messages with no end beside usual clients whose writes arrive in
// several segments.
package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"shaleyard/review/rig2"
)

const (
	usualClients = 8
	endless      = 300 // clients at once whose message has no end
	announced    = 96 << 10
	written      = 70_000
	bodySize     = 40_000 // bytes of a repayment; 48,000 at most
	pieces       = 20     // segments in which it arrives
	piecePause   = time.Millisecond
	fillTime     = 1500 * time.Millisecond // until a cache answers a read
	objectSize   = 2_000
	duration     = 15 * time.Second
	allow        = 3 * time.Second
	crossing     = 50 * time.Millisecond
	memoryMB     = 64
	pause        = 300 * time.Millisecond // before a client of that kind connects again
)

func main() { rig2.Main(play) }

type tally struct{ answered, lost, excused atomic.Int64 }

func play(record *rig2.Record) (int, error) {
	handle := func(cache string, call *rig2.Call) {
		if call.Word != "REQ" {
			return
		}
		record.Logf("%s: %s of class %s", cache, call.ID, call.Fields["sort"])
		if call.Fields["sort"] == "media" {
			time.Sleep(fillTime)
		}
		call.Conn.Raw(rig2.Good(call.ID, call.Fields["asset"], objectSize))
	}
	fleet, err := rig2.StartFleet(record, 3, handle, func(config *rig2.Config) { config.MemoryMB = memoryMB })
	defer fleet.Stop()
	if err != nil {
		return rig2.NotRun, err
	}
	address := fleet.Director.Config.Listen
	end := time.Now().Add(duration)
	var connected atomic.Int64
	if rig2.Trouble() {
		for range endless {
			go neverEnd(address, end, &connected)
		}
	}
	var group sync.WaitGroup
	var sum tally
	for i := range usualClients {
		group.Go(func() {
			time.Sleep(time.Duration(i) * fillTime / usualClients)
			for time.Now().Before(end) {
				use(record, fmt.Sprint("client ", i), address, &sum)
			}
		})
	}
	group.Wait()
	record.Logf("%d repayments answered, %d lost; %d crossed a close within 50 ms, which does not count; %d messages "+
		"had no end", sum.answered.Load(), sum.lost.Load(), sum.excused.Load(), connected.Load())
	switch {
	case sum.lost.Load() > 0:
		return rig2.Broken, nil
	case sum.answered.Load() == 0:
		return rig2.NotRun, nil
	}
	return rig2.Held, nil
}

// use plays one connection of a usual client: a read, and a repayment while the read is open.
func use(record *rig2.Record, name, address string, sum *tally) {
	client, err := rig2.Dial(address)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return
	}
	defer func() { _ = client.Close() }()
	read := client.Submit(rig2.Request("media", rig2.Ref(), 2*allow), nil)
	time.Sleep(50 * time.Millisecond)
	seq, paid := client.Open()
	fields := rig2.Request("repayment", rig2.Ref(), allow)
	if client.SendPieces(rig2.Frame(seq, fields, make([]byte, bodySize)), pieces, piecePause) != nil {
		return // not written, so that the director has not taken it
	}
	sentAt := time.Now()
	record.Logf("%s: wrote repayment %s whole", name, fields["ref"])
	answer := rig2.Wait(paid, allow+time.Second)
	record.Logf("%s: %s for repayment %s, connection ended: %v", name, answer.Kind, fields["ref"], client.Ended())
	switch {
	case answer.Kind != rig2.NoAnswer:
		sum.answered.Add(1)
	case !client.Ended():
		record.Logf("%s: no answer, and the connection is open", name)
	case answer.At.Sub(sentAt) <= crossing:
		sum.excused.Add(1)
	default:
		sum.lost.Add(1)
		record.Logf("%s: LOST %s, request 2 of its connection: the connection ended %v after its last byte", name,
			fields["ref"], answer.At.Sub(sentAt))
	}
	rig2.Wait(read, allow)
}

// neverEnd plays one bad client: it announces a message, sends most of it, and waits until the director closes the
// connection or 3 s have passed.
func neverEnd(address string, end time.Time, connected *atomic.Int64) {
	time.Sleep(time.Duration(rand.IntN(500)) * time.Millisecond)
	for time.Now().Before(end) {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			connected.Add(1)
			_, _ = conn.Write(binary.BigEndian.AppendUint32(nil, announced))
			_, _ = conn.Write(make([]byte, written))
			_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.Close()
		}
		time.Sleep(pause)
	}
}
