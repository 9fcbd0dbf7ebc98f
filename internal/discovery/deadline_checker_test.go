package discovery

import (
	"fmt"
	"strings"
	"time"

	"shaleyard/routing"
)

// Figures of the pages: when what a watch would have brought counts as notified, and how much later it must be applied.
const (
	notifiedAfterBreak = 2 * time.Second
	notifiedAfterStop  = 4 * time.Second
	notifiedAtLatest   = 7 * time.Second
	applySlack         = 50 * time.Millisecond
	never              = routing.Time(1 << 62)
)

// reading is one way to read the pages on when a purge counts as notified.
type reading int

const (
	// sinceLastFault: behind the last fault before it counted as notified: 2 s for a break, 4 s for a stop.
	sinceLastFault reading = iota
	// sinceFirstFault: behind the first fault since everything was applied last.
	sinceFirstFault
	// untilNextRequest: as sinceLastFault, but at the next subscription at the latest, whatever comes of that.
	untilNextRequest
	// sincePublication: 7 s after it was published, whatever happens.
	sincePublication

	readingCount
)

// String names the reading in the output of the tests; docs/lifecycles.md has it as fresh, first, ask and 7 s.
func (r reading) String() string { return [...]string{"fresh", "first", "strict", "late"}[r] }

// missedPurge is a purge that was not sent as it was published.
type missedPurge struct {
	revision  int
	published routing.Time
	notified  [readingCount]routing.Time
	requested bool // a subscription has come since
}

// historyEntry is one event of a sequence.
type historyEntry struct {
	at   routing.Time
	text string
}

func (e historyEntry) String() string { return fmt.Sprintf("%.3f %s", e.at.Seconds(), e.text) }

// formatHistory formats the events of a sequence, one a line.
func formatHistory(history []historyEntry) string {
	var text strings.Builder
	for _, entry := range history {
		text.WriteString("\n\t")
		text.WriteString(entry.String())
	}
	return text.String()
}

// worstCase is the latest application of a purge under one reading, and what led to it.
type worstCase struct {
	lateBy   time.Duration // beyond the time that the rule leaves; less than 0: as much was left
	breaches int
	sequence []historyEntry
	shortest []historyEntry // of those that break the rule
}

// join adds the result of another run.
func (w *worstCase) join(other worstCase) {
	w.breaches += other.breaches
	if other.lateBy > w.lateBy {
		w.lateBy = other.lateBy
		w.sequence = other.sequence
	}
	if w.shortest == nil || (other.shortest != nil && len(other.shortest) < len(w.shortest)) {
		w.shortest = other.shortest
	}
}

// deadlineChecker records when each purge counts as notified, and when it is applied.
type deadlineChecker struct {
	missed             []missedPurge
	lastFaultNotified  routing.Time // when what the last fault left unsent counts as notified
	firstFaultNotified routing.Time // likewise the first one since everything was applied
	faulty             bool         // a fault has come since
	history            []historyEntry
	worst              [readingCount]worstCase
}

func (c *deadlineChecker) note(now routing.Time, text string) {
	c.history = append(c.history, historyEntry{at: now, text: text})
}

// historyUntil is what led to the application of a purge.
func (c *deadlineChecker) historyUntil(now routing.Time, missed missedPurge, r reading) []historyEntry {
	text := fmt.Sprintf("applies the purge of %.3f, notified at %.3f",
		missed.published.Seconds(), missed.notified[r].Seconds())
	return append(c.history[:len(c.history):len(c.history)], historyEntry{at: now, text: text})
}

// recordFault records a break or a stop, after which events count as notified within the allowed time.
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

// recordMissed records a purge that no watch brings as it is published.
func (c *deadlineChecker) recordMissed(now routing.Time, revision int) {
	missed := missedPurge{revision: revision, published: now}
	missed.notified = [readingCount]routing.Time{
		sinceLastFault:   max(now, c.lastFaultNotified),
		sinceFirstFault:  max(now, c.firstFaultNotified),
		untilNextRequest: max(now, c.lastFaultNotified),
		sincePublication: now + notifiedAtLatest,
	}
	c.missed = append(c.missed, missed)
}

// recordRequest records a subscription.
func (c *deadlineChecker) recordRequest(now routing.Time) {
	for i := range c.missed {
		if missed := &c.missed[i]; !missed.requested {
			missed.requested = true
			missed.notified[untilNextRequest] = min(missed.notified[untilNextRequest], now)
		}
	}
}

// recordApplied records that the watcher has handed the oldest missed purge on.
func (c *deadlineChecker) recordApplied(now routing.Time, applyWithin time.Duration) {
	missed := c.missed[0]
	c.missed = c.missed[1:]
	for r := range readingCount {
		lateBy := now - missed.notified[r] - applyWithin - applySlack
		worst := &c.worst[r]
		if lateBy > worst.lateBy {
			worst.lateBy = lateBy
			worst.sequence = c.historyUntil(now, missed, r)
		}
		if lateBy <= 0 {
			continue
		}
		worst.breaches++
		if worst.shortest == nil || len(c.history)+1 < len(worst.shortest) {
			worst.shortest = c.historyUntil(now, missed, r)
		}
	}
}

// recordComplete records that everything has been applied.
func (c *deadlineChecker) recordComplete() {
	c.faulty = false
	c.history = nil
}
