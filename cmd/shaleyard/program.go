package main

import (
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"time"

	"go.uber.org/zap"

	"shaleyard/internal/buffer"
	"shaleyard/internal/clock"
	"shaleyard/internal/config"
	"shaleyard/internal/director"
	"shaleyard/internal/discovery"
	"shaleyard/internal/downstream"
	"shaleyard/internal/eventloop"
	"shaleyard/internal/executionlog"
	"shaleyard/internal/failover"
	"shaleyard/internal/flightrecorder"
	"shaleyard/internal/overload"
	"shaleyard/internal/sitehealth"
	"shaleyard/internal/timer"
	"shaleyard/internal/upstream"
	"shaleyard/routing"
)

// program holds the parts of a director. Except for log, config and limits, the parts may be used only on the event
// loop, unless the documentation of a part allows concurrent use.
type program struct {
	log    *zap.Logger
	config *config.Config
	limits *config.Limits
	now    func() routing.Time

	timers         timer.Queue
	frameBuffers   *buffer.Pool
	bodyBuffers    *buffer.Pool
	answerBuffers  *buffer.Pool
	eventLoop      *eventloop.Loop
	director       *director.Director
	downstream     *downstream.Server
	upstream       *upstream.Pools
	discovery      *discovery.Watcher
	flightRecorder *flightrecorder.Recorder

	lifecycle *lifecycleController
	pauses    *pauseHandler
	failures  *connectionFailures
	reloader  *reloader
	reporter  *reporter
}

// newProgram creates the parts of a director for a configuration and wires them together, but starts none of them. An
// error names the invalid setting. Each part is created after the parts that it depends on. The director and the
// upstream pools depend on each other, so the director is created first and receives the pools from SetUpstream.
func newProgram(conf *config.Config, overrides failover.Overrides, log *zap.Logger) (*program, error) {
	prog := &program{log: log, config: conf, limits: &conf.Limits, now: clock.New().Now}
	settings := &conf.Settings
	prog.lifecycle = newLifecycleController(prog, conf.InheritedFD != 0)
	prog.pauses = &pauseHandler{program: prog}
	prog.failures = newConnectionFailures(log, prog.now)
	prog.reloader = &reloader{program: prog}
	prog.reporter = &reporter{program: prog}
	prog.flightRecorder = flightrecorder.NewRecorder(prog.limits.FlightRecorderEvents)
	buffers := buffer.NewGroup(prog.limits.BufferSize, prog.limits.BufferCount)
	newPool := func(share config.BufferShare) *buffer.Pool { return buffers.NewPool(share.Reserved, share.Most) }
	prog.frameBuffers = newPool(prog.limits.FrameBuffers)
	prog.bodyBuffers = newPool(prog.limits.RequestBodyBuffers)
	prog.answerBuffers = newPool(prog.limits.AnswerBuffers)

	prog.eventLoop = prog.newEventLoop()
	var err error
	prog.director, err = prog.newDirector()
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	prog.upstream = upstream.NewPools(
		prog.limits,
		settings,
		prog.answerBuffers,
		prog.eventLoop,
		prog.director,
		&prog.timers,
		prog.now,
		log,
		conf.Seed,
	)
	prog.director.SetUpstream(prog.upstream)
	prog.director.SetSiteOptions(prog.siteOptions(overrides))
	prog.downstream = prog.newDownstream()
	prog.discovery = prog.newWatcher()
	return prog, nil
}

func (p *program) newDirector() (*director.Director, error) {
	return director.New(director.Config{
		Settings:       &p.config.Settings,
		Seed:           p.config.Seed,
		Limits:         p.limits,
		Timers:         &p.timers,
		Now:            p.now,
		Log:            p.log,
		RejectUntil:    p.lifecycle.rejectUntil,
		CheckForPause:  p.eventLoop.CheckForPause,
		FlightRecorder: p.flightRecorder,
		Admission:      overload.NewAdmission(p.config.Seed),
		Executions:     p.openExecutionLog(),
	})
}

// executionLogName is the beginning of the name of the file that the processes of an upgrade share.
const executionLogName = "shaleyard-executions-"

// openExecutionLog returns the execution log. Processes that share a listening socket share the log as well, in a file
// in the folder that TMPDIR names. If that is not possible, the process has a log of its own.
func (p *program) openExecutionLog() *executionlog.Log {
	size := p.limits.ExecutionLogBytes
	folder := os.Getenv("TMPDIR")
	if p.config.InheritedFD == 0 || folder == "" {
		return executionlog.New(size)
	}
	hash := fnv.New64a()
	hash.Write([]byte(p.config.Name + " " + p.config.ListenAddress))
	path := filepath.Join(folder, fmt.Sprintf("%s%x-%d", executionLogName, hash.Sum64(), size))
	log, err := executionlog.Open(path, size)
	if err != nil {
		p.log.Warn("executions are not shared with other processes", zap.Error(err))
		return executionlog.New(size)
	}
	return log
}

