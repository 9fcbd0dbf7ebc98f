package routing

import "shaleyard/internal/overload"

// What the end of an attempt tells of the health of its servers.

// recordHealth takes an outcome as evidence on the health of its target and its source.
func (r *Router) recordHealth(attempt *attemptState, outcome Outcome) {
	r.recordTargetHealth(attempt, outcome)
	// Apart from half-open probes, a reset says nothing: a server that is down refuses the next connection.
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
		target.siteMember.RecordRefusal(r.now)
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

// recordSourceUnreachable ejects a source that failed quickly, which is down. One that failed late may be
// overloaded, and to eject it would overload the others in a cascade; so that takes several failures in a
// row.
func (r *Router) recordSourceUnreachable(attempt *attemptState, outcome Outcome) {
	source := attempt.source
	failures := source.failedFills.Add(r.now)
	isDown := outcome.SourceWait < quickFailure
	source.siteMember.RecordSourceFailure(r.now, attempt.sentAt, isDown)
	if source.ejected || isDown || (failures >= slowFailures && source.siteMember.HasHealthyPeer(r.now)) {
		r.eject(source, "unreachable as a source")
	}
}
