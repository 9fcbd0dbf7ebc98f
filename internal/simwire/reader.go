package simwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"shaleyard/routing"
)

// StartInstance is the event that starts an instance. Seed seeds the random numbers of its router, and Settings holds
// the router's settings as JSON.
type StartInstance struct {
	Seed     uint64
	Settings []byte
}

// StopInstance is the event that stops an instance at once, as in a crash: its router gets no event.
type StopInstance struct{}

// Record is an event with the number of the instance that it is for.
type Record struct {
	Instance uint16
	Event    any // an event of package routing, StartInstance or StopInstance
}

// Batch is a batch of events that all happen at the time Clock. The reply to it carries the same Number.
type Batch struct {
	Number  uint32
	Clock   routing.Time
	Records []Record
}

// Reader decodes batches from an input stream.
type Reader struct {
	input         io.Reader
	buffer        []byte
	endpointLists [endpointListCount][]routing.Endpoint // by index; endpoint updates refer to the index
}

// NewReader returns a Reader that decodes batches from the input.
func NewReader(input io.Reader) *Reader { return &Reader{input: input} }

// batchHeader is the fixed-size header in front of the records of a batch.
type batchHeader struct {
	number, records, bytes uint32
	clock                  routing.Time
}

// Next returns the next batch. It returns io.EOF when the input ends between two batches, and another error for a
// truncated or malformed batch. On the wire, an endpoint update holds only the index of an endpoint list. Next sets the
// update's Endpoints to the list that was most recently stored under this index, possibly in an earlier batch.
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
		return nil, fmt.Errorf("batch %d: %d unexpected bytes after the last record", header.number, len(body))
	}
	return batch, nil
}

// readHeader reads the next batch's header. It returns io.EOF when the input ends before the header's first byte.
func (r *Reader) readHeader() (header batchHeader, err error) {
	var b [batchHeaderBytes]byte
	if _, err := io.ReadFull(r.input, b[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return header, io.EOF
		}
		return header, fmt.Errorf("read batch header: %w", err)
	}
	header = batchHeader{
		number:  binary.BigEndian.Uint32(b[0:]),
		records: binary.BigEndian.Uint32(b[4:]),
		bytes:   binary.BigEndian.Uint32(b[8:]),
		clock:   routing.Time(binary.BigEndian.Uint64(b[12:])),
	}
	if header.bytes > maxBatchBytes || uint64(header.records)*recordHeaderBytes > uint64(header.bytes) {
		return header, fmt.Errorf("batch %d: invalid header: %d records in %d bytes",
			header.number, header.records, header.bytes)
	}
	return header, nil
}

// readBody reads the encoded records of a batch. The slice is valid until the next call. The error is never io.EOF,
// which would stand for a clean end of the input.
func (r *Reader) readBody(header batchHeader) ([]byte, error) {
	if uint32(cap(r.buffer)) < header.bytes {
		r.buffer = make([]byte, header.bytes)
	}
	body := r.buffer[:header.bytes]
	if _, err := io.ReadFull(r.input, body); err != nil {
		return nil, fmt.Errorf("batch %d: read records: %w", header.number, io.ErrUnexpectedEOF)
	}
	return body, nil
}

// appendRecord decodes the first record of the body and returns the rest of the body. It appends an event to the batch;
// an endpoint list is stored in the Reader instead.
func (r *Reader) appendRecord(batch *Batch, body []byte) (rest []byte, err error) {
	if len(body) < recordHeaderBytes {
		return nil, errors.New("truncated record header")
	}
	code, size := body[0], binary.BigEndian.Uint32(body[1:])
	if uint64(size) > uint64(len(body)-recordHeaderBytes) {
		return nil, fmt.Errorf("code %d: truncated record", code)
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

// decodeEndpointList stores an endpoint list under its index, for the endpoint updates after it. The record is not an
// event and names no instance.
func (r *Reader) decodeEndpointList(fields *fieldDecoder) {
	index := fields.u16()
	endpoints := fields.endpoints()
	if index >= endpointListCount {
		fields.fail("invalid endpoint list index %d", index)
		return
	}
	r.endpointLists[index] = endpoints
}

// decodeRecord decodes a record that holds an event: the number of its instance and the event's fields.
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
		fields.fail("unknown event code")
	}
	return Record{Instance: instance, Event: event}
}

func decodeStartInstance(fields *fieldDecoder) StartInstance {
	seed := fields.u64()
	size := int(fields.u32())
	return StartInstance{Seed: seed, Settings: bytes.Clone(fields.take(size))}
}

// decodeEndpointUpdate decodes an endpoint update with the endpoint list that it refers to. An update that reports a
// failed call to discovery has no endpoints, and its list index is ignored.
func (r *Reader) decodeEndpointUpdate(fields *fieldDecoder) routing.EndpointUpdate {
	update := routing.EndpointUpdate{Kind: routing.UpdateKind(fields.u8()), Version: fields.u64()}
	listIndex := fields.u16()
	failed := update.Kind == routing.UpdateFailed
	switch {
	case update.Kind > routing.UpdateFailed, listIndex >= endpointListCount && !failed:
		fields.fail("invalid endpoint update: kind %d, list index %d", update.Kind, listIndex)
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
