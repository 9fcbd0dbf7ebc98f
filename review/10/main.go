// Command 10 plays case 10 of the second review: a drain beside clients that read slowly and go on using their
// connections.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"shaleyard/review/rig2"
)

const (
	slowClients = 6
	size        = 60_000 // bytes of an object
	pace        = 64_000 // bytes a second that a slow client reads
	drainAfter  = 3 * time.Second
	sendFor     = 5 * time.Second // after the call
	allow       = 5 * time.Second
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
	fleet, err := rig2.StartFleet(record, 3, handle, nil)
	defer fleet.Stop()
	if err != nil {
		return rig2.NotRun, err
	}
	address := fleet.Director.Config.Listen
	end := time.Now().Add(drainAfter + sendFor)
	var group sync.WaitGroup
	results := make([]rig2.SlowResult, slowClients)
	for i := range slowClients {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 150 * time.Millisecond)
			client := &rig2.SlowClient{
				Record: record, Name: fmt.Sprint("client ", i), Rate: pace, SendAfter: 0.85, Allow: allow,
				Until:  func() bool { return time.Now().Before(end) },
				Fields: func() map[string]string { return rig2.Request("media", rig2.Ref(), allow) },
			}
			results[i], _ = client.Run(address)
		})
	}
	time.Sleep(drainAfter)
	if rig2.Trouble() {
		if err := drain(record, fleet.Director.Config.Operator); err != nil {
			return rig2.NotRun, err
		}
	}
	group.Wait()
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
		return rig2.Broken, nil
	case sum.Answered == 0:
		return rig2.NotRun, nil
	}
	return rig2.Held, nil
}

// drain makes the operators' call.
func drain(record *rig2.Record, operator string) error {
	call, err := http.NewRequest(http.MethodPut, "http://"+operator+"/healthcheck/fail", nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(call)
	if err != nil {
		return err
	}
	record.Logf("PUT /healthcheck/fail: %s", response.Status)
	return response.Body.Close()
}
