package main

import (
	"os"
	"os/signal"
	"reflect"
	"syscall"

	"go.uber.org/zap"

	"shaleyard/internal/config"
)

// signals are what the program is told from outside. The runtime drops a signal for which its channel has no room, so
// that each kind has one of its own: one that is waiting stands for all of its kind, and a stop is never lost behind
// others, whatever a reload takes to read its file.
type signals struct{ terminate, reload, report chan os.Signal }

// notifySignals takes the signals from now on.
func notifySignals() signals {
	s := signals{make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(s.terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.report, syscall.SIGUSR1)
	return s
}

// stop leaves the signals to their defaults.
func (s signals) stop() {
	for _, c := range []chan os.Signal{s.terminate, s.reload, s.report} {
		signal.Stop(c)
	}
}

// handleSignals carries out signals, each kind aside of the others.
func (p *program) handleSignals(s signals, load func() (*config.Config, error)) {
	each := func(c <-chan os.Signal, do func()) {
		for range c {
			do()
		}
	}
	go each(s.report, func() {
		p.eventLoop.Do(func() {
			p.logCounters()
			p.logLatestEvents("SIGUSR1", p.limits.FlightRecorderEvents)
		})
	})
	go each(s.reload, func() {
		c, err := load() // off the loop, which requests go on using
		p.eventLoop.Do(func() { p.reload(c, err) })
	})
	go each(s.terminate, func() { p.eventLoop.Do(p.stop) })
}

// reload takes over a configuration that was read anew. Only the feed's address can change while the program
// runs; a file that is bad, or that is for another director, is reported and changes nothing.
func (p *program) reload(c *config.Config, err error) {
	if err == nil {
		err = p.config.CheckReload(c)
	}
	if err != nil {
		p.failedReloads++
		p.log.Warn("configuration kept as it was", zap.Error(err))
		return
	}
	p.reloads++
	p.log.Info("configuration read anew", zap.String("feed", c.DiscoveryAddress))
	if c.Limits != p.config.Limits || !reflect.DeepEqual(c.Settings, p.config.Settings) {
		p.log.Info("changed limits and settings wait for a restart")
	}
	p.config.DiscoveryAddress = c.DiscoveryAddress
	p.discovery.Redirect(c.DiscoveryAddress)
}
