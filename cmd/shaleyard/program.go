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
	log                 *zap.Logger
	config              *config.Config
	limits              *config.Limits
	timers              timer.Queue
	now                 func() routing.Time
	buffers             *buffer.Pool
	director            *director.Director
	downstream          *downstream.Server
	upstream            *upstream.Pools
	discovery           *discovery.Watcher
	eventLoop           *eventloop.Loop
	startedAt           routing.Time
	lifecycle           *lifecycle.Machine
	lifecycleTimer      timer.Timer   // the next look at what is left of a drain or a stop
	admin               *admin.Server // operators' calls; nil: none
	flightRecorder      *flightrecorder.Recorder
	rejectedConnections uint64

	reloads, failedReloads, pauses uint64

	acceptFailures atomic.Uint64
	acceptLogLimit rate.Sometimes // off the loop

	longPausePending bool // the pause that is settling

	nextRejectionLogAt routing.Time // no line on a rejected connection before
}

func newProgram(c *config.Config, wishes failover.Overrides, logger *zap.Logger) (*program, error) {
	p := &program{log: logger, config: c, limits: &c.Limits, now: clock.New().Now,
		acceptLogLimit: rate.Sometimes{Interval: time.Second}}
	l, s := p.limits, &c.Settings
	p.buffers = buffer.NewPool(l.BufferSize, l.BufferCount)
	var err error
	p.director, err = director.New(s, c.Seed, l, &p.timers, p.now, p.log)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	p.eventLoop = &eventloop.Loop{Timers: &p.timers, Now: p.now, Acceptor: acceptor{p}, Logf: p.log.Sugar().Warnf,
		SessionFailed: p.onConnectionRejected, InheritedFD: c.InheritedFD, AcceptFailed: p.onAcceptFailed, PauseThreshold: l.PauseThreshold, SettleTime: l.PauseSettleTime,
		Paused: p.onPause, Settled: p.onPauseSettled}
	p.upstream = upstream.NewPools(l, s, p.buffers, p.eventLoop, p.director, &p.timers, p.now, p.log, c.Seed)
	p.director.SetUpstream(p.upstream)
	p.director.Admission = overload.NewAdmission(c.Seed)
	// A plan that can't be made must not keep the director from starting: it goes on as without one.
	advice, err := failover.NewLocalPlanner(s, wishes, func(err error) { p.log.Warn("no plan for lost sites", zap.Error(err)) })
	follow := sitehealth.Options{ShiftRate: wishes.ShiftRatePerS, MinLostTime: time.Duration(wishes.MinLostMS * float64(time.Millisecond)),
		DiscoveryStale: func() bool {
			return p.discovery.EverConnected() && p.now()-p.discovery.LastUsableLine() > p.limits.WatchSilenceTimeout
		}}
	if err != nil {
		p.log.Warn("no plan for lost sites", zap.Error(err))
	} else {
		follow.Plan = advice.Shares
	}
	p.director.SetSiteOptions(follow)
	p.director.RejectUntil, p.director.CheckForPause = p.rejectUntil, p.eventLoop.CheckForPause
	p.downstream = downstream.NewServer(l, s, p.buffers, p.director, &p.timers, p.now)
	p.downstream.Ready, p.downstream.OnProtocolError = p.ready, p.onConnectionRejected
	p.flightRecorder = flightrecorder.NewRecorder(l.FlightRecorderEvents)
	p.director.FlightRecorder, p.downstream.FlightRecorder = p.flightRecorder, p.flightRecorder
	p.lifecycle = lifecycle.New(lifecycleTimeouts(l, c.InheritedFD != 0), c.InheritedFD != 0)
	p.lifecycle.OnTransition = p.logTransition
	calls := overload.NewBackoff(overload.BackoffConfig{Directors: s.Directors, DirectorIndex: int(s.ID), ApplyWithin: l.DrainApplyWithin,
		ApplyPurgeWithin: l.PurgeApplyWithin, StartWindow: l.InitialJitterWindow, NotifiedAfter: l.MaxEventDelay, SilenceTimeout: l.WatchSilenceTimeout, CallDuration: l.WatchCallTime, MinWait: l.MinWatchBackoff}, c.Seed)
	p.discovery = discovery.New(l, s, c.DiscoveryAddress, calls, p.eventLoop, p.director, &p.timers, p.now, p.log)
	p.discovery.OnFirstConnect = p.onDiscoveryReady
	return p, nil
}

