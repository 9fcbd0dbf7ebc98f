package routing

import "shaleyard/internal/overload"

// The health of servers, derived from the end of attempts.

// recordHealth updates the health of the target and the source of an attempt from its outcome.
func (r *Router) recordHealth(attempt *attemptState, outcome Outcome) {
	r.recordTargetHealth(attempt, outcome)
	// A timeout or a reset of any other attempt does not eject a server: if the server is down, the next
	// connection to it fails.
	if attempt.halfOpenProbe && (outcome.Result == TimedOut || outcome.Result == Reset) {
		r.eject(probedServer(attempt), "half-open probe failed")
	}
	if attempt.source != nil {
		r.recordSourceHealth(attempt, outcome)
	}
}

func (r *Router) recordTargetHealth(attempt *attemptState, outcome Outcome) {
	target := attempt.target
	switch outcome.Result {
	case OK, Miss, Rejected, Errored:
		target.lastAnswerAsTarget = r.now
		target.siteMember.RecordResponse(r.now)
		if target.ejected && (attempt.halfOpenProbe || outcome.Result == OK) {
			r.readmit(target)
		}
	case ConnectFailed:
		target.siteMember.RecordConnectFailure(r.now)
		r.eject(target, "connect failed")
	case TimedOut:
		target.siteMember.RecordTimeout(r.now, attempt.sentAt)
	}
}

func (r *Router) recordSourceHealth(attempt *attemptState, outcome Outcome) {
	if outcome.FillStatus == FillStatusSourceUnreachable {
		r.recordSourceUnreachable(attempt, outcome)
		return
	}
	succeeded := outcome.Result == OK || outcome.Result == Miss
	assumed := outcome.FillStatus == FillStatusUnknown && succeeded
	if !assumed && !outcome.FillStatus.sourceAnswered() {
		return
	}
	source := attempt.source
	source.failedFills = overload.FailureStreak{}
	source.lastAnswerAsSource = r.now
	source.siteMember.RecordResponse(r.now)
	if source.ejected {
		r.readmit(source)
	}
}

// recordSourceUnreachable ejects a source that failed within fastFailureThreshold, because the source is
// probably down. A source that failed later may be overloaded, and its ejection would overload other sources
// in a cascade. Such a source is ejected only after slowFailureLimit failures in a row, and only if another
// server of its site is healthy. A failure of a source that is already ejected extends its ejection once the
// next probe is allowed.
func (r *Router) recordSourceUnreachable(attempt *attemptState, outcome Outcome) {
	source := attempt.source
	failures := source.failedFills.Add(r.now)
	isDown := outcome.SourceWait < fastFailureThreshold
	source.siteMember.RecordSourceFailure(r.now, attempt.sentAt, isDown)
	if source.ejected || isDown || (failures >= slowFailureLimit && source.siteMember.HasHealthyPeer(r.now)) {
		r.eject(source, "unreachable as a source")
	}
}
