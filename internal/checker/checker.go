// Package checker checks the recorded history of a testbed run against the rules of the protocol page and computes
// metrics from it, as Jepsen's checkers do. It depends only on the format of the history: it shares no code with the
// program under test or with the testbed that recorded the history.
package checker

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
)

// Violation is a single violation of a rule.
type Violation struct {
	Rule   string  `json:"rule"`
	AtMS   float64 `json:"at_ms"` // milliseconds since the start of the run
	Who    string  `json:"who"`   // the director or server; for a violated bound, the metric
	Detail string  `json:"detail"`
}

// Verdict is the result of checking a history.
type Verdict struct {
	Violations []Violation        // sorted by time
	Metrics    map[string]float64 // by the names that MetricNames lists
}

func (v *Verdict) addViolation(rule string, atMS float64, who, format string, args ...any) {
	detail := fmt.Sprintf(format, args...)
	v.Violations = append(v.Violations, Violation{Rule: rule, AtMS: atMS, Who: who, Detail: detail})
}

// maxLineBytes is the maximum length of a line of a history, in bytes.
const maxLineBytes = 1 << 20

// Check reads a history from r, one JSON object per line, checks it against all rules and computes the metrics. It
// returns an error that names the line if a line is not a JSON event or has no kind, and the scanner's error if reading
// fails or a line exceeds maxLineBytes.
func Check(r io.Reader) (*Verdict, error) {
	events, err := readEvents(r)
	if err != nil {
		return nil, err
	}
	h := newHistory(events)
	verdict := &Verdict{}
	h.index(verdict)
	h.checkAnswers(verdict)
	h.checkRepayments(verdict)
	h.checkDrains(verdict)
	worstColdBudget := h.checkColdBudgets(verdict)
	staleCopies := h.checkPurges(verdict)
	h.checkDepartures(verdict)
	h.checkStartups(verdict)
	h.checkProtocol(verdict)
	slices.SortStableFunc(verdict.Violations, func(a, b Violation) int { return cmp.Compare(a.AtMS, b.AtMS) })
	verdict.Metrics = h.metrics()
	verdict.Metrics["cold_budget_worst"] = worstColdBudget
	verdict.Metrics["old_copies"] = float64(staleCopies)
	return verdict, nil
}

// readEvents parses a history. It returns the errors that Check describes.
func readEvents(r io.Reader) ([]event, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var events []event
	for number := 1; scanner.Scan(); number++ {
		var ev event
		if err := json.Unmarshal(scanner.Bytes(), &ev); err != nil {
			return nil, fmt.Errorf("line %d: %w", number, err)
		}
		if ev.Kind == "" {
			return nil, fmt.Errorf("line %d: no kind", number)
		}
		events = append(events, ev)
	}
	return events, scanner.Err()
}
