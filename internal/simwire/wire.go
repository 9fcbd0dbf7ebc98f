// Package wire is the codec of the simulator's wire: batches of events in, replies of actions out.
// Numbers are big-endian and unpadded. It holds no decision.
package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"shaleyard/routing"
)

// Codes of events.
const (
	eventRequest       = 16
	eventOutcome       = 17
	eventStarted       = 18
	eventExpired       = 19
	eventTimer         = 20
	eventMembers       = 21
	eventStopInstance  = 22
	eventPeerMessage   = 23
	eventMemberBank    = 24
	eventPurge         = 25
	eventProbeResult   = 26
	eventStartInstance = 27
)

// Codes of actions.
const (
	actionForward     = 16
	actionSetTimer    = 17
	actionSnapshot    = 18
	actionLog         = 19
	actionCancel      = 20
	actionFetch       = 21
	actionSubscribe   = 22
	actionFail        = 23
	actionProbe       = 24
	actionPeerMessage = 25
	actionCrash       = 26
	actionCloseIdle   = 27
	actionReject      = 28
)

const (
	batchHeaderBytes = 20
	memberBytes      = 24
	bankCount        = 16
	maxBatchBytes    = 1 << 30
	maxTextBytes     = 1<<16 - 1
)

var resultsByCode = map[uint16]routing.Result{
	100: routing.OK, 101: routing.Miss, 301: routing.Errored, 302: routing.Rejected, 303: routing.TimedOut,
	304: routing.ConnectFailed, 305: routing.Reset, 306: routing.Cancelled, 307: routing.Abandoned,
}

// StartInstance starts an instance.
type StartInstance struct {
	Seed     uint64
	Settings []byte
}

// StopInstance tells that an instance is no more.
type StopInstance struct{}

// Crash reports that an instance's decision code has failed.
type Crash struct{ Text string }

// Record is an event for one instance.
type Record struct {
	Instance uint16
	Event    any // a rules event, Born or Killed
}

// Batch is one batch of events.
type Batch struct {
	Number  uint32
	Clock   routing.Time
	Records []Record
}

