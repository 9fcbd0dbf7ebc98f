package eventloop

import (
	"time"

	"shaleyard/routing"
)

// settleDivisor determines the delay of timers after a pause: a tenth of the length of the pause, at most SettleTime.
const settleDivisor = 10

// CheckForPause checks whether the process was paused since the loop began to handle the current event. If it was,
// CheckForPause delays the timers and calls Paused. It must be called on the loop.
func (l *Loop) CheckForPause() { l.checkForPause() }

// checkForPause checks whether the loop was paused, between two events or during one. After a pause the state in memory
// is out of date by the length of the pause, and the events that occurred meanwhile are unread in the sockets. The loop
// reads them socket by socket, not in the order in which they occurred. Timers are therefore delayed by up to
// SettleTime, and Paused is called.
func (l *Loop) checkForPause() {
	now := l.Now()
	gap := now - l.lastCheck
	if l.PauseThreshold > 0 && l.lastCheck != 0 && gap > l.PauseThreshold {
		l.settleUntil = now + min(l.SettleTime, gap/settleDivisor)
		l.Paused(gap)
	}
	l.lastCheck = now
	l.lastRun.Store(int64(now))
}

// LastRun returns the time at which the loop last began or ended an event or a timer run. It may be called from any
// goroutine.
func (l *Loop) LastRun() routing.Time { return routing.Time(l.lastRun.Load()) }

// resetAlarm sets the alarm for the earliest timer or, during the delay after a pause, for the end of the delay. It
// does nothing before boot.
func (l *Loop) resetAlarm() {
	l.checkForPause()
	if l.gnetLoop == nil {
		return // OnOpen of the wakeup socket comes before boot, which sets the alarm for all timers
	}
	at, ok := l.Timers.NextDeadline()
	if l.settleUntil != 0 {
		at, ok = l.settleUntil, true
	}
	if !ok || (at == l.alarmAt && l.alarm != nil) {
		return
	}
	l.alarmAt = at
	wait := max(0, at-l.Now())
	if l.alarm == nil {
		l.alarm = time.AfterFunc(wait, func() { l.Do(l.runDue) })
		return
	}
	l.alarm.Reset(wait)
}

// runDue runs the timers that have fallen due, unless the delay after a pause has not ended yet. At the end of the
// delay it calls Settled first.
func (l *Loop) runDue() {
	l.alarmAt = 0
	now := l.Now()
	if now < l.settleUntil {
		return
	}
	if l.settleUntil != 0 {
		l.settleUntil = 0
		l.Settled()
	}
	l.Timers.RunDue(now)
}
