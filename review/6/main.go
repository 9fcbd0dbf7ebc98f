// Command 6 plays case 6 of the second review: a client whose messages hold a length that is wrong.
package main

import (
	"bytes"
	"encoding/binary"
	"sync"
	"time"

	"shaleyard/review/rig2"
)

const (
	requests = 60
	size     = 2_000 // bytes of an object
	bodySize = 400   // bytes of a repayment; 48,000 at most
	allow    = 3 * time.Second
	bad      = 3 // one of so many connections is the bad client's
)

func main() { rig2.Main(play) }

// names are the fields of a request, in the order in which the clients write them.
var names = []string{"service", "ref", "allow", "lookup", "chunk", "tag", "room"}

// ran is what the servers ran, and sent what the clients sent, by the id of the request.
type ran struct {
	mu     sync.Mutex
	bodies map[string][]byte
}

func (r *ran) add(id string, body []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bodies[id] = body
}

func (r *ran) get(id string) ([]byte, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	body, found := r.bodies[id]
	return body, found
}

func play(record *rig2.Record) (int, error) {
	seen := &ran{bodies: map[string][]byte{}}
	handle := func(cache string, call *rig2.Call) {
		if call.Word != "REQ" {
			return
		}
		record.Logf("%s: ran %s of class %s, a body of %d bytes", cache, call.ID, call.Fields["sort"], len(call.Body))
		seen.add(call.ID, call.Body)
		call.Conn.Raw(rig2.Good(call.ID, call.Fields["asset"], size))
	}
	fleet, err := rig2.StartFleet(record, 3, handle, nil)
	defer fleet.Stop()
	if err != nil {
		return rig2.NotRun, err
	}
	broken, served := 0, 0
	for i := range requests {
		wrong := i%bad == 0 && rig2.Trouble()
		answer, sent, err := ask(record, fleet.Director.Config.Listen, wrong)
		if err != nil {
			return rig2.NotRun, err
		}
		if answer.Kind == rig2.Served {
			served++
		}
		broken += check(record, seen, sent, answer, wrong)
	}
	record.Logf("%d requests, %d served, the rules were broken %d times", requests, served, broken)
	switch {
	case broken > 0:
		return rig2.Broken, nil
	case served == 0:
		return rig2.NotRun, nil
	}
	return rig2.Held, nil
}

type request struct {
	id   string
	body []byte
}

// ask sends a repayment on a connection of its own. If wrong is set, the message announces one field less than it has.
func ask(record *rig2.Record, address string, wrong bool) (rig2.Answer, request, error) {
	client, err := rig2.Dial(address)
	if err != nil {
		return rig2.Answer{}, request{}, err
	}
	defer func() { _ = client.Close() }()
	fields := rig2.Request("repayment", rig2.Ref(), allow)
	sent := request{id: fields["ref"], body: bytes.Repeat([]byte("42.50 to loan 7 "), bodySize/16)}
	seq, answer := client.Open()
	count := len(names)
	if wrong {
		count--
	}
	if err := client.Send(message(seq, count, fields, sent.body)); err != nil {
		return rig2.Answer{}, request{}, err
	}
	record.Logf("client: sent repayment %s with a body of %d bytes, length of its fields %d of %d", sent.id,
		len(sent.body), count, len(names))
	got := rig2.Wait(answer, allow)
	record.Logf("client: %s for %s", got.Kind, sent.id)
	return got, sent, nil
}

// message returns the frame of a submit that announces count fields.
func message(seq int32, count int, fields map[string]string, body []byte) []byte {
	text := []byte{0x80, 0x01, 0, 1}
	text = appendString(text, "submit")
	text = binary.BigEndian.AppendUint32(text, uint32(seq))
	text = append(text, 13, 0, 1, 11, 11)
	text = binary.BigEndian.AppendUint32(text, uint32(count))
	for _, name := range names {
		text = appendString(text, name)
		text = appendString(text, fields[name])
	}
	text = append(text, 11, 0, 2)
	text = appendString(text, string(body))
	text = append(text, 0)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)
}

func appendString(text []byte, value string) []byte {
	return append(binary.BigEndian.AppendUint32(text, uint32(len(value))), value...)
}

// check returns how often a request broke a rule: a bad client is served, or a server ran what no client sent.
func check(record *rig2.Record, seen *ran, sent request, answer rig2.Answer, wrong bool) (broken int) {
	if wrong && answer.Kind == rig2.Served {
		record.Logf("BROKEN: the bad client's %s is answered as served", sent.id)
		broken++
	}
	if body, found := seen.get(sent.id); found && !bytes.Equal(body, sent.body) {
		record.Logf("BROKEN: a server ran %s with a body of %d bytes, sent were %d", sent.id, len(body), len(sent.body))
		broken++
	}
	return broken
}