func (p *program) newDownstream() *downstream.Server {
	return downstream.NewServer(downstream.Config{
		Limits:          p.limits,
		Settings:        &p.config.Settings,
		FramePool:       p.frameBuffers,
		BodyPool:        p.bodyBuffers,
		Handler:         p.director,
		Timers:          &p.timers,
		Now:             p.now,
		Ready:           p.lifecycle.ready,
		OnProtocolError: p.failures.onConnectionRejected,
		FlightRecorder:  p.flightRecorder,
	})
}

func (p *program) newWatcher() *discovery.Watcher {
	return discovery.New(discovery.Config{
		Limits:         p.limits,
		Settings:       &p.config.Settings,
		Address:        p.config.DiscoveryAddress,
		Backoff:        p.newBackoff(),
		Dialer:         p.eventLoop,
		Sink:           p.director,
		Timers:         &p.timers,
		Now:            p.now,
		Log:            p.log,
		OnFirstConnect: p.lifecycle.onDiscoveryReady,
	})
}

// newEventLoop returns the event loop, which must not run before newProgram has returned: some of the parts that its
// callbacks use are created later.
func (p *program) newEventLoop() *eventloop.Loop {
	return &eventloop.Loop{
		Timers:         &p.timers,
		Now:            p.now,
		Acceptor:       acceptor{p},
		Logf:           p.log.Sugar().Warnf,
		SessionFailed:  p.failures.onConnectionRejected,
		InheritedFD:    p.config.InheritedFD,
		AcceptFailed:   p.failures.onAcceptFailed,
		PauseThreshold: p.limits.PauseThreshold,
		SettleTime:     p.limits.PauseSettleTime,
		Paused:         p.pauses.onPause,
		Settled:        p.pauses.onSettled,
	}
}

// siteOptions returns the options for monitoring the health of whole sites, with the failover planner. If the overrides
// don't allow a plan, it logs the error and returns options without a planner, so that the director starts anyway.
func (p *program) siteOptions(overrides failover.Overrides) sitehealth.Options {
	logFailure := func(err error) { p.log.Warn("no plan for lost sites", zap.Error(err)) }
	planner, err := failover.NewLocalPlanner(&p.config.Settings, overrides, logFailure)
	options := sitehealth.Options{
		ShiftRate:   overrides.ShiftRatePerS,
		MinLostTime: time.Duration(overrides.MinLostMS * float64(time.Millisecond)),
		DiscoveryStale: func() bool {
			return p.discovery.EverConnected() && p.now()-p.discovery.LastUsableLine() > p.limits.WatchSilenceTimeout
		},
	}
	if err != nil {
		logFailure(err)
		return options
	}
	options.Plan = planner.Shares
	return options
}

// newBackoff returns the backoff that schedules this director's calls of the discovery service. It takes the size of
// the fleet and this director's index in it into account, to spread the calls of all directors.
func (p *program) newBackoff() *discovery.Backoff {
	settings := &p.config.Settings
	return discovery.NewBackoff(discovery.BackoffConfig{
		Directors:        settings.Directors,
		DirectorIndex:    int(settings.ID),
		ApplyWithin:      p.limits.DrainApplyWithin,
		ApplyPurgeWithin: p.limits.PurgeApplyWithin,
		StartWindow:      p.limits.InitialJitterWindow,
		NotifiedAfter:    p.limits.MaxEventDelay,
		SilenceTimeout:   p.limits.WatchSilenceTimeout,
		CallDuration:     p.limits.WatchCallTime,
		MinWait:          p.limits.MinWatchBackoff,
	}, p.config.Seed)
}

// start starts the watch on the discovery service, applies the first lifecycle policy, and starts the periodic log of
// the counters. The event loop calls it once, before it handles any event.
func (p *program) start() {
	now := p.now()
	p.lifecycle.startedAt = now
	p.discovery.Start()
	p.timers.ScheduleFunc(now+p.limits.InitialListTimeout, p.lifecycle.onDiscoveryReady)
	p.lifecycle.apply()
	p.timers.ScheduleFunc(now+p.limits.CountersInterval, p.reporter.logCountersPeriodically)
}

// acceptor passes accepted connections to the downstream server. It implements eventloop.Acceptor.
type acceptor struct{ program *program }

// Accept implements eventloop.Acceptor. It returns nil, which closes the connection, if the shutdown is complete or the
// downstream server refuses the connection.
func (a acceptor) Accept(conn eventloop.Conn) eventloop.Session {
	if a.program.lifecycle.ended() {
		return nil
	}
	session := a.program.downstream.Accept(conn)
	if session == nil {
		return nil // an interface holding a nil *downstream.Connection would not equal nil
	}
	return session
}
