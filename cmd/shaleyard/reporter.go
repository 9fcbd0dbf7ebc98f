package main

import (
	"go.uber.org/zap"

	"shaleyard/internal/director"
	"shaleyard/internal/discovery"
	"shaleyard/internal/downstream"
	"shaleyard/internal/sitehealth"
	"shaleyard/internal/upstream"
)

// counters is the log line of that name: what was counted since the start, and what is held now.
type counters struct {
	Downstream     downstream.Counters `json:"downstream"`
	Director       director.Counters   `json:"director"`
	Upstream       upstream.Counters   `json:"upstream"`
	Discovery      discovery.Counters  `json:"discovery"`
	Sites          sitehealth.Counters `json:"sites"`
	Rejected       uint64              `json:"rejected"` // connections closed for what came on them
	AcceptFailures uint64              `json:"accept_failures"`
	Pauses         uint64              `json:"pauses"`
	Reloads        uint64              `json:"reloads"`
	ReloadsFailed  uint64              `json:"reloads_failed"`

	OpenRequests    int `json:"open_requests"`
	DownstreamConns int `json:"downstream_conns"`
	UpstreamConns   int `json:"upstream_conns"`
	BuffersInUse    int `json:"buffers_in_use"`
}

// reporter logs what the program has counted and recorded.
type reporter struct{ program *program }

func (r *reporter) counters() counters {
	prog := r.program
	return counters{
		Downstream:     prog.downstream.Counters,
		Director:       prog.director.Counters,
		Upstream:       prog.upstream.Counters,
		Discovery:      prog.discovery.Counters,
		Sites:          prog.director.SiteCounters(),
		Rejected:       prog.failures.rejected,
		AcceptFailures: prog.failures.accepts.Load(),
		Pauses:         prog.pauses.count,
		Reloads:        prog.reloader.succeeded,
		ReloadsFailed:  prog.reloader.failed,

		OpenRequests:    prog.director.OpenRequests(),
		DownstreamConns: prog.downstream.Conns(),
		UpstreamConns:   prog.upstream.NumConns(),
		BuffersInUse:    prog.buffers.InUse(),
	}
}

// logCounters logs all counters as one line.
func (r *reporter) logCounters() {
	r.program.log.Info("counters", zap.Any("counters", r.counters()))
}

// logCountersPeriodically logs the counters at every CountersInterval. With hundreds of directors, each of which seldom
// uses most caches, what the fleet did is counted from these lines: a line at the exit alone would be lost to SIGKILL.
func (r *reporter) logCountersPeriodically() {
	r.logCounters()
	r.program.timers.ScheduleFunc(r.program.now()+r.program.limits.CountersInterval, r.logCountersPeriodically)
}

// logLatestEvents logs the latest events of the flight recorder, limit at most, and waits until they are written.
func (r *reporter) logLatestEvents(cause string, limit int) { r.latestEvents(cause, limit)() }

// logLatestEventsAsync does that on a goroutine of its own: a log that is read slowly must not hold the event loop up.
func (r *reporter) logLatestEventsAsync(cause string, limit int) { go r.latestEvents(cause, limit)() }

// latestEvents copies the latest events, and returns what writes them.
func (r *reporter) latestEvents(cause string, limit int) (write func()) {
	recorder := r.program.flightRecorder
	events, total := recorder.Latest(limit), recorder.Total()
	return func() {
		r.program.log.Info("latest events", zap.String("cause", cause), zap.Uint64("recorded", total),
			zap.Array("events", events))
	}
}
