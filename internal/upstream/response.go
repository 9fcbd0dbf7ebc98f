package upstream

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"shaleyard/internal/buffer"
	"shaleyard/internal/director"
	"shaleyard/internal/resp"
	"shaleyard/routing"
)

// Data implements eventloop.Session. It parses received data and handles the responses that the data completes. If Data
// returns an error, the event loop closes the connection.
func (c *conn) Data(data []byte) error {
	c.pools.Counters.BytesIn += uint64(len(data))
	c.awaitingSince = 0
	err := c.parser.Feed(data, c.handleResponse)
	c.bodyProgress.Record(c.pools.now(), c.parser.BodyLen())
	if c.awaitingSince == 0 && len(c.inFlight) > 0 {
		c.awaitingSince = c.pools.now()
	}
	if c.phase == closed {
		// Handling one of the responses closed the connection, and the parser may since have begun the next response.
		c.parser.Release()
	}
	if err != nil {
		c.pools.Counters.ProtocolErrors++
		c.protocolFailed = true
		return fmt.Errorf("%s: %w", c.endpoint.name, err)
	}
	c.releaseIfIdle()
	return nil
}

// handleResponse ends the attempt that a response answers, with Errored if the response is invalid or its body was
// dropped for want of buffers. It drops a response that answers no attempt.
func (c *conn) handleResponse(response resp.Response) {
	c.bodyProgress = buffer.Progress{}
	attempt := c.inFlight[response.ID]
	if attempt == nil || !attempt.written {
		c.pools.Counters.UnmatchedResponses++
		response.Body.Release()
		return
	}
	c.pools.Counters.Responses++
	c.responses++
	c.pools.idleReuseTimeout.RecordReuse(c.pools.now(), attempt.connIdleTime)
	c.pools.removeAttempt(attempt)
	result, err := c.pools.decodeResponse(&response, attempt.clientTag)
	if err == nil && result.Result == routing.OK && response.BodyDropped {
		c.pools.Counters.DroppedBodies++
		result = director.AttemptResult{Result: routing.Errored}
	}
	if err != nil {
		c.pools.Counters.InvalidResponses++
		response.Body.Release()
		result = director.AttemptResult{Result: routing.Errored}
	}
	if result.Result != routing.OK {
		// The request may be sent again, and a duplicate of this response could be taken for the response to the new
		// attempt. A request that was served is not sent again.
		c.expectLateResponse(attempt.requestID)
	}
	c.pools.completions.AttemptEnded(attempt.handle, result)
	c.releaseIfIdle()
}

// notModified is the status of a response that confirms that the client's copy is current.
const notModified = "SAME"

// noFields is the FIELDS element of a response without fields.
const noFields = "-"

// statusResults maps the status of a response to the result of the attempt.
var statusResults = map[string]routing.Result{
	"OK":        routing.OK,
	notModified: routing.OK,
	"MISS":      routing.Miss,
	"BUSY":      routing.Rejected,
	"ERR":       routing.Errored,
	"VOID":      routing.Abandoned,
}

// fillStatuses maps the values of the response field n to fill statuses.
var fillStatuses = map[string]routing.FillStatus{
	"HIT":         routing.FillStatusHit,
	"MISS":        routing.FillStatusFilled,
	"MISS_ORIGIN": routing.FillStatusFilledByOrigin,
	"COLLAPSED":   routing.FillStatusCoalesced,
	"STALE":       routing.FillStatusStale,
	"UP_BUSY":     routing.FillStatusSourceRejected,
	"UP_DOWN":     routing.FillStatusSourceUnreachable,
	"UP_MISS":     routing.FillStatusSourceMiss,
	"NO_FILL":     routing.FillStatusNoFillSlot,
	"ORIGIN_ERR":  routing.FillStatusOriginFailed,
}

// loadReportKeys maps the settings' names of load report figures to the protocol's keys, for the figures whose name and
// key differ.
var loadReportKeys = map[string]string{
	"active":  "inflight",
	"waiting": "queue",
	"cpu":     "util",
	"avg_ms":  "latency_ms",
	"rps":     "qps",
	"err_rps": "eps",
}

// errInvalidResponse is returned for a response with an unknown status, with invalid fields, or with an invalid
// confirmation of the client's copy.
var errInvalidResponse = errors.New("invalid response")

// decodeResponse returns the result of an attempt, as given by the status and the fields of its response. The tag of
// the client's copy is clientTag, or empty if the client has no copy. The result owns the response's body unless an
// error is returned.
func (p *Pools) decodeResponse(response *resp.Response, clientTag string) (director.AttemptResult, error) {
	code, known := statusResults[response.Status]
	if !known {
		return director.AttemptResult{}, errInvalidResponse
	}
	result := director.AttemptResult{
		Result:      code,
		NotModified: response.Status == notModified,
		Body:        response.Body,
	}
	tag, err := p.decodeFields(response.Fields, &result)
	if err != nil {
		return director.AttemptResult{}, err
	}
	// A response may confirm the client's copy only if the client has one and the response names its tag.
	if result.NotModified && (clientTag == "" || tag != clientTag || response.Body.Len() > 0) {
		return director.AttemptResult{}, errInvalidResponse
	}
	return result, nil
}

// decodeFields decodes the fields of a response into result and returns the tag of the served copy (field rev). Unknown
// fields are ignored; a field that is given twice makes the response invalid.
func (p *Pools) decodeFields(fields string, result *director.AttemptResult) (tag string, err error) {
	if fields == "" || fields == noFields {
		return "", nil
	}
	given := map[string]bool{}
	for field := range strings.SplitSeq(fields, ",") {
		name, value, found := strings.Cut(field, "=")
		if !found || given[name] {
			return "", errInvalidResponse
		}
		given[name] = true
		switch name {
		case "n":
			result.FillStatus, found = fillStatuses[value]
			if !found {
				return "", errInvalidResponse
			}
		case "fill":
			result.SourceWait, err = parseMilliseconds(value)
			if err != nil {
				return "", err
			}
		case "l":
			result.LoadReport = p.decodeLoadReport(value)
		case "rev":
			tag = value
		}
	}
	return tag, nil
}

// maxMilliseconds is the maximum duration in a response field, far above any that occurs.
const maxMilliseconds = 1e9

// parseMilliseconds parses a duration between 0 and maxMilliseconds, given in milliseconds with an optional fraction.
func parseMilliseconds(text string) (time.Duration, error) {
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", errInvalidResponse, err)
	}
	if !(ms >= 0) || ms > maxMilliseconds { // the first comparison also rejects NaN
		return 0, errInvalidResponse
	}
	return time.Duration(ms * float64(time.Millisecond)), nil
}

// decodeLoadReport returns the figures of a load report in the order of the settings, or nil if the settings name none.
// Load reports are hints, so a bad figure does not invalidate the response: a figure that is absent or malformed is 0,
// "nan" is NaN, and "inf" or a number out of the range of float32 is infinite.
func (p *Pools) decodeLoadReport(text string) []float32 {
	if len(p.loadReportFields) == 0 {
		return nil
	}
	report := make([]float32, len(p.loadReportFields))
	for pair := range strings.SplitSeq(text, ";") {
		key, value, _ := strings.Cut(pair, ":")
		for i, field := range p.loadReportFields {
			if key != field && key != loadReportKeys[field] {
				continue
			}
			figure, _ := strconv.ParseFloat(value, 32) // 0 if malformed, infinite if out of range
			report[i] = float32(figure)
		}
	}
	return report
}
