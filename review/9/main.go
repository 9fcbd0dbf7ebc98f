// Command 9 plays case 9 of the second review: a new version is started beside the running process, while clients read
// slowly and go on using their connections.
package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"shaleyard/review/rig2"
)

const (
	slowClients  = 12
	size         = 60_000 // bytes of an object
	pace         = 64_000 // bytes a second that a slow client reads
	upgradeAfter = 3 * time.Second
	readyWithin  = 6 * time.Second
	sendFor      = 500 * time.Millisecond  // after SIGTERM
	killAfter    = 3700 * time.Millisecond // after SIGTERM
	allow        = 5 * time.Second
)

func main() { rig2.Main(play) }

var errNotReady = errors.New("the new process was not ready within 6 s")

func play(record *rig2.Record) (int, error) {
	handle := func(cache string, call *rig2.Call) {
		if call.Word == "REQ" {
			record.Logf("%s: ran %s", cache, call.ID)
			time.Sleep(20 * time.Millisecond)
			call.Conn.Raw(rig2.Good(call.ID, call.Fields["asset"], size))
		}
	}
	listening, err := listen()
	if err != nil {
		return rig2.NotRun, err
	}
	fleet, err := rig2.StartFleet(record, 3, handle, func(config *rig2.Config) {
		config.Listen, config.Listening = listening.address, listening.file
	})
	defer fleet.Stop()
	if err != nil {
		return rig2.NotRun, err
	}
	var end atomic.Int64
	end.Store(time.Now().Add(upgradeAfter + 5*time.Second).UnixNano())
	var group sync.WaitGroup
	results := make([]rig2.SlowResult, slowClients)
	for i := range slowClients {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 80 * time.Millisecond)
			client := &rig2.SlowClient{
				Record: record, Name: fmt.Sprint("client ", i), Rate: pace, SendAfter: 0.8, Allow: allow,
				Until:  func() bool { return time.Now().UnixNano() < end.Load() },
				Fields: func() map[string]string { return rig2.Request("media", rig2.Ref(), allow) },
			}
			results[i], _ = client.Run(listening.address)
		})
	}
	time.Sleep(upgradeAfter)
	if rig2.Trouble() {
		next, err := upgrade(record, fleet.Director, &end)
		if err != nil {
			return rig2.NotRun, err
		}
		defer next.Kill()
	}
	group.Wait()
	return judge(record, results), nil
}

func judge(record *rig2.Record, results []rig2.SlowResult) int {
	var sum rig2.SlowResult
	for _, result := range results {
		sum.Answered += result.Answered
		sum.Lost += result.Lost
		sum.Crossed += result.Crossed
	}
	record.Logf("%d answered, %d lost; %d crossed a close within 50 ms, which does not count", sum.Answered, sum.Lost,
		sum.Crossed)
	switch {
	case sum.Lost > 0:
		return rig2.Broken
	case sum.Answered == 0:
		return rig2.NotRun
	}
	return rig2.Held
}

// socket is the clients' listening socket, which the platform holds.
type socket struct {
	address string
	file    *os.File
}

func listen() (socket, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return socket{}, err
	}
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		return socket{}, err
	}
	return socket{address: listener.Addr().String(), file: file}, listener.Close()
}

// upgrade starts a second process beside the first, waits until it says yes, and stops the first.
func upgrade(record *rig2.Record, old *rig2.Director, end *atomic.Int64) (*rig2.Director, error) {
	config := old.Config
	operator, err := rig2.FreeAddress()
	if err != nil {
		return nil, err
	}
	config.Operator = operator
	next, err := rig2.Start(config)
	if err != nil {
		return nil, err
	}
	for started := time.Now(); !ready(operator); time.Sleep(50 * time.Millisecond) {
		if time.Since(started) > readyWithin {
			next.Kill()
			return nil, errNotReady
		}
	}
	record.Logf("the new process is ready; SIGTERM goes to the old one")
	end.Store(time.Now().Add(sendFor).UnixNano())
	old.Signal(syscall.SIGTERM)
	go func() {
		if !old.WaitExit(killAfter) {
			record.Logf("SIGKILL goes to the old process")
			old.Signal(syscall.SIGKILL)
		}
	}()
	return next, nil
}

func ready(operator string) bool {
	response, err := http.Get("http://" + operator + "/healthcheck")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
