package simwire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"

	"shaleyard/routing"
)

// decodeHex decodes hex digits, which white space may separate.
func decodeHex(t testing.TB, digits string) []byte {
	t.Helper()
	decoded, err := hex.DecodeString(strings.Join(strings.Fields(digits), ""))
	if err != nil {
		t.Fatal(err)
	}
	return decoded
}

// buildBatch returns the encoded batch 12 at batchClock. Its header gives count as the number of records, which records
// holds in hex.
func buildBatch(t testing.TB, count int, records string) []byte {
	t.Helper()
	body := decodeHex(t, records)
	batch := make([]byte, 0, batchHeaderBytes+len(body))
	batch = append(
		batch,
		0,
		0,
		0,
		12,
		0,
		0,
		0,
		byte(count),
		0,
		0,
		0,
		byte(len(body)),
		0,
		0,
		0,
		1,
		0xf5,
		0x68,
		0xbf,
		0x90,
	)
	return append(batch, body...)
}

const batchClock = routing.Time(0x1f568bf90)

func hostAddress(ip [4]byte, port uint64) routing.Host {
	return routing.Host(uint64(ip[0])<<40 | uint64(ip[1])<<32 | uint64(ip[2])<<24 | uint64(ip[3])<<16 | port)
}

var (
	hostA = hostAddress([4]byte{0x0a, 0x12, 0x4a, 0x07}, 0x138b)
	hostB = hostAddress([4]byte{0x0a, 0x90, 0x11, 0xf2}, 0x13b4)
)

func TestDecode(t *testing.T) {
	for _, tc := range []struct {
		name, hex string
		count     int
		want      []Record
	}{
		{"empty", "", 0, []Record{}},
		{"request, timer, request closed", `
			10 00000028 0003 5d3a91c4 0000 0000 91f03b7c55d20a64 0000000203b6db90 44200000 41300000 40400000 0001
			14 0000000a 0003 000000000000004d
			13 00000006 0005 0e6f2b19`, 3, []Record{
			{3, routing.Request{ID: 0x5d3a91c4, Object: 0x91f03b7c55d20a64, Deadline: 0x203b6db90, SizeKB: 640,
				Group: 11, Part: 3}},
			{3, routing.TimerFired{Token: 77}},
			{5, routing.RequestClosed{ID: 0x0e6f2b19}}}},
		{"endpoint list and update", `
			18 00000036 0000 00000002
			0a124a07 138b 0000 00 02 0000000000000000 3f800000 0000
			0a9011f2 13b4 0001 00 02 000000016b969d00 3fc00000 0000
			15 0000000d 0003 02 0000000000000029 0000`, 2, []Record{
			{3, routing.EndpointUpdate{Kind: routing.UpdateCached, Version: 41, Endpoints: []routing.Endpoint{
				{Host: hostA, State: routing.Ready, Weight: 1},
				{Host: hostB, Zone: 1, State: routing.Ready, Started: 0x16b969d00, Weight: 1.5}}}}}},
		{"endpoint list is replaced within a batch", `
			18 0000001e 0001 00000001 0a124a07 138b 0000 00 02 0000000000000000 3f800000 0000
			15 0000000d 0003 01 0000000000000029 0001
			18 00000006 0001 00000000
			15 0000000d 0004 01 0000000000000029 0001`, 4, []Record{
			{3, routing.EndpointUpdate{Kind: routing.UpdateFull, Version: 41, Endpoints: []routing.Endpoint{
				{Host: hostA, State: routing.Ready, Weight: 1}}}},
			{4, routing.EndpointUpdate{Kind: routing.UpdateFull, Version: 41, Endpoints: []routing.Endpoint{}}}}},
		{"outcome", `11 00000036 0003 5d3a91c4 0000 0a124a07 138b 0064 00000000011a49a0 01 00000002 00000000008f6ec0
			04 3f1eb85240e000003fa000003ecccccd`, 1, []Record{
			{3, routing.Outcome{ID: 0x5d3a91c4, Host: hostA, Result: routing.OK, Elapsed: 18500000, RequestDone: true,
				FillStatus: routing.FillStatusFilled, SourceWait: 9400000, LoadReport: []float32{0.62, 7, 1.25,
					0.4}}}}},
		{"purge, stop instance, stream started", `
			19 00000014 0003 000000000510ff40 000b 0000007c55d20a01
			16 00000002 0003
			12 00000016 0003 00000001 0002 0a124a07 138b 0000000000000005`, 3, []Record{
			{3, routing.Purge{Age: 85000000, Group: 11, Object: 0x7c55d20a01}},
			{3, StopInstance{}},
			{3, routing.StreamStarted{ID: 1, Attempt: 2, Host: hostA, Elapsed: 5}}}},
		{"probe result, peer message, start instance", `
			1a 00000017 0003 0000000000000005 0130 0a124a07 138b 01 3f800000
			17 00000009 0003 00000002 0001 68
			1b 00000010 0003 0000000000000009 00000002 7b7d`, 3, []Record{
			{3, routing.ProbeResult{Host: hostA, Elapsed: 5, Result: routing.ConnectFailed, LoadReport: []float32{1}}},
			{3, routing.PeerMessage{From: 2, Data: []byte("h")}},
			{3, StartInstance{Seed: 9, Settings: []byte("{}")}}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			batch, err := decodeFirst(buildBatch(t, tc.count, tc.hex))
			if err != nil {
				t.Fatal(err)
			}
			if batch.Number != 12 || batch.Clock != batchClock {
				t.Errorf("got batch %d at %d, want 12 at %d", batch.Number, batch.Clock, batchClock)
			}
			if !reflect.DeepEqual(batch.Records, tc.want) {
				t.Errorf("got  %+v\nwant %+v", batch.Records, tc.want)
			}
		})
	}
}

