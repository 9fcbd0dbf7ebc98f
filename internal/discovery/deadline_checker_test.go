package discovery

import (
	"fmt"
	"strings"
	"time"

	"shaleyard/routing"
)

// Times of the platform's documentation: when a missed event counts as notified, and the tolerance for applying it.
const (
	notifiedAfterBreak = 2 * time.Second // after a watch broke
	notifiedAfterStop  = 4 * time.Second // after a watch stopped sending while it stayed open
	notifiedAtLatest   = 7 * time.Second // after the event was published
	applySlack         = 50 * time.Millisecond
	never              = routing.Time(1 << 62)
)

// interpretation is one way to interpret the documentation's rule on when a purge counts as notified.
type interpretation int

const (
	// sinceLastFault counts a purge as notified 2 s after a break or 4 s after a stop. A further break or stop that
	// occurs before the purge counts as notified restarts the 2 s or 4 s. A call on which nothing comes does not.
	sinceLastFault interpretation = iota
	// sinceFirstFault counts a purge as notified 2 s or 4 s after the first fault since all events were applied.
	sinceFirstFault
	// untilNextRequest is like sinceLastFault, but counts a purge as notified at the next subscription at the latest,
	// even if nothing comes on it.
	untilNextRequest
	// sincePublication counts a purge as notified 7 s after it was published, independently of faults.
	sincePublication

	interpretationCount // number of interpretations; the length of arrays that are indexed by interpretation
)

// String returns the name of the interpretation in the output of the tests and in docs/lifecycles.md.
func (i interpretation) String() string { return [...]string{"fresh", "first", "ask", "7 s"}[i] }

// missedPurge is a purge that no watch sent when it was published.
type missedPurge struct {
	revision  int
	published routing.Time
	notified  [interpretationCount]routing.Time
	requested bool // a subscription has been received since the purge was published
}

// historyEntry is one step of a test sequence: a call, a subscription, a fault or an applied purge.
type historyEntry struct {
	at   routing.Time
	text string
}

func (e historyEntry) String() string { return fmt.Sprintf("%.3f %s", e.at.Seconds(), e.text) }

// formatHistory formats the steps of a sequence, one per line.
func formatHistory(history []historyEntry) string {
	var text strings.Builder
	for _, entry := range history {
		text.WriteString("\n\t")
		text.WriteString(entry.String())
	}
	return text.String()
}

// worstCase holds the latest application of a purge under one interpretation, and the sequence that led to it.
type worstCase struct {
	lateBy   time.Duration  // time by which the purge missed its deadline; negative: time left before the deadline
	breaches int            // purges that missed their deadline
	sequence []historyEntry // steps that led to lateBy
	shortest []historyEntry // shortest sequence in which a purge missed its deadline
}

// merge adds the result of another run.
func (w *worstCase) merge(other worstCase) {
	w.breaches += other.breaches
	if other.lateBy > w.lateBy {
		w.lateBy = other.lateBy
		w.sequence = other.sequence
	}
	if w.shortest == nil || (other.shortest != nil && len(other.shortest) < len(w.shortest)) {
		w.shortest = other.shortest
	}
}

// deadlineChecker records when each missed purge counts as notified and when it is applied, and keeps the worst case.
type deadlineChecker struct {
	missed             []missedPurge // missed purges that are not applied yet, oldest first
	lastFaultNotified  routing.Time  // when purges missed because of the last fault count as notified
	firstFaultNotified routing.Time  // when purges missed because of the first fault since recordComplete do
	faulty             bool          // a fault has occurred since recordComplete
	history            []historyEntry
	worst              [interpretationCount]worstCase
}

// addHistory appends a step to the current sequence.
func (c *deadlineChecker) addHistory(now routing.Time, text string) {
	c.history = append(c.history, historyEntry{at: now, text: text})
}

// historyUntil returns the current sequence, followed by the application of a purge.
func (c *deadlineChecker) historyUntil(now routing.Time, missed missedPurge, interp interpretation) []historyEntry {
	text := fmt.Sprintf("applies the purge published at %.3f, notified at %.3f",
		missed.published.Seconds(), missed.notified[interp].Seconds())
	return append(c.history[:len(c.history):len(c.history)], historyEntry{at: now, text: text})
}

// recordFault records a break or a stop of a watch. Events that it cuts off count as notified after the allowed time.
func (c *deadlineChecker) recordFault(now routing.Time, allowed time.Duration) {
	c.lastFaultNotified = now + allowed
	for i := range c.missed {
		if missed := &c.missed[i]; now < missed.notified[sinceLastFault] {
			missed.notified[sinceLastFault] = c.lastFaultNotified
		}
	}
	if !c.faulty {
		c.faulty = true
		c.firstFaultNotified = c.lastFaultNotified
	}
}

// recordMissed records a purge that no watch sends when it is published.
func (c *deadlineChecker) recordMissed(now routing.Time, revision int) {
	missed := missedPurge{revision: revision, published: now}
	missed.notified = [interpretationCount]routing.Time{
		sinceLastFault:   max(now, c.lastFaultNotified),
		sinceFirstFault:  max(now, c.firstFaultNotified),
		untilNextRequest: max(now, c.lastFaultNotified),
		sincePublication: now + notifiedAtLatest,
	}
	c.missed = append(c.missed, missed)
}

// recordRequest records that the service received a subscription.
func (c *deadlineChecker) recordRequest(now routing.Time) {
	for i := range c.missed {
		if missed := &c.missed[i]; !missed.requested {
			missed.requested = true
			missed.notified[untilNextRequest] = min(missed.notified[untilNextRequest], now)
		}
	}
}

// recordApplied records that the watcher has passed the oldest missed purge to its sink, and updates the worst cases.
func (c *deadlineChecker) recordApplied(now routing.Time, applyWithin time.Duration) {
	missed := c.missed[0]
	c.missed = c.missed[1:]
	for interp := range interpretationCount {
		lateBy := now - missed.notified[interp] - applyWithin - applySlack
		worst := &c.worst[interp]
		if lateBy > worst.lateBy {
			worst.lateBy = lateBy
			worst.sequence = c.historyUntil(now, missed, interp)
		}
		if lateBy <= 0 {
			continue
		}
		worst.breaches++
		if worst.shortest == nil || len(c.history)+1 < len(worst.shortest) {
			worst.shortest = c.historyUntil(now, missed, interp)
		}
	}
}

// recordComplete records that all published events have been applied, and starts a new sequence.
func (c *deadlineChecker) recordComplete() {
	c.faulty = false
	c.history = nil
}
