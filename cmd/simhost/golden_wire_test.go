package main

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"hash"
	"io"
	"math"
)

// Codes of the simulator's protocol, as its pages give them. They stand here a second time on purpose: the golden test
// must notice when the program's own change.
const (
	eventRequest        = 16
	eventOutcome        = 17
	eventStreamStarted  = 18
	eventRequestClosed  = 19
	eventTimer          = 20
	eventEndpointUpdate = 21
	eventStopInstance   = 22
	eventPeerMessage    = 23
	eventEndpointList   = 24
	eventPurge          = 25
	eventProbeResult    = 26
	eventStartInstance  = 27

	actionForward       = 16
	actionSetTimer      = 17
	actionPollEndpoints = 18
	actionLog           = 19
	actionCancel        = 20
	actionFetch         = 21
	actionSubscribe     = 22
	actionFail          = 23
	actionProbe         = 24
	actionPeerMessage   = 25
	actionCrash         = 26
	actionCloseIdle     = 27
	actionReject        = 28

	resultOK            = 100
	resultMiss          = 101
	resultErrored       = 301
	resultRejected      = 302
	resultTimedOut      = 303
	resultConnectFailed = 304
	resultReset         = 305
	resultCancelled     = 306
	resultAbandoned     = 307

	fillStatusUnknown           = 0
	fillStatusHit               = 1
	fillStatusFilled            = 2
	fillStatusFilledByOrigin    = 3
	fillStatusCoalesced         = 4
	fillStatusStale             = 5
	fillStatusSourceRejected    = 6
	fillStatusSourceUnreachable = 7
	fillStatusSourceMiss        = 8
	fillStatusNoFillSlot        = 9
	fillStatusOriginFailed      = 10

	updateDelta  = 0
	updateFull   = 1
	updateCached = 2
	updateFailed = 3

	stateDraining = 0
	stateRemoved  = 1
	stateReady    = 2

	flagClientRetry = 2
	flagWrite       = 4

	fetchOnlyIfCached         = 2
	fetchStaleWhileRevalidate = 8

	allPeers = math.MaxUint32
)

// hostAddress is an address and port, six bytes on the wire.
type hostAddress uint64

// appendFields appends values in their wire form.
func appendFields(b []byte, fields ...any) []byte {
	for _, field := range fields {
		switch v := field.(type) {
		case uint8:
			b = append(b, v)
		case uint16:
			b = binary.BigEndian.AppendUint16(b, v)
		case uint32:
			b = binary.BigEndian.AppendUint32(b, v)
		case uint64:
			b = binary.BigEndian.AppendUint64(b, v)
		case int64:
			b = binary.BigEndian.AppendUint64(b, uint64(v))
		case float32:
			b = binary.BigEndian.AppendUint32(b, math.Float32bits(v))
		case hostAddress:
			b = binary.BigEndian.AppendUint16(b, uint16(v>>32))
			b = binary.BigEndian.AppendUint32(b, uint32(v))
		case []byte:
			b = append(b, v...)
		default:
			panic(fmt.Sprintf("no wire form for %T", field))
		}
	}
	return b
}

// batchBuilder collects the records of one batch.
type batchBuilder struct {
	body  []byte
	count uint32
}

func (b *batchBuilder) add(code byte, fields ...any) {
	start := len(b.body)
	b.body = append(b.body, code, 0, 0, 0, 0)
	b.body = appendFields(b.body, fields...)
	binary.BigEndian.PutUint32(b.body[start+1:], uint32(len(b.body)-start-5))
	b.count++
}

// take returns the batch's bytes and starts the next one.
func (b *batchBuilder) finish(number uint32, clock int64) []byte {
	batch := appendFields(nil, number, b.count, uint32(len(b.body)), clock, b.body)
	b.body, b.count = b.body[:0], 0
	return batch
}

// replyAction is one action of a reply. Its body begins behind the instance.
type replyAction struct {
	code     byte
	instance uint16
	body     []byte
}

// unsigned takes a number of some bytes off the body.
func (a *replyAction) takeUint(size int) (v uint64) {
	for _, octet := range a.body[:size] {
		v = v<<8 | uint64(octet)
	}
	a.body = a.body[size:]
	return v
}