func TestEncode(t *testing.T) {
	fetch := routing.Fetch{ID: 0x5d3a91c4, Host: hostA, Source: hostB, RetentionRank: 2,
		Flags: routing.CoalesceFill | routing.StaleWhileRevalidate, Timeout: 900000000, MaxAge: 1500000000}
	for _, tc := range []struct {
		name   string
		action any
		want   string
	}{
		{"forward", routing.Forward{ID: 0x5d3a91c4, Timeout: 80000000, Host: hostA},
			"10 00000014 0003 5d3a91c4 0000000004c4b400 0a124a07 138b"},
		{"set timer", routing.SetTimer{Token: 77, At: 0x213362490},
			"11 00000012 0003 000000000000004d 0000000213362490"},
		{"log", routing.Log{Message: "two servers known"}, "13 00000015 0003 0011 74776f2073657276657273206b6e6f776e"},
		{"fetch", fetch,
			"15 00000024 0003 5d3a91c4 09 0000000035a4e900 02 0a9011f2 13b4 0a124a07 138b 0000000059682f00"},
		{"peer message", routing.SendPeerMessage{To: routing.AllPeers, Data: []byte("hi 7")},
			"19 0000000c 0003 ffffffff 0004 68692037"},
		{"cancel", routing.Cancel{ID: 1, Attempt: 2}, "14 00000008 0003 00000001 0002"},
		{"reject", routing.Reject{ID: 1, RetryAfter: 5}, "1c 0000000e 0003 00000001 0000000000000005"},
		{"fail", routing.Fail{ID: 1}, "17 00000006 0003 00000001"},
		{"probe", routing.Probe{Host: hostA}, "18 00000008 0003 0a124a07 138b"},
		{"close idle connections", routing.CloseIdleConnections{Host: hostA}, "1b 00000008 0003 0a124a07 138b"},
		{"subscribe", routing.Subscribe{Enabled: true}, "16 00000003 0003 01"},
		{"unsubscribe", routing.Subscribe{}, "16 00000003 0003 00"},
		{"poll endpoints", routing.PollEndpoints{}, "12 00000002 0003"},
		{"crash", Crash{Text: "x"}, "1a 00000005 0003 0001 78"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var reply Reply
			reply.Reset(12)
			if err := reply.Append(3, tc.action); err != nil {
				t.Fatal(err)
			}
			body := decodeHex(t, tc.want)
			want := append([]byte{0, 0, 0, 12, 0, 0, 0, byte(len(body))}, body...)
			if got := reply.Bytes(); !bytes.Equal(got, want) {
				t.Errorf("%T\ngot  %x\nwant %x", tc.action, got, want)
			}
		})
	}
	var reply Reply
	if err := reply.Append(3, 7); err == nil {
		t.Error("Append of an int: got no error, want one")
	}
}

// decodeFirst returns the first batch of an input.
func decodeFirst(input []byte) (*Batch, error) { return NewReader(bytes.NewReader(input)).Next() }

// TestTruncatedBatch guards against taking a truncated batch for a clean end of the input. Only an empty input gives
// io.EOF.
func TestTruncatedBatch(t *testing.T) {
	whole := buildBatch(t, 1, "14 0000000a 0003 000000000000004d")
	for n := 1; n < len(whole); n++ {
		if _, err := decodeFirst(whole[:n]); err == nil || errors.Is(err, io.EOF) {
			t.Errorf("%d of %d bytes: got error %v, want one that is not io.EOF", n, len(whole), err)
		}
	}
	if _, err := decodeFirst(nil); !errors.Is(err, io.EOF) {
		t.Errorf("empty input: got error %v, want io.EOF", err)
	}
}

func TestMalformed(t *testing.T) {
	for _, tc := range []struct {
		name    string
		count   int
		records string
	}{
		{"unknown code", 1, "63 00000002 0003"},
		{"truncated fields", 1, "14 00000004 0003 0000"},
		{"record is longer than the batch", 1, "14 000000ff 0003"},
		{"bytes after the last record", 0, "14 00000002 0003"},
		{"unknown result code", 1, "1a 00000013 0003 0000000000000005 0001 0a124a07 138b 00"},
		{"endpoint list index out of range", 1, "18 00000006 0010 00000000"},
		{"endpoint list is longer than its record", 1, "18 00000006 0001 00000009"},
		{"text is longer than its record", 1, "17 00000008 0003 00000002 0009"},
		{"endpoint update of unknown kind", 1, "15 0000000d 0003 07 0000000000000029 0000"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if _, err := decodeFirst(buildBatch(t, tc.count, tc.records)); err == nil {
				t.Error("got no error, want one")
			}
		})
	}
}

// FuzzReader reads arbitrary bytes. It guards against a panic, and against a Reader that returns batches without
// consuming input: an input holds no more batches than fit into it with their headers.
func FuzzReader(f *testing.F) {
	f.Add(buildBatch(f, 1, "14 0000000a 0003 000000000000004d"))
	f.Add(buildBatch(f, 1, "18 00000006 0001 00000000"))
	f.Add(buildBatch(f, 1, "19 00000014 0003 000000000510ff40 000b 0000007c55d20a01"))
	f.Fuzz(func(t *testing.T, input []byte) {
		if len(input) > batchHeaderBytes && input[8] != 0 {
			return // a length of 16 MiB or more only makes the Reader allocate and read more
		}
		reader := NewReader(bytes.NewReader(input))
		for range len(input)/batchHeaderBytes + 1 {
			if _, err := reader.Next(); err != nil {
				return
			}
		}
		t.Fatalf("got more batches than fit into %d bytes", len(input))
	})
}
