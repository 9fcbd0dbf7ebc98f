package eventloop

import (
	"time"

	"shaleyard/routing"
)

// settleDivisor is the part of a pause for which timers are delayed after it.
const settleDivisor = 10

// CheckForPause detects a pause of the process during the event that is being handled. It is called on the loop.
func (l *Loop) CheckForPause() { l.checkForPause() }

// checkForPause detects that the loop was paused, between two events or during one. The state in memory is as old as
// the pause, and newer events wait in the sockets in no order. So timers are delayed for a moment, and Paused is
// called.
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

// LastRun is when the loop last ran. It may be called from any goroutine.
func (l *Loop) LastRun() routing.Time { return routing.Time(l.lastRun.Load()) }

// resetAlarm sets the alarm for the earliest timer, or for the end of the delay after a pause.
func (l *Loop) resetAlarm() {
	l.checkForPause()
	if l.gnetLoop == nil {
		return // the wakeup socket opens before the boot, which sets the alarm for all that is due
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

// runDue runs the timers that have fallen due.
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
