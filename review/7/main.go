// Command 7 plays case 7 of the second review: good answers of caches whose array length does not fit.
package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"shaleyard/review/rig2"
)

const (
	requests = 200
	size     = 20_000 // bytes of an object
	allow    = 3 * time.Second
	spoiled  = 10 // one of so many good answers arrives spoilt
)

func main() { rig2.Main(play) }

// spoil returns a good answer with an array length that does not fit: 2 or 3 in place of 4.
func spoil(good []byte) []byte {
	good[1] = []byte("23")[rand.IntN(2)]
	return good
}

func play(record *rig2.Record) (int, error) {
	var answers atomic.Int64
	handle := func(cache string, call *rig2.Call) {
		if call.Word != "REQ" {
			return
		}
		good := rig2.Good(call.ID, call.Fields["asset"], size)
		if answers.Add(1)%spoiled != 0 || !rig2.Trouble() {
			record.Logf("%s: ran %s, good answer", cache, call.ID)
			call.Conn.Raw(good)
			return
		}
		spoilt := spoil(good)
		record.Logf("%s: ran %s, spoilt answer %.40q...", cache, call.ID, spoilt)
		call.Conn.Last(spoilt)
	}
	fleet, err := rig2.StartFleet(record, 3, handle, nil)
	defer fleet.Stop()
	if err != nil {
		return rig2.NotRun, err
	}
	status := rig2.Held
	client, err := rig2.Dial(fleet.Director.Config.Listen)
	if err != nil {
		return rig2.NotRun, err
	}
	for i := range requests {
		object := fmt.Sprintf("%016x", rand.Uint64())
		fields := rig2.Request([]string{"media", "pages", "media", "repayment"}[i%4], object, allow)
		answer := rig2.Wait(client.Submit(fields, nil), allow+time.Second)
		record.Logf("client: %s %s: %s, %d bytes", fields["service"], fields["ref"], answer.Kind, len(answer.Body))
		if answer.Kind == rig2.Served && !bytes.Equal(answer.Body, rig2.Body(object, size)) {
			record.Logf("BROKEN: %s is served with %d bytes that no cache made for it, want %d", fields["ref"],
				len(answer.Body), size)
			status = rig2.Broken
		}
	}
	return status, nil
}