func (a *replyAction) requestID() uint32  { return uint32(a.takeUint(4)) }
func (a *replyAction) nanoseconds() int64 { return int64(a.takeUint(8)) }
func (a *replyAction) host() hostAddress  { return hostAddress(a.takeUint(6)) }
func (a *replyAction) text() []byte       { return a.body[2 : 2+a.uint16At(0)] }
func (a *replyAction) uint16At(i int) int { return int(binary.BigEndian.Uint16(a.body[i:])) }

// replyDigest sums up all replies of a sequence.
type replyDigest struct {
	actions, logs, crashes int
	hash                   hash.Hash
}

func newReplyDigest() replyDigest { return replyDigest{hash: sha256.New()} }

func (d replyDigest) String() string {
	if d.hash == nil {
		return "not played"
	}
	return fmt.Sprintf("actions=%d logs=%d crashes=%d sha256=%x", d.actions, d.logs, d.crashes, d.hash.Sum(nil)[:12])
}

// add takes in one action. Of texts meant for people only the place counts.
func (d *replyDigest) add(action replyAction, record []byte) {
	d.actions++
	switch action.code {
	case actionLog:
		d.logs++
	case actionCrash:
		d.crashes++
	default:
		d.hash.Write(record)
		return
	}
	d.hash.Write(appendFields(nil, action.code, action.instance))
}

// routerProcess is a running serve.
type simhostClient struct {
	input     *io.PipeWriter
	output    *io.PipeReader
	lastBatch uint32
	digest    replyDigest
}

func startSimhost() *simhostClient {
	inputReader, inputWriter := io.Pipe()
	outputReader, outputWriter := io.Pipe()
	go func() {
		err := serve(inputReader, outputWriter)
		inputReader.CloseWithError(errors.New("serve has returned"))
		outputWriter.CloseWithError(err)
	}()
	return &simhostClient{input: inputWriter, output: outputReader, digest: newReplyDigest()}
}

// stop ends the input and waits for serve to return.
func (c *simhostClient) stop() error {
	c.input.Close()
	rest, err := io.ReadAll(c.output)
	if err == nil && len(rest) > 0 {
		err = fmt.Errorf("%d bytes behind the last reply", len(rest))
	}
	return err
}

// exchange sends a batch and returns the actions of its reply.
func (c *simhostClient) exchange(b *batchBuilder, clock int64) ([]replyAction, error) {
	c.lastBatch++
	if _, err := c.input.Write(b.finish(c.lastBatch, clock)); err != nil {
		return nil, err
	}
	var header [8]byte
	if _, err := io.ReadFull(c.output, header[:]); err != nil {
		return nil, fmt.Errorf("header of reply %d: %w", c.lastBatch, err)
	}
	if number := binary.BigEndian.Uint32(header[:]); number != c.lastBatch {
		return nil, fmt.Errorf("reply %d to batch %d", number, c.lastBatch)
	}
	body := make([]byte, binary.BigEndian.Uint32(header[4:]))
	if _, err := io.ReadFull(c.output, body); err != nil {
		return nil, fmt.Errorf("reply %d: %w", c.lastBatch, err)
	}
	c.digest.hash.Write(header[:4])
	var actions []replyAction
	for len(body) > 0 {
		end := 5 + int(binary.BigEndian.Uint32(body[1:]))
		action := replyAction{code: body[0], instance: binary.BigEndian.Uint16(body[5:]), body: body[7:end]}
		c.digest.add(action, body[:end])
		actions = append(actions, action)
		body = body[end:]
	}
	return actions, nil
}

// playBadSettings starts an instance with settings that can't work, and gives it a timer.
func playInvalidSettings(overrides []override) (replyDigest, error) {
	client := startSimhost()
	var batch batchBuilder
	text := newSettingsDocument(overrides).text()
	batch.add(eventStartInstance, uint16(7), uint64(1), uint32(len(text)), text)
	batch.add(eventTimer, uint16(7), uint64(0))
	if _, err := client.exchange(&batch, 1e9); err != nil {
		return client.digest, err
	}
	if client.digest.crashes != 1 {
		return client.digest, errors.New("the settings were taken")
	}
	return client.digest, client.stop()
}
