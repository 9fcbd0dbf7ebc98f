// Command 10 plays case 10 of the second review: hundreds of clients that never finish a request, beside clients that
// read slowly.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"shaleyard/review/rig2"
)

const (
	slowClients = 4
	size        = 200_000   // bytes of an object; 240,000 at most
	pace        = 1_000_000 // bytes a second that a slow client reads
	crowd       = 200       // clients at once that never finish a request
	crowdPause  = 500 * time.Millisecond
	duration    = 15 * time.Second
	allow       = 5 * time.Second
	sockets     = 256
)

func main() { rig2.Main(play) }

func play(record *rig2.Record) (int, error) {
	handle := func(cache string, call *rig2.Call) {
		if call.Word == "REQ" {
			record.Logf("%s: ran %s", cache, call.ID)
			time.Sleep(20 * time.Millisecond)
			call.Conn.Raw(rig2.Good(call.ID, call.Fields["asset"], size))
		}
	}
	fleet, err := rig2.StartFleet(record, 3, handle, func(config *rig2.Config) { config.Sockets = sockets })
	defer fleet.Stop()
	if err != nil {
		return rig2.NotRun, err
	}
	address := fleet.Director.Config.Listen
	end := time.Now().Add(duration)
	var connected atomic.Int64
	if rig2.Trouble() {
		for range crowd {
			go neverFinish(address, end, &connected)
		}
	}
	var group sync.WaitGroup
	results := make([]rig2.SlowResult, slowClients)
	for i := range slowClients {
		group.Go(func() { results[i] = readSlowly(record, fmt.Sprint("client ", i), address, end) })
	}
	group.Wait()
	var sum rig2.SlowResult
	for _, result := range results {
		sum.Answered += result.Answered
		sum.Lost += result.Lost
		sum.Crossed += result.Crossed
		sum.First += result.First
	}
	record.Logf("%d answered, %d lost; %d crossed a close within 50 ms and %d were the first of a connection, which "+
		"does not count; %d clients never finished a request", sum.Answered, sum.Lost, sum.Crossed, sum.First,
		connected.Load())
	switch {
	case sum.Lost > 0:
		return rig2.Broken, nil
	case sum.Answered == 0:
		return rig2.NotRun, nil
	}
	return rig2.Held, nil
}

// readSlowly plays one slow client, which connects again when the director has closed its connection.
func readSlowly(record *rig2.Record, name, address string, end time.Time) (sum rig2.SlowResult) {
	client := &rig2.SlowClient{
		Record: record, Name: name, Rate: pace, SendAfter: 0.6, Allow: allow,
		Until:  func() bool { return time.Now().Before(end) },
		Fields: func() map[string]string { return rig2.Request("media", rig2.Ref(), allow) },
	}
	for time.Now().Before(end) {
		result, err := client.Run(address)
		if err != nil {
			record.Logf("%s: %v", name, err)
		}
		sum.Answered += result.Answered
		sum.Lost += result.Lost
		sum.Crossed += result.Crossed
		sum.First += result.First
		time.Sleep(100 * time.Millisecond)
	}
	return sum
}

// neverFinish plays one client of the crowd: it connects, sends the beginning of a request, and waits until the
// director closes the connection or 3 s have passed.
func neverFinish(address string, end time.Time, connected *atomic.Int64) {
	time.Sleep(time.Duration(rand.Int64N(int64(crowdPause))))
	for time.Now().Before(end) {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			connected.Add(1)
			whole := rig2.Frame(1, rig2.Request("media", rig2.Ref(), allow), nil)
			_, _ = conn.Write(whole[:len(whole)/2])
			_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.Close()
		}
		time.Sleep(crowdPause)
	}
}
