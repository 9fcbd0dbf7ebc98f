package main

import (
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"shaleyard/internal/admin"
	"shaleyard/internal/buffer"
	"shaleyard/internal/clock"
	"shaleyard/internal/config"
	"shaleyard/internal/director"
	"shaleyard/internal/discovery"
	"shaleyard/internal/downstream"
	"shaleyard/internal/eventloop"
	"shaleyard/internal/failover"
	"shaleyard/internal/flightrecorder"
	"shaleyard/internal/lifecycle"
	"shaleyard/internal/overload"
	"shaleyard/internal/sitehealth"
	"shaleyard/internal/timer"
	"shaleyard/internal/upstream"
	"shaleyard/routing"
)

// program is the parts, put together.
type program struct {
	log      *zap.Logger
	config   *config.Config
	limits   *config.Limits
	agenda   timer.Queue
	now      func() routing.Time
	pool     *buffer.Pool
	director *director.Director
	clients  *downstream.Server
	fleet    *upstream.Pools
	feed     *discovery.Watcher
	loop     *eventloop.Loop
	started  routing.Time
	life     *lifecycle.Machine
	tending  timer.Timer   // the next look at what is left of a drain or a stop
	admin    *admin.Server // operators' calls; nil: none
	flight   *flightrecorder.Recorder
	rejected uint64

	reloads, reloadsFailed, pauses uint64

	acceptFailures atomic.Uint64
	acceptLog      rate.Sometimes // off the loop

	longPause bool // the pause that is settling

	rejectLogAt routing.Time // no line on a rejected connection before
}

func assemble(c *config.Config, wishes failover.Overrides, logger *zap.Logger) (*program, error) {
	p := &program{log: logger, config: c, limits: &c.Limits, now: clock.New().Now,
		acceptLog: rate.Sometimes{Interval: time.Second}}
	l, s := p.limits, &c.Settings
	p.pool = buffer.NewPool(l.BufferSize, l.BufferCount)
	var err error
	p.director, err = director.New(s, c.Seed, l, &p.agenda, p.now, p.log)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	p.loop = &eventloop.Loop{Timers: &p.agenda, Now: p.now, Acceptor: front{p}, Logf: p.log.Sugar().Warnf,
		SessionFailed: p.reject, InheritedFD: c.InheritedFD, AcceptFailed: p.acceptFailed, PauseThreshold: l.PauseThreshold, SettleTime: l.PauseSettleTime,
		Paused: p.paused, Settled: p.settled}
	p.fleet = upstream.NewPools(l, s, p.pool, p.loop, p.director, &p.agenda, p.now, p.log, c.Seed)
	p.director.SetUpstream(p.fleet)
	p.director.Admission = overload.NewAdmission(c.Seed)
	// A plan that can't be made must not keep the director from starting: it goes on as without one.
	advice, err := failover.NewLocalPlanner(s, wishes, func(err error) { p.log.Warn("no plan for lost sites", zap.Error(err)) })
	follow := sitehealth.Options{ShiftRate: wishes.ShiftRatePerS, MinLostTime: time.Duration(wishes.MinLostMS * float64(time.Millisecond)),
		DiscoveryStale: func() bool {
			return p.feed.EverConnected() && p.now()-p.feed.LastUsableLine() > p.limits.WatchSilenceTimeout
		}}
	if err != nil {
		p.log.Warn("no plan for lost sites", zap.Error(err))
	} else {
		follow.Plan = advice.Shares
	}
	p.director.SetSiteOptions(follow)
	p.director.RejectUntil, p.director.CheckForPause = p.closed, p.loop.CheckForPause
	p.clients = downstream.NewServer(l, s, p.pool, p.director, &p.agenda, p.now)
	p.clients.Ready, p.clients.OnProtocolError = p.ready, p.reject
	p.flight = flightrecorder.NewRecorder(l.FlightRecorderEvents)
	p.director.FlightRecorder, p.clients.FlightRecorder = p.flight, p.flight
	p.life = lifecycle.New(spans(l, c.InheritedFD != 0), c.InheritedFD != 0)
	p.life.OnTransition = p.changed
	calls := discovery.NewBackoff(discovery.BackoffConfig{Directors: s.Directors, DirectorIndex: int(s.ID), ApplyWithin: l.DrainApplyWithin,
		ApplyPurgeWithin: l.PurgeApplyWithin, StartWindow: l.InitialJitterWindow, NotifiedAfter: l.MaxEventDelay, SilenceTimeout: l.WatchSilenceTimeout, CallDuration: l.WatchCallTime, MinWait: l.MinWatchBackoff}, c.Seed)
	p.feed = discovery.New(l, s, c.DiscoveryAddress, calls, p.loop, p.director, &p.agenda, p.now, p.log)
	p.feed.OnFirstConnect = p.reachList
	return p, nil
}

