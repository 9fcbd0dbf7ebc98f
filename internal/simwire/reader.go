package simwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"shaleyard/routing"
)

// StartInstance starts an instance: its seed and its settings as JSON.
type StartInstance struct {
	Seed     uint64
	Settings []byte
}

// StopInstance ends an instance without notice.
type StopInstance struct{}

// Record is an event for one instance.
type Record struct {
	Instance uint16
	Event    any // a routing event, StartInstance or StopInstance
}

// Batch is one batch of events. Clock is the time at all of them.
type Batch struct {
	Number  uint32
	Clock   routing.Time
	Records []Record
}

// Reader reads batches.
type Reader struct {
	input         io.Reader
	buffer        []byte
	endpointLists [endpointListCount][]routing.Endpoint // lists of members that later records refer to
}

// NewReader returns a Reader of an input.
func NewReader(input io.Reader) *Reader { return &Reader{input: input} }

// batchHeader is what precedes the records of a batch.
type batchHeader struct {
	number, records, bytes uint32
	clock                  routing.Time
}

// Next returns the next batch, or io.EOF at a clean end. References to member banks are resolved in the order of the
// records.
func (r *Reader) Next() (*Batch, error) {
	header, err := r.readHeader()
	if err != nil {
		return nil, err
	}
	body, err := r.readBody(header)
	if err != nil {
		return nil, err
	}
	batch := &Batch{Number: header.number, Clock: header.clock, Records: make([]Record, 0, header.records)}
	for i := range header.records {
		body, err = r.appendRecord(batch, body)
		if err != nil {
			return nil, fmt.Errorf("batch %d: record %d: %w", header.number, i, err)
		}
	}
	if len(body) != 0 {
		return nil, fmt.Errorf("batch %d: %d bytes behind the last record", header.number, len(body))
	}
	return batch, nil
}

func (r *Reader) readHeader() (header batchHeader, err error) {
	var b [batchHeaderBytes]byte
	if _, err := io.ReadFull(r.input, b[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return header, io.EOF
		}
		return header, fmt.Errorf("batch header: %w", err)
	}
	header = batchHeader{
		number:  binary.BigEndian.Uint32(b[0:]),
		records: binary.BigEndian.Uint32(b[4:]),
		bytes:   binary.BigEndian.Uint32(b[8:]),
		clock:   routing.Time(binary.BigEndian.Uint64(b[12:])),
	}
	if header.bytes > maxBatchBytes || uint64(header.records)*recordHeaderBytes > uint64(header.bytes) {
		return header, fmt.Errorf("batch %d: %d records in %d bytes", header.number, header.records, header.bytes)
	}
	return header, nil
}

// readBody reads a batch's records. The slice is valid until the next call.
func (r *Reader) readBody(header batchHeader) ([]byte, error) {
	if uint32(cap(r.buffer)) < header.bytes {
		r.buffer = make([]byte, header.bytes)
	}
	body := r.buffer[:header.bytes]
	if _, err := io.ReadFull(r.input, body); err != nil {
		return nil, fmt.Errorf("batch %d: %w", header.number, io.ErrUnexpectedEOF)
	}
	return body, nil
}

// appendRecord decodes the first record of the body into the batch, and returns the rest of the body.
func (r *Reader) appendRecord(batch *Batch, body []byte) (rest []byte, err error) {
	if len(body) < recordHeaderBytes {
		return nil, errors.New("cut short")
	}
	code, size := body[0], binary.BigEndian.Uint32(body[1:])
	if uint64(size) > uint64(len(body)-recordHeaderBytes) {
		return nil, fmt.Errorf("code %d: cut short", code)
	}
	end := recordHeaderBytes + size
	fields := &fieldDecoder{rest: body[recordHeaderBytes:end]}
	if code == eventEndpointList {
		r.decodeEndpointList(fields)
	} else {
		batch.Records = append(batch.Records, r.decodeRecord(code, fields))
	}
	if fields.err != nil {
		return nil, fmt.Errorf("code %d: %w", code, fields.err)
	}
	return body[end:], nil
}

