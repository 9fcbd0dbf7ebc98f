// Package checker judges the recorded history of a testbed run by the rules of the protocol page, and computes metrics
// from it, in the manner of Jepsen's checkers. It knows the form of the history and nothing else: it shares no code
// with the program under test, nor with the stand-ins that recorded the history.
package checker

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
)

// Violation is one breach of a rule.
type Violation struct {
	Rule   string  `json:"rule"`
	AtMS   float64 `json:"at_ms"` // since the begin of the run
	Who    string  `json:"who"`   // the director or server; for a bound the metric
	Detail string  `json:"detail"`
}

// Verdict is the result of checking a history.
type Verdict struct {
	Violations []Violation        // in order of time
	Metrics    map[string]float64 // by the names in MetricNames
}

func (v *Verdict) addViolation(rule string, atMS float64, who, format string, args ...any) {
	detail := fmt.Sprintf(format, args...)
	v.Violations = append(v.Violations, Violation{Rule: rule, AtMS: atMS, Who: who, Detail: detail})
}

// maxLineBytes bounds a line of a history.
const maxLineBytes = 1 << 20

// Check reads a history, one JSON object a line, and judges it. An error names the line that can't be read.
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
