package main

import (
	"bytes"
	"encoding/binary"
	"testing"
)

const validSettings = `{"services":[{"aim":500000000,"deadline":4000000000,"effect":"read_like"}],"dcs":["a"],
	"ceilings":{"maxAttempts":3},"familyInfo":{"masterKind":2,"secondTierKind":1},"unknownKey":[1]}`

// encodeRecord returns a record with big-endian fields.
func encodeRecord(code byte, fields ...any) []byte {
	var body bytes.Buffer
	for _, field := range fields {
		_ = binary.Write(&body, binary.BigEndian, field) // a bytes.Buffer returns no write errors
	}
	return append(binary.BigEndian.AppendUint32([]byte{code}, uint32(body.Len())), body.Bytes()...)
}

// encodeBatch returns batch 5 with the records, at the time 7e9 ns.
func encodeBatch(records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	header := binary.BigEndian.AppendUint32([]byte{0, 0, 0, 5}, uint32(len(records)))
	header = binary.BigEndian.AppendUint32(header, uint32(len(body)))
	header = binary.BigEndian.AppendUint64(header, 7e9)
	return append(header, body...)
}

// startRecord returns a record that starts an instance.
func startRecord(instance uint16, settings string) []byte {
	return encodeRecord(27, instance, uint64(1), uint32(len(settings)), []byte(settings))
}

// actionCodes returns the codes of the actions in a reply, in order.
func actionCodes(t *testing.T, reply []byte) (codes []byte) {
	t.Helper()
	actions := reply[8:]
	for len(actions) > 0 {
		codes = append(codes, actions[0])
		size := binary.BigEndian.Uint32(actions[1:])
		actions = actions[5+size:]
	}
	return codes
}

func TestServe(t *testing.T) {
	update := encodeRecord(21, uint16(3), uint8(2), uint64(1), uint16(0))
	endpointList := encodeRecord(24, uint16(0), uint32(0))
	request := encodeRecord(16, uint16(3), uint32(9), uint16(0), uint16(0), uint64(5), uint64(9e9), make([]byte, 14))
	for _, tc := range []struct {
		name string
		in   []byte
		want []byte
	}{
		{"empty batch", encodeBatch(), nil},
		{"router sets a timer after its first endpoint update",
			encodeBatch(startRecord(3, validSettings), endpointList, update), []byte{17}},
		{"request waits while no endpoint is known",
			encodeBatch(startRecord(3, validSettings), endpointList, update, request), []byte{17, 17}},
		{"settings are not JSON", encodeBatch(startRecord(3, "{")), []byte{26}},
		{"settings are invalid", encodeBatch(startRecord(3, "{}")), []byte{26}},
		{"instance is stopped and started again in one batch", encodeBatch(
			startRecord(3, validSettings), endpointList, update,
			encodeRecord(22, uint16(3)), update, startRecord(3, validSettings), update), []byte{17, 17}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var out bytes.Buffer
			if err := serve(bytes.NewReader(tc.in), &out); err != nil {
				t.Fatal(err)
			}
			if got := actionCodes(t, out.Bytes()); !bytes.Equal(got, tc.want) {
				t.Errorf("got action codes %v, want %v", got, tc.want)
			}
		})
	}
}

func TestServeStopsAtMalformedInput(t *testing.T) {
	for _, tc := range []struct {
		name string
		in   []byte
	}{
		{"truncated batch header", encodeBatch()[:7]},
		{"unknown event code", encodeBatch(encodeRecord(99, uint16(1)))},
		{"truncated fields", encodeBatch(encodeRecord(20, uint16(1)))},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if err := serve(bytes.NewReader(tc.in), &bytes.Buffer{}); err == nil {
				t.Errorf("input %x: got no error, want one", tc.in)
			}
		})
	}
}