// decodeMemberBank fills a bank. It is no event of an instance.
func (r *Reader) decodeEndpointList(fields *fieldDecoder) {
	index := fields.u16()
	endpoints := fields.endpoints()
	if index >= endpointListCount {
		fields.fail("bank %d", index)
		return
	}
	r.endpointLists[index] = endpoints
}

func (r *Reader) decodeRecord(code byte, fields *fieldDecoder) Record {
	instance := fields.u16()
	var event any
	switch code {
	case eventStartInstance:
		event = decodeStartInstance(fields)
	case eventStopInstance:
		event = StopInstance{}
	case eventEndpointUpdate:
		event = r.decodeEndpointUpdate(fields)
	case eventRequest:
		event = decodeRequest(fields)
	case eventStreamStarted:
		event = decodeStreamStarted(fields)
	case eventOutcome:
		event = decodeOutcome(fields)
	case eventRequestClosed:
		event = routing.RequestClosed{ID: fields.u32()}
	case eventTimer:
		event = routing.TimerFired{Token: fields.u64()}
	case eventProbeResult:
		event = decodeProbeResult(fields)
	case eventPeerMessage:
		event = decodePeerMessage(fields)
	case eventPurge:
		event = routing.Purge{Age: fields.time(), Group: int(fields.u16()), Object: fields.u64()}
	default:
		fields.fail("unknown code")
	}
	return Record{Instance: instance, Event: event}
}

func decodeStartInstance(fields *fieldDecoder) StartInstance {
	seed := fields.u64()
	size := int(fields.u32())
	return StartInstance{Seed: seed, Settings: bytes.Clone(fields.take(size))}
}

// decodeMembers decodes news of the list of servers. A call that failed refers to no bank.
func (r *Reader) decodeEndpointUpdate(fields *fieldDecoder) routing.EndpointUpdate {
	update := routing.EndpointUpdate{Kind: routing.UpdateKind(fields.u8()), Version: fields.u64()}
	listIndex := fields.u16()
	failed := update.Kind == routing.UpdateFailed
	switch {
	case update.Kind > routing.UpdateFailed, listIndex >= endpointListCount && !failed:
		fields.fail("list kind %d, bank %d", update.Kind, listIndex)
	case !failed:
		update.Endpoints = r.endpointLists[listIndex]
	}
	return update
}

func decodeRequest(fields *fieldDecoder) routing.Request {
	request := routing.Request{
		ID:       fields.u32(),
		Class:    int(fields.u16()),
		Tenant:   int(fields.u16()),
		Object:   fields.u64(),
		Deadline: fields.time(),
		SizeKB:   fields.f32(),
		Group:    int(fields.f32()),
		Part:     int(fields.f32()),
	}
	flags := fields.u16()
	request.ClientRetry = flags&flagClientRetry != 0
	request.Write = flags&flagWrite != 0
	return request
}

func decodeStreamStarted(fields *fieldDecoder) routing.StreamStarted {
	return routing.StreamStarted{
		ID:      fields.u32(),
		Attempt: int(fields.u16()),
		Host:    fields.host(),
		Elapsed: fields.time(),
	}
}

func decodeOutcome(fields *fieldDecoder) routing.Outcome {
	return routing.Outcome{
		ID:          fields.u32(),
		Attempt:     int(fields.u16()),
		Host:        fields.host(),
		Result:      fields.result(),
		Elapsed:     fields.time(),
		RequestDone: fields.u8() != 0,
		FillStatus:  routing.FillStatus(fields.u32()),
		SourceWait:  fields.time(),
		LoadReport:  fields.loadReport(),
	}
}

func decodeProbeResult(fields *fieldDecoder) routing.ProbeResult {
	return routing.ProbeResult{
		Elapsed:    fields.time(),
		Result:     fields.result(),
		Host:       fields.host(),
		LoadReport: fields.loadReport(),
	}
}

func decodePeerMessage(fields *fieldDecoder) routing.PeerMessage {
	from := fields.u32()
	size := int(fields.u16())
	return routing.PeerMessage{From: from, Data: bytes.Clone(fields.take(size))}
}
