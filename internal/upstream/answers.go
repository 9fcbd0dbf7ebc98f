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

// What comes in: answers and load reports.

// Data takes what has come in. An error closes the connection.
func (c *conn) Data(b []byte) error {
	c.pools.Counters.BytesIn += uint64(len(b))
	c.awaitingSince = 0
	err := c.parser.Feed(b, c.handleResponse)
	if c.awaitingSince == 0 && len(c.inFlight) > 0 {
		c.awaitingSince = c.pools.now()
	}
	if c.phase == closed {
		c.parser.Release() // closed by what an answer brought about, with the next one begun
	} else if err == nil {
		c.releaseIfIdle()
	}
	if err != nil {
		c.pools.Counters.ProtocolErrors++
		c.protocolFailed = true
		return fmt.Errorf("%s: %w", c.endpoint.name, err)
	}
	return nil
}

// handleResponse matches an answer to its attempt.
func (c *conn) handleResponse(a resp.Response) {
	f := c.pools
	k := c.inFlight[a.ID]
	if k == nil || !k.written {
		f.Counters.UnmatchedResponses++
		a.Body.Release()
		return
	}
	f.Counters.Responses++
	c.responses++
	f.idleReuse.RecordReuse(f.now(), k.idleBefore)
	f.removeAttempt(k)
	e, err := f.decodeResponse(a, k)
	if err != nil {
		f.Counters.InvalidResponses++
		a.Body.Release()
		e = director.AttemptResult{Result: routing.Errored}
	}
	if e.Result != routing.OK {
		c.expectLateResponse(k.requestID) // a request that was served does not come again
	}
	f.completions.AttemptEnded(k.handle, e)
	c.releaseIfIdle()
}

var (
	statusResults = map[string]routing.Result{"OK": routing.OK, "SAME": routing.OK, "MISS": routing.Miss,
		"BUSY": routing.Rejected, "ERR": routing.Errored, "VOID": routing.Abandoned}
	fillStatuses = map[string]routing.FillStatus{"HIT": routing.FillStatusHit, "MISS": routing.FillStatusFilled,
		"MISS_ORIGIN": routing.FillStatusFilledByOrigin, "COLLAPSED": routing.FillStatusCoalesced, "STALE": routing.FillStatusStale,
		"UP_BUSY": routing.FillStatusSourceRejected, "UP_DOWN": routing.FillStatusSourceUnreachable,
		"UP_MISS": routing.FillStatusSourceMiss, "NO_FILL": routing.FillStatusNoFillSlot,
		"ORIGIN_ERR": routing.FillStatusOriginFailed}
	// loadReportKeys are the wire's words for load figures that the settings name otherwise.
	loadReportKeys = map[string]string{"active": "inflight", "waiting": "queue", "cpu": "util",
		"avg_ms": "latency_ms", "rps": "qps", "err_rps": "eps"}
)

var errInvalidResponse = errors.New("unusable answer")

// decodeResponse reads the words and fields of an answer.
func (f *Pools) decodeResponse(a resp.Response, k *activeAttempt) (director.AttemptResult, error) {
	result, ok := statusResults[a.Status]
	if !ok {
		return director.AttemptResult{}, errInvalidResponse
	}
	e := director.AttemptResult{Result: result, NotModified: a.Status == "SAME", Body: a.Body}
	if e.NotModified && (k.clientTag == "" || a.Body.Len() > 0) {
		return director.AttemptResult{}, errInvalidResponse
	}
	if a.Fields == "" || a.Fields == "-" {
		if e.NotModified {
			return director.AttemptResult{}, errInvalidResponse
		}
		return e, nil
	}
	named := false // the client's copy, by its tag
	for pair := range strings.SplitSeq(a.Fields, ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok {
			return director.AttemptResult{}, errInvalidResponse
		}
		switch name {
		case "n":
			if e.FillStatus, ok = fillStatuses[value]; !ok {
				return director.AttemptResult{}, errInvalidResponse
			}
		case "fill":
			ms, err := strconv.ParseFloat(value, 64)
			if err != nil || !(ms >= 0) || ms > 1e9 {
				return director.AttemptResult{}, errInvalidResponse
			}
			e.SourceWait = time.Duration(ms * float64(time.Millisecond))
		case "l":
			e.LoadReport = f.decodeLoadReport(value)
		case "rev":
			named = value == k.clientTag
		}
	}
	if e.NotModified && !named { // nobody has called the copy current that the client has
		return director.AttemptResult{}, errInvalidResponse
	}
	return e, nil
}

// decodeLoadReport puts the figures of a load decodeLoadReport in the order of the settings. What can't be read is 0: a decodeLoadReport
// is advice, and no reason to lose an answer.
func (f *Pools) decodeLoadReport(s string) []float32 {
	if len(f.loadReportFields) == 0 {
		return nil
	}
	v := make([]float32, len(f.loadReportFields))
	for pair := range strings.SplitSeq(s, ";") {
		name, value, _ := strings.Cut(pair, ":")
		for i, field := range f.loadReportFields {
			if name == field || name == loadReportKeys[field] {
				x, _ := strconv.ParseFloat(value, 32)
				v[i] = float32(x)
			}
		}
	}
	return v
}