// boot begins to follow the feed, once the loop runs.
func (p *program) boot() {
	p.started = p.now()
	p.feed.Start()
	p.agenda.ScheduleFunc(p.started+p.limits.InitialListTimeout, p.reachList)
	p.tend()
	p.agenda.ScheduleFunc(p.started+p.limits.CountersInterval, p.reportAgain)
}

// reportAgain writes the counters at every ReportEvery. With hundreds of directors, each meeting most caches
// seldom, what the fleet did is counted from these lines: a line at the exit alone is lost to SIGKILL.
func (p *program) reportAgain() {
	p.report()
	p.agenda.ScheduleFunc(p.now()+p.limits.CountersInterval, p.reportAgain)
}

// paused is called when the process has stood still. Nothing is decided until what came meanwhile is read: a cache
// may have drained, an object been purged, and both count as told.
func (p *program) paused(gap time.Duration) {
	p.pauses++
	if p.longPause = p.longPause || gap > p.limits.LongPauseThreshold; p.longPause {
		p.log.Warn("paused: reading the news first", zap.Duration("for", gap), zap.Int("open", p.director.OpenRequests()))
	}
	p.director.Suspend(gap)
	p.feed.HandlePause()
}

func (p *program) settled() {
	p.director.Resume(p.longPause)
	p.longPause = false
}

// reject counts a connection that was closed for what came on it. At most one a second is logged: who sends
// junk must not have the loop write a line for each.
func (p *program) reject(reason error) {
	p.rejected++
	if now := p.now(); now >= p.rejectLogAt {
		p.rejectLogAt = now + time.Second
		p.log.Info("connection closed for what came on it", zap.Uint64("so_far", p.rejected), zap.NamedError("cause", reason))
	}
}

// acceptFailed notes an accept that failed and is tried again. It runs off the loop.
func (p *program) acceptFailed(cause error) {
	n := p.acceptFailures.Add(1)
	p.acceptLog.Do(func() {
		p.log.Warn("accept failed, and is tried again", zap.Uint64("so_far", n), zap.NamedError("cause", cause))
	})
}

// writeFlight writes the latest events out, most at most, aside of the loop: a log that is read slowly must not hold it up.
func (p *program) writeFlight(cause string, most int) {
	events := p.flight.Latest(most)
	go p.log.Info("latest events", zap.String("cause", cause), zap.Uint64("recorded", p.flight.Total()), zap.Array("events", events))
}

// report writes all counters as one line.
func (p *program) report() {
	p.log.Info("counters", zap.Any("counters", map[string]any{
		"clients": p.clients.Counters, "director": p.director.Counters, "caches": p.fleet.Counters,
		"feed": p.feed.Counters, "rejected": p.rejected, "accept_failures": p.acceptFailures.Load(),
		"pauses": p.pauses, "sites": p.director.SiteCounters(), "reloads": p.reloads,
		"reloads_failed": p.reloadsFailed, "open": p.director.OpenRequests(),
		"client_conns": p.clients.Conns(), "peer_conns": p.fleet.NumConns(), "buffers": p.pool.InUse(),
	}))
}
