package main

import (
	"go.uber.org/zap"

	"shaleyard/internal/director"
	"shaleyard/internal/discovery"
	"shaleyard/internal/downstream"
	"shaleyard/internal/sitehealth"
	"shaleyard/internal/upstream"
)

// counters is the value of the log message "counters": event counts since the start, and the numbers of requests,
// connections and buffers that are in use now.
type counters struct {
	Downstream     downstream.Counters `json:"downstream"`
	Director       director.Counters   `json:"director"`
	Upstream       upstream.Counters   `json:"upstream"`
	Discovery      discovery.Counters  `json:"discovery"`
	Sites          sitehealth.Counters `json:"sites"`
	Rejected       uint64              `json:"rejected"` // client connections closed for a protocol error
	AcceptFailures uint64              `json:"accept_failures"`
	Pauses         uint64              `json:"pauses"`
	Reloads        uint64              `json:"reloads"`
	ReloadsFailed  uint64              `json:"reloads_failed"`

	OpenRequests    int `json:"open_requests"`
	DownstreamConns int `json:"downstream_conns"`
	UpstreamConns   int `json:"upstream_conns"`
	BuffersInUse    int `json:"buffers_in_use"`
}

// reporter logs the program's counters and the events in its flight recorder.
type reporter struct{ program *program }

// counters returns the current counters of all parts.
func (r *reporter) counters() counters {
	prog := r.program
	return counters{
		Downstream:     prog.downstream.Counters,
		Director:       prog.director.Counters,
		Upstream:       prog.upstream.Counters,
		Discovery:      prog.discovery.Counters,
		Sites:          prog.director.SiteCounters(),
		Rejected:       prog.failures.rejectedConns,
		AcceptFailures: prog.failures.failedAccepts.Load(),
		Pauses:         prog.pauses.count,
		Reloads:        prog.reloader.succeeded,
		ReloadsFailed:  prog.reloader.failed,

		OpenRequests:    prog.director.OpenRequests(),
		DownstreamConns: prog.downstream.Conns(),
		UpstreamConns:   prog.upstream.NumConns(),
		BuffersInUse:    prog.frameBuffers.InUse() + prog.bodyBuffers.InUse() + prog.answerBuffers.InUse(),
	}
}

// logCounters logs all counters in one line.
func (r *reporter) logCounters() {
	r.program.log.Info("counters", zap.Any("counters", r.counters()))
}

// logCountersPeriodically logs the counters immediately and once every CountersInterval after that. Totals across the
// fleet are computed from these lines, as each of hundreds of directors uses most caches rarely. Logging only at the
// exit would lose the counters of a director that is killed by SIGKILL.
func (r *reporter) logCountersPeriodically() {
	r.logCounters()
	r.program.timers.ScheduleFunc(r.program.now()+r.program.limits.CountersInterval, r.logCountersPeriodically)
}

// logLatestEvents logs at most limit of the latest events in the flight recorder, and returns when they are written.
func (r *reporter) logLatestEvents(cause string, limit int) { r.latestEvents(cause, limit)() }

// logLatestEventsAsync copies the latest events as logLatestEvents does, but writes them on a separate goroutine, so
// that a slow reader of the log does not block the event loop.
func (r *reporter) logLatestEventsAsync(cause string, limit int) { go r.latestEvents(cause, limit)() }

// latestEvents copies at most limit of the latest events, and returns a function that writes the copies to the log.
func (r *reporter) latestEvents(cause string, limit int) (write func()) {
	recorder := r.program.flightRecorder
	events, total := recorder.Latest(limit), recorder.Total()
	return func() {
		r.program.log.Info("latest events", zap.String("cause", cause), zap.Uint64("recorded", total),
			zap.Array("events", events))
	}
}
