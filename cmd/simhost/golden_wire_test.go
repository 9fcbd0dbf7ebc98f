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

// Codes of the simulator's protocol, as its documentation specifies them. They are defined here a second time, instead
// of taken from package simwire, so that the golden test fails when a code in simwire changes.
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

// hostAddress is an IPv4 address and a port: 6 bytes on the wire.
type hostAddress uint64

// appendFields appends the values in their wire format. It panics on a type that has none.
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
			panic(fmt.Sprintf("no wire format for type %T", field))
		}
	}
	return b
}

// batchBuilder encodes the records of a batch.
type batchBuilder struct {
	body  []byte
	count uint32
}

// add appends a record with the given code and fields.
func (b *batchBuilder) add(code byte, fields ...any) {
	start := len(b.body)
	b.body = append(b.body, code, 0, 0, 0, 0)
	b.body = appendFields(b.body, fields...)
	binary.BigEndian.PutUint32(b.body[start+1:], uint32(len(b.body)-start-5))
	b.count++
}

// finish returns the encoded batch, header included, and empties the builder for the next batch.
func (b *batchBuilder) finish(number uint32, clock int64) []byte {
	batch := appendFields(nil, number, b.count, uint32(len(b.body)), clock, b.body)
	b.body, b.count = b.body[:0], 0
	return batch
}

// replyAction is one action of a reply. Its body holds the fields after the instance; the methods that decode a field,
// other than text and uint16At, remove it from the body.
type replyAction struct {
	code     byte
	instance uint16
	body     []byte
}

// takeUint removes a big-endian unsigned integer of size bytes from the body and returns it.
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

// replyDigest holds a hash over all replies of a sequence, and counts their actions.
type replyDigest struct {
	actions, logs, crashes int
	hash                   hash.Hash
}

func newReplyDigest() replyDigest { return replyDigest{hash: sha256.New()} }

func (d replyDigest) String() string {
	if d.hash == nil {
		return "no replies"
	}
	return fmt.Sprintf("actions=%d logs=%d crashes=%d sha256=%x", d.actions, d.logs, d.crashes, d.hash.Sum(nil)[:12])
}

// add counts an action and hashes its record. Of a log or crash action it hashes the code and the instance but not the
// text, which may be reworded without a change of behavior.
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

// simhostClient exchanges batches and replies with a serve that runs in a goroutine. It keeps a digest of the replies.
type simhostClient struct {
	input     *io.PipeWriter
	output    *io.PipeReader
	lastBatch uint32
	digest    replyDigest
}

// startSimhost starts serve in a goroutine and returns the client that is connected to it.
func startSimhost() *simhostClient {
	inputReader, inputWriter := io.Pipe()
	outputReader, outputWriter := io.Pipe()
	go func() {
		err := serve(inputReader, outputWriter)
		inputReader.CloseWithError(errors.New("serve returned"))
		outputWriter.CloseWithError(err)
	}()
	return &simhostClient{input: inputWriter, output: outputReader, digest: newReplyDigest()}
}

// stop closes the input and waits until serve returns. It returns serve's error, or an error if serve wrote more than
// the replies that exchange has read.
func (c *simhostClient) stop() error {
	c.input.Close()
	rest, err := io.ReadAll(c.output)
	if err == nil && len(rest) > 0 {
		err = fmt.Errorf("%d unexpected bytes after the last reply", len(rest))
	}
	return err
}

// exchange sends the batch, empties the builder and returns the actions of the reply. The reply's batch number and
// actions enter the digest.
func (c *simhostClient) exchange(b *batchBuilder, clock int64) ([]replyAction, error) {
	c.lastBatch++
	if _, err := c.input.Write(b.finish(c.lastBatch, clock)); err != nil {
		return nil, err
	}
	var header [8]byte
	if _, err := io.ReadFull(c.output, header[:]); err != nil {
		return nil, fmt.Errorf("read header of reply %d: %w", c.lastBatch, err)
	}
	if number := binary.BigEndian.Uint32(header[:]); number != c.lastBatch {
		return nil, fmt.Errorf("got reply to batch %d, want batch %d", number, c.lastBatch)
	}
	body := make([]byte, binary.BigEndian.Uint32(header[4:]))
	if _, err := io.ReadFull(c.output, body); err != nil {
		return nil, fmt.Errorf("read reply %d: %w", c.lastBatch, err)
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

// playInvalidSettings starts an instance with invalid settings and then sends it a timer event, which serve has to
// ignore. It returns an error unless the reply holds exactly one crash action.
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
		return client.digest, fmt.Errorf("got %d crash actions for invalid settings, want 1", client.digest.crashes)
	}
	return client.digest, client.stop()
}
