package main

import (
	"os"
	"os/signal"
	"reflect"
	"syscall"

	"go.uber.org/zap"

	"shaleyard/internal/config"
)

// signals are the signals that were received and not handled yet. The runtime drops a signal for which its channel has
// no room, so that each kind has a channel of its own: one signal that waits stands for all of its kind, and a
// termination is never lost behind others, however long a reload takes to read its file.
type signals struct {
	terminate chan os.Signal // SIGTERM, SIGINT
	reload    chan os.Signal // SIGHUP
	report    chan os.Signal // SIGUSR1
}

// notifySignals begins to receive signals.
func notifySignals() signals {
	received := signals{
		terminate: make(chan os.Signal, 1),
		reload:    make(chan os.Signal, 1),
		report:    make(chan os.Signal, 1),
	}
	signal.Notify(received.terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(received.reload, syscall.SIGHUP)
	signal.Notify(received.report, syscall.SIGUSR1)
	return received
}

// stop leaves the signals to their default actions.
func (s signals) stop() {
	signal.Stop(s.terminate)
	signal.Stop(s.reload)
	signal.Stop(s.report)
}

// handleSignals handles signals from now on, each kind on a goroutine of its own; load reads the configuration anew.
func (p *program) handleSignals(received signals, load func() (*config.Config, error)) {
	go forEach(received.report, func() { p.eventLoop.Do(p.reporter.onReportSignal) })
	go forEach(received.reload, func() {
		conf, err := load() // not on the event loop, which goes on serving requests
		p.eventLoop.Do(func() { p.reloader.reload(conf, err) })
	})
	go forEach(received.terminate, func() { p.eventLoop.Do(p.lifecycle.stop) })
}

// forEach calls a function for each signal that is received.
func forEach(received <-chan os.Signal, handle func()) {
	for range received {
		handle()
	}
}

// onReportSignal logs the counters and the latest events.
func (r *reporter) onReportSignal() {
	r.logCounters()
	r.logLatestEventsAsync("SIGUSR1", r.program.limits.FlightRecorderEvents)
}

// reloader applies configurations that are read while the program runs.
type reloader struct {
	program           *program
	succeeded, failed uint64
}

// reload applies a configuration, or reports the error on reading it. Only the address of the list service can change
// while the program runs; a configuration that is bad, or that is for another director, changes nothing.
func (r *reloader) reload(conf *config.Config, err error) {
	current, log := r.program.config, r.program.log
	if err == nil {
		err = current.CheckReload(conf)
	}
	if err != nil {
		r.failed++
		log.Warn("configuration rejected, keeping the current one", zap.Error(err))
		return
	}
	r.succeeded++
	log.Info("configuration reloaded", zap.String("feed", conf.DiscoveryAddress))
	if conf.Limits != current.Limits || !reflect.DeepEqual(conf.Settings, current.Settings) {
		log.Info("changed limits and settings take effect after a restart")
	}
	current.DiscoveryAddress = conf.DiscoveryAddress
	r.program.discovery.Redirect(conf.DiscoveryAddress)
}
