package upstream

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"shaleyard/internal/director"
	"shaleyard/routing"
)

// What comes in: answers and load reports.

// Data takes what has come in. An error closes the connection.
func (c *conn) Data(b []byte) error {
	c.f.Counters.BytesIn += uint64(len(b))
	c.asked = 0
	err := c.parser.feed(b, c.take)
	if c.asked == 0 && len(c.open) > 0 {
		c.asked = c.f.now()
	}
	if c.phase == closed {
		c.parser.release() // closed by what an answer brought about, with the next one begun
	} else if err == nil {
		c.rest()
	}
	if err != nil {
		c.f.Counters.ProtocolErrors++
		c.spoilt = true
		return fmt.Errorf("%s: %w", c.p.name, err)
	}
	return nil
}

// take matches an answer to its attempt.
func (c *conn) take(a answer) {
	f := c.f
	k := c.open[a.id]
	if k == nil || !k.written {
		f.Counters.UnmatchedResponses++
		a.body.Release()
		return
	}
	f.Counters.Responses++
	c.served++
	f.idle.RecordReuse(f.now(), k.gap)
	f.drop(k)
	e, err := f.ending(a, k)
	if err != nil {
		f.Counters.InvalidResponses++
		a.body.Release()
		e = director.AttemptResult{Result: routing.Errored}
	}
	if e.Result != routing.OK {
		c.ghost(k.id) // a request that was served does not come again
	}
	f.ender.AttemptEnded(k.h, e)
	c.rest()
}

var (
	words = map[string]routing.Result{"OK": routing.OK, "SAME": routing.OK, "MISS": routing.Miss,
		"BUSY": routing.Rejected, "ERR": routing.Errored, "VOID": routing.Abandoned}
	notes = map[string]routing.FillStatus{"HIT": routing.FillStatusHit, "MISS": routing.FillStatusFilled,
		"MISS_ORIGIN": routing.FillStatusFilledByOrigin, "COLLAPSED": routing.FillStatusCoalesced, "STALE": routing.FillStatusStale,
		"UP_BUSY": routing.FillStatusSourceRejected, "UP_DOWN": routing.FillStatusSourceUnreachable,
		"UP_MISS": routing.FillStatusSourceMiss, "NO_FILL": routing.FillStatusNoFillSlot,
		"ORIGIN_ERR": routing.FillStatusOriginFailed}
	// reportWords are the wire's words for load figures that the settings name otherwise.
	reportWords = map[string]string{"active": "inflight", "waiting": "queue", "cpu": "util",
		"avg_ms": "latency_ms", "rps": "qps", "err_rps": "eps"}
)

var errAnswer = errors.New("unusable answer")

// ending reads the words and fields of an answer.
func (f *Pools) ending(a answer, k *call) (director.AttemptResult, error) {
	result, ok := words[a.word]
	if !ok {
		return director.AttemptResult{}, errAnswer
	}
	e := director.AttemptResult{Result: result, NotModified: a.word == "SAME", Body: a.body}
	if e.NotModified && (k.known == "" || a.body.Len() > 0) {
		return director.AttemptResult{}, errAnswer
	}
	if a.fields == "" || a.fields == "-" {
		if e.NotModified {
			return director.AttemptResult{}, errAnswer
		}
		return e, nil
	}
	named := false // the client's copy, by its tag
	for pair := range strings.SplitSeq(a.fields, ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok {
			return director.AttemptResult{}, errAnswer
		}
		switch name {
		case "n":
			if e.FillStatus, ok = notes[value]; !ok {
				return director.AttemptResult{}, errAnswer
			}
		case "fill":
			ms, err := strconv.ParseFloat(value, 64)
			if err != nil || !(ms >= 0) || ms > 1e9 {
				return director.AttemptResult{}, errAnswer
			}
			e.SourceWait = time.Duration(ms * float64(time.Millisecond))
		case "l":
			e.LoadReport = f.report(value)
		case "rev":
			named = value == k.known
		}
	}
	if e.NotModified && !named { // nobody has called the copy current that the client has
		return director.AttemptResult{}, errAnswer
	}
	return e, nil
}

// report puts the figures of a load report in the order of the settings. What can't be read is 0: a report
// is advice, and no reason to lose an answer.
func (f *Pools) report(s string) []float32 {
	if len(f.fields) == 0 {
		return nil
	}
	v := make([]float32, len(f.fields))
	for pair := range strings.SplitSeq(s, ";") {
		name, value, _ := strings.Cut(pair, ":")
		for i, field := range f.fields {
			if name == field || name == reportWords[field] {
				x, _ := strconv.ParseFloat(value, 32)
				v[i] = float32(x)
			}
		}
	}
	return v
}
