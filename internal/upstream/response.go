package upstream

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"shaleyard/internal/director"
	"shaleyard/internal/resp"
	"shaleyard/routing"
)

// Data implements eventloop.Session: it takes what was received. An error closes the connection.
func (c *conn) Data(data []byte) error {
	c.pools.Counters.BytesIn += uint64(len(data))
	c.awaitingSince = 0
	err := c.parser.Feed(data, c.handleResponse)
	if c.awaitingSince == 0 && len(c.inFlight) > 0 {
		c.awaitingSince = c.pools.now()
	}
	if c.phase == closed {
		c.parser.Release() // what a response brought about has closed it, and the next response has begun
	}
	if err != nil {
		c.pools.Counters.ProtocolErrors++
		c.protocolFailed = true
		return fmt.Errorf("%s: %w", c.endpoint.name, err)
	}
	c.releaseIfIdle()
	return nil
}

// handleResponse ends the attempt that a response answers.
func (c *conn) handleResponse(response resp.Response) {
	attempt := c.inFlight[response.ID]
	if attempt == nil || !attempt.written {
		c.pools.Counters.UnmatchedResponses++
		response.Body.Release()
		return
	}
	c.pools.Counters.Responses++
	c.responses++
	c.pools.idleReuse.RecordReuse(c.pools.now(), attempt.idleBefore)
	c.pools.removeAttempt(attempt)
	result, err := c.pools.decodeResponse(&response, attempt.clientTag)
	if err != nil {
		c.pools.Counters.InvalidResponses++
		response.Body.Release()
		result = director.AttemptResult{Result: routing.Errored}
	}
	if result.Result != routing.OK {
		c.expectLateResponse(attempt.requestID) // a request that was served is not sent again
	}
	c.pools.completions.AttemptEnded(attempt.handle, result)
	c.releaseIfIdle()
}

// notModified is the status that confirms the client's own copy.
const notModified = "SAME"

// noFields stands for an empty list of fields.
const noFields = "-"

// statusResults are the results of attempts by the status of their response.
var statusResults = map[string]routing.Result{
	"OK":        routing.OK,
	notModified: routing.OK,
	"MISS":      routing.Miss,
	"BUSY":      routing.Rejected,
	"ERR":       routing.Errored,
	"VOID":      routing.Abandoned,
}

// fillStatuses are the values of the field n.
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

// loadReportKeys are the protocol's keys for figures of load reports that the settings name otherwise.
var loadReportKeys = map[string]string{
	"active":  "inflight",
	"waiting": "queue",
	"cpu":     "util",
	"avg_ms":  "latency_ms",
	"rps":     "qps",
	"err_rps": "eps",
}

// errInvalidResponse reports a response with a status or fields that can't be used.
var errInvalidResponse = errors.New("invalid response")

// decodeResponse reads the status and the fields of a response. The result owns the response's body unless an error is
// returned.
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
	// The client's copy may be confirmed only where the client has one and the response names that very copy.
	if result.NotModified && (clientTag == "" || tag != clientTag || response.Body.Len() > 0) {
		return director.AttemptResult{}, errInvalidResponse
	}
	return result, nil
}

// decodeFields reads the fields of a response into its result and returns the tag of the copy. Unknown fields are
// ignored.
func (p *Pools) decodeFields(fields string, result *director.AttemptResult) (tag string, err error) {
	if fields == "" || fields == noFields {
		return "", nil
	}
	for field := range strings.SplitSeq(fields, ",") {
		name, value, found := strings.Cut(field, "=")
		if !found {
			return "", errInvalidResponse
		}
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

// maxMilliseconds bounds the times in responses, far above any that occurs.
const maxMilliseconds = 1e9

func parseMilliseconds(text string) (time.Duration, error) {
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", errInvalidResponse, err)
	}
	if !(ms >= 0) || ms > maxMilliseconds { // the first one holds for NaN as well
		return 0, errInvalidResponse
	}
	return time.Duration(ms * float64(time.Millisecond)), nil
}

// decodeLoadReport returns the figures of a load report in the order of the settings. A figure that is absent or can't
// be read is 0: a report is a hint, and no reason to lose the response.
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
			figure, _ := strconv.ParseFloat(value, 32) // 0 where it is no number
			report[i] = float32(figure)
		}
	}
	return report
}