// start begins to follow the feed, once the loop runs.
func (p *program) start() {
	p.startedAt = p.now()
	p.discovery.Start()
	p.timers.ScheduleFunc(p.startedAt+p.limits.InitialListTimeout, p.onDiscoveryReady)
	p.applyLifecycle()
	p.timers.ScheduleFunc(p.startedAt+p.limits.CountersInterval, p.logCountersPeriodically)
}

// logCountersPeriodically writes the counters at every ReportEvery. With hundreds of directors, each meeting most caches
// seldom, what the fleet did is counted from these lines: a line at the exit alone is lost to SIGKILL.
func (p *program) logCountersPeriodically() {
	p.logCounters()
	p.timers.ScheduleFunc(p.now()+p.limits.CountersInterval, p.logCountersPeriodically)
}

// onPause is called when the process has stood still. Nothing is decided until what came meanwhile is read: a cache
// may have drained, an object been purged, and both count as told.
func (p *program) onPause(gap time.Duration) {
	p.pauses++
	if p.longPausePending = p.longPausePending || gap > p.limits.LongPauseThreshold; p.longPausePending {
		p.log.Warn("paused: reading the news first", zap.Duration("for", gap), zap.Int("open", p.director.OpenRequests()))
	}
	p.director.Suspend(gap)
	p.discovery.HandlePause()
}

func (p *program) onPauseSettled() {
	p.director.Resume(p.longPausePending)
	p.longPausePending = false
}

// onConnectionRejected counts a connection that was closed for what came on it. At most one a second is logged: who sends
// junk must not have the loop write a line for each.
func (p *program) onConnectionRejected(reason error) {
	p.rejectedConnections++
	if now := p.now(); now >= p.nextRejectionLogAt {
		p.nextRejectionLogAt = now + time.Second
		p.log.Info("connection closed for what came on it", zap.Uint64("so_far", p.rejectedConnections), zap.NamedError("cause", reason))
	}
}

// onAcceptFailed notes an accept that failed and is tried again. It runs off the loop.
func (p *program) onAcceptFailed(cause error) {
	n := p.acceptFailures.Add(1)
	p.acceptLogLimit.Do(func() {
		p.log.Warn("accept failed, and is tried again", zap.Uint64("so_far", n), zap.NamedError("cause", cause))
	})
}

// logLatestEvents writes the latest events out, most at most, aside of the loop: a log that is read slowly must not hold it up.
func (p *program) logLatestEvents(cause string, most int) {
	events := p.flightRecorder.Latest(most)
	go p.log.Info("latest events", zap.String("cause", cause), zap.Uint64("recorded", p.flightRecorder.Total()), zap.Array("events", events))
}

// logCounters writes all counters as one line.
func (p *program) logCounters() {
	p.log.Info("counters", zap.Any("counters", map[string]any{
		"clients": p.downstream.Counters, "director": p.director.Counters, "caches": p.upstream.Counters,
		"feed": p.discovery.Counters, "rejected": p.rejectedConnections, "accept_failures": p.acceptFailures.Load(),
		"pauses": p.pauses, "sites": p.director.SiteCounters(), "reloads": p.reloads,
		"reloads_failed": p.failedReloads, "open": p.director.OpenRequests(),
		"client_conns": p.downstream.Conns(), "peer_conns": p.upstream.NumConns(), "buffers": p.buffers.InUse(),
	}))
}
