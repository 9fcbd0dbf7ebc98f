//go:build review

package main

import (
	"errors"
	"os/exec"
	"testing"
)

// TestReviewCases plays the cases of the review with their disruptions, after review/build.sh. Each fails while the
// fault that it shows is there. The build constraint keeps it out of the default test run:
// go test -tags review ./review/stage -run TestReviewCases
func TestReviewCases(t *testing.T) {
	for _, number := range []string{"1", "2", "3"} {
		t.Run(number, func(t *testing.T) {
			output, err := exec.Command("../" + number + "/run.sh").CombinedOutput()
			var ended *exec.ExitError
			switch {
			case errors.As(err, &ended) && ended.ExitCode() == ruleBroken:
				t.Errorf("the rule was broken:\n%s", output)
			case err != nil:
				t.Fatalf("the case could not run: %v\n%s", err, output)
			}
		})
	}
}