// Reader reads batches.
type Reader struct {
	input  io.Reader
	buffer []byte
	banks  [bankCount][]routing.Endpoint
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader { return &Reader{input: r} }

// Next returns the next batch, or io.EOF at a clean end. Lists are resolved in the order of the records.
func (r *Reader) Next() (*Batch, error) {
	var h [batchHeaderBytes]byte
	if _, err := io.ReadFull(r.input, h[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, fmt.Errorf("batch header: %w", err)
	}
	b := &Batch{Number: binary.BigEndian.Uint32(h[:]), Clock: routing.Time(binary.BigEndian.Uint64(h[12:]))}
	count, size := binary.BigEndian.Uint32(h[4:]), binary.BigEndian.Uint32(h[8:])
	if size > maxBatchBytes || uint64(count)*5 > uint64(size) {
		return nil, fmt.Errorf("batch %d: %d records in %d bytes", b.Number, count, size)
	}
	if uint32(cap(r.buffer)) < size {
		r.buffer = make([]byte, size)
	}
	p := r.buffer[:size]
	if _, err := io.ReadFull(r.input, p); err != nil {
		return nil, fmt.Errorf("batch %d: %w", b.Number, io.ErrUnexpectedEOF)
	}
	b.Records = make([]Record, 0, count)
	for k := range count {
		if len(p) < 5 {
			return nil, fmt.Errorf("batch %d: record %d is cut short", b.Number, k)
		}
		code, n := p[0], binary.BigEndian.Uint32(p[1:])
		if uint64(n) > uint64(len(p)-5) {
			return nil, fmt.Errorf("batch %d: record %d (code %d) is cut short", b.Number, k, code)
		}
		f := fieldDecoder{rest: p[5 : 5+n]}
		p = p[5+n:]
		rec, isEvent := r.decodeRecord(code, &f)
		if f.err != nil {
			return nil, fmt.Errorf("batch %d: record %d (code %d): %w", b.Number, k, code, f.err)
		}
		if isEvent {
			b.Records = append(b.Records, rec)
		}
	}
	if len(p) != 0 {
		return nil, fmt.Errorf("batch %d: %d bytes behind the last record", b.Number, len(p))
	}
	return b, nil
}

// decodeRecord decodes one decodeRecord; a POOL is no event of an instance but fills a bank.
func (r *Reader) decodeRecord(code byte, f *fieldDecoder) (Record, bool) {
	if code == eventMemberBank {
		bank := f.u16()
		list := f.memberList()
		if bank >= bankCount {
			f.fail("bank %d", bank)
			return Record{}, false
		}
		r.banks[bank] = list
		return Record{}, false
	}
	rec := Record{Instance: f.u16()}
	switch code {
	case eventStartInstance:
		rec.Event = StartInstance{Seed: f.u64(), Settings: append([]byte(nil), f.take(int(f.u32()))...)}
	case eventStopInstance:
		rec.Event = StopInstance{}
	case eventMembers:
		m := routing.EndpointUpdate{Kind: routing.UpdateKind(f.u8()), Version: f.u64()}
		bank := f.u16()
		if m.Kind > routing.UpdateFailed || (bank >= bankCount && m.Kind != routing.UpdateFailed) {
			f.fail("list kind %d, bank %d", m.Kind, bank)
		} else if m.Kind != routing.UpdateFailed {
			m.Endpoints = r.banks[bank]
		}
		rec.Event = m
	case eventRequest:
		q := routing.Request{ID: f.u32(), Class: int(f.u16()), Tenant: int(f.u16()), Object: f.u64(),
			Deadline: f.time(), SizeKB: f.f32(), Group: int(f.f32()), Part: int(f.f32())}
		flags := f.u16()
		q.ClientRetry, q.Write = flags&2 != 0, flags&4 != 0
		rec.Event = q
	case eventStarted:
		rec.Event = routing.StreamStarted{ID: f.u32(), Attempt: int(f.u16()), Host: f.host(), Elapsed: f.time()}
	case eventOutcome:
		rec.Event = routing.Outcome{ID: f.u32(), Attempt: int(f.u16()), Host: f.host(), Result: f.result(),
			Elapsed: f.time(), RequestDone: f.u8() != 0, FillStatus: routing.FillStatus(f.u32()), SourceWait: f.time(),
			LoadReport: f.loadReport()}
	case eventExpired:
		rec.Event = routing.RequestClosed{ID: f.u32()}
	case eventTimer:
		rec.Event = routing.TimerFired{Token: f.u64()}
	case eventProbeResult:
		after := f.time()
		res := f.result()
		rec.Event = routing.ProbeResult{Elapsed: after, Result: res, Host: f.host(), LoadReport: f.loadReport()}
	case eventPeerMessage:
		m := routing.PeerMessage{From: f.u32()}
		m.Data = append([]byte(nil), f.take(int(f.u16()))...)
		rec.Event = m
	case eventPurge:
		rec.Event = routing.Purge{Age: f.time(), Group: int(f.u16()), Object: f.u64()}
	default:
		f.fail("unknown code")
	}
	return rec, true
}

// fieldDecoder takes fieldDecoder off a record; after the first error all are zero.
type fieldDecoder struct {
	rest []byte
	err  error
}

func (f *fieldDecoder) fail(format string, a ...any) {
	if f.err == nil {
		f.err = fmt.Errorf(format, a...)
	}
}

func (f *fieldDecoder) take(n int) []byte {
	if f.err != nil || n > len(f.rest) {
		f.fail("fields are cut short")
		return nil
	}
	b := f.rest[:n]
	f.rest = f.rest[n:]
	return b
}

func (f *fieldDecoder) uint(n int) (v uint64) {
	for _, c := range f.take(n) {
		v = v<<8 | uint64(c)
	}
	return v
}

func (f *fieldDecoder) u8() uint8          { return uint8(f.uint(1)) }
func (f *fieldDecoder) u16() uint16        { return uint16(f.uint(2)) }
func (f *fieldDecoder) u32() uint32        { return uint32(f.uint(4)) }
func (f *fieldDecoder) u64() uint64        { return f.uint(8) }
func (f *fieldDecoder) time() routing.Time { return routing.Time(f.uint(8)) }
func (f *fieldDecoder) host() routing.Host { return routing.Host(f.uint(6)) }
func (f *fieldDecoder) f32() float64       { return float64(math.Float32frombits(f.u32())) }
func (f *fieldDecoder) loadReport() []float32 {
	n := int(f.u8())
	if n == 0 || f.err != nil {
		return nil
	}
	v := make([]float32, n)
	for i := range v {
		v[i] = math.Float32frombits(f.u32())
	}
	return v
}

func (f *fieldDecoder) result() routing.Result {
	code := f.u16()
	r, ok := resultsByCode[code]
	if !ok {
		f.fail("unknown ending %d", code)
	}
	return r
}

func (f *fieldDecoder) memberList() []routing.Endpoint {
	n := int(f.u32())
	if f.err != nil || n > len(f.rest)/memberBytes {
		f.fail("list is cut short")
		return nil
	}
	list := make([]routing.Endpoint, n)
	for i := range list {
		m := &list[i]
		m.Host, m.Zone, m.Kind = f.host(), int(f.u16()), int(f.u8())
		m.State, m.Started = routing.State(f.u8()), f.time()
		m.Weight, m.Cell = f.f32(), int(f.u16())
		if m.State > routing.Ready {
			f.fail("member state %d", m.State)
		}
	}
	return list
}

// Reply collects the actions that answer one batch.
type Reply struct{ buffer []byte }

// Reset starts the reply to the batch of that number.
func (w *Reply) Reset(number uint32) {
	w.buffer = binary.BigEndian.AppendUint32(w.buffer[:0], number)
	w.buffer = binary.BigEndian.AppendUint32(w.buffer, 0)
}

// Bytes completes the header and returns the reply; it is valid until the next Reset.
func (w *Reply) Bytes() []byte {
	binary.BigEndian.PutUint32(w.buffer[4:], uint32(len(w.buffer)-8))
	return w.buffer
}

func (w *Reply) u8(v uint8)          { w.buffer = append(w.buffer, v) }
func (w *Reply) u16(v uint16)        { w.buffer = binary.BigEndian.AppendUint16(w.buffer, v) }
func (w *Reply) u32(v uint32)        { w.buffer = binary.BigEndian.AppendUint32(w.buffer, v) }
func (w *Reply) u64(v uint64)        { w.buffer = binary.BigEndian.AppendUint64(w.buffer, v) }
func (w *Reply) time(t routing.Time) { w.u64(uint64(t)) }
func (w *Reply) host(h routing.Host) { w.u16(uint16(h >> 32)); w.u32(uint32(h)) }
func (w *Reply) text(s []byte) {
	s = s[:min(len(s), maxTextBytes)]
	w.u16(uint16(len(s)))
	w.buffer = append(w.buffer, s...)
}

// Append adds an action of an instance: a rules action or a Crash.
func (w *Reply) Append(instance uint16, action any) error {
	start := len(w.buffer)
	w.buffer = append(w.buffer, 0, 0, 0, 0, 0)
	w.u16(instance)
	code := byte(0)
	switch a := action.(type) {
	case routing.Forward:
		code = actionForward
		w.u32(a.ID)
		w.time(a.Timeout)
		w.host(a.Host)
	case routing.Fetch:
		code = actionFetch
		w.u32(a.ID)
		w.u8(uint8(a.Flags))
		w.time(a.Timeout)
		w.u8(a.RetentionRank)
		w.host(a.Source)
		w.host(a.Host)
		w.time(a.MaxAge)
	case routing.Cancel:
		code = actionCancel
		w.u32(a.ID)
		w.u16(uint16(a.Attempt))
	case routing.Reject:
		code = actionReject
		w.u32(a.ID)
		w.time(a.RetryAfter)
	case routing.Fail:
		code = actionFail
		w.u32(a.ID)
	case routing.SetTimer:
		code = actionSetTimer
		w.u64(a.Token)
		w.time(a.At)
	case routing.Probe:
		code = actionProbe
		w.host(a.Host)
	case routing.CloseIdleConnections:
		code = actionCloseIdle
		w.host(a.Host)
	case routing.SendPeerMessage:
		code = actionPeerMessage
		w.u32(a.To)
		w.text(a.Data)
	case routing.Subscribe:
		code = actionSubscribe
		on := uint8(0)
		if a.Enabled {
			on = 1
		}
		w.u8(on)
	case routing.PollEndpoints:
		code = actionSnapshot
	case routing.Log:
		code = actionLog
		w.text([]byte(a.Message))
	case Crash:
		code = actionCrash
		w.text([]byte(a.Text))
	default:
		w.buffer = w.buffer[:start]
		return fmt.Errorf("unknown action %T", action)
	}
	w.buffer[start] = code
	binary.BigEndian.PutUint32(w.buffer[start+1:], uint32(len(w.buffer)-start-5))
	return nil
}
