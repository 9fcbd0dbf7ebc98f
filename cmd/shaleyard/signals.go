package main

import (
	"os"
	"os/signal"
	"reflect"
	"syscall"

	"go.uber.org/zap"

	"shaleyard/internal/config"
)

// signals holds the signals that were received and are not handled yet. Package os/signal drops a signal if its channel
// is full, so each kind has a separate channel with room for one: a waiting signal also represents later signals of its
// kind, and a termination signal is not dropped while a reload takes long to read its file.
type signals struct {
	terminate chan os.Signal // SIGTERM, SIGINT
	reload    chan os.Signal // SIGHUP
	report    chan os.Signal // SIGUSR1
}

// notifySignals starts to receive SIGTERM, SIGINT, SIGHUP and SIGUSR1, and returns the channels for them.
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

// stop stops receiving the signals, which have their default actions again.
func (s signals) stop() {
	signal.Stop(s.terminate)
	signal.Stop(s.reload)
	signal.Stop(s.report)
}

// handleSignals starts a goroutine for each kind of signal, which has the event loop handle the signals. On SIGHUP,
// load reads the configuration again.
func (p *program) handleSignals(received signals, load func() (*config.Config, error)) {
	go forEach(received.report, func() { p.eventLoop.Do(p.reporter.onReportSignal) })
	go forEach(received.reload, func() {
		conf, err := load() // on this goroutine, so that the event loop continues to serve requests
		p.eventLoop.Do(func() { p.reloader.reload(conf, err) })
	})
	go forEach(received.terminate, func() { p.eventLoop.Do(p.lifecycle.stop) })
}

// forEach calls handle for each signal from the channel. It returns only if the channel is closed.
func forEach(received <-chan os.Signal, handle func()) {
	for range received {
		handle()
	}
}

// onReportSignal logs the counters and the latest events, on SIGUSR1.
func (r *reporter) onReportSignal() {
	r.logCounters()
	r.logLatestEventsAsync("SIGUSR1", r.program.limits.FlightRecorderEvents)
}

// reloader applies configurations that are reloaded while the program runs, and counts the reloads.
type reloader struct {
	program           *program
	succeeded, failed uint64
}

// reload applies a reloaded configuration; err is the error from reading it, if any. Only the address of the list
// service takes effect while the program runs. An invalid configuration, or one for another director, is rejected,
// logged and counted as failed, and changes nothing.
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
