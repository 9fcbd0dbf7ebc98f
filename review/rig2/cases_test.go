//go:build review

package rig2

import (
	"errors"
	"os/exec"
	"testing"
)

// TestSecondReviewCases plays the cases of the second review with their disruptions, after the build of the deploy file
// and review/build-2.sh. Each fails while the fault that it shows is there. The build constraint keeps it out of the
// default test run: go test -tags review ./review/rig2 -run TestSecondReviewCases
func TestSecondReviewCases(t *testing.T) {
	for _, number := range []string{"6", "7", "8", "9", "10"} {
		t.Run(number, func(t *testing.T) {
			output, err := exec.Command("../" + number + "/run.sh").CombinedOutput()
			var ended *exec.ExitError
			switch {
			case errors.As(err, &ended) && ended.ExitCode() == Broken:
				t.Errorf("the rule was broken:\n%s", output)
			case err != nil:
				t.Fatalf("the case could not run: %v\n%s", err, output)
			}
		})
	}
}
