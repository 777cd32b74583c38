//go:build review

// Package review runs the cases of the review as tests, after the build of the deploy file and build.sh:
//
//	go test -count=1 -tags review ./review
package review

import (
	"os"
	"os/exec"
	"testing"
)

// runCase runs the script of a case, which fails if the rule was broken or the case couldn't run.
func runCase(t *testing.T, folder string) {
	t.Helper()
	t.Run("case "+folder, func(t *testing.T) {
		command := exec.Command("./" + folder + "/run.sh")
		command.Env = append(os.Environ(), "TROUBLE=1")
		output, err := command.CombinedOutput()
		t.Logf("%s", output)
		if err != nil {
			t.Error(err)
		}
	})
}

// TestReviewLostAnswers runs the cases of the rule "lost": a late second answer, and answers that are written slowly.
func TestReviewLostAnswers(t *testing.T) {
	runCase(t, "1")
	runCase(t, "3")
}

// TestReviewOrdersRunTwice runs the case of the rule "duplicate": the new process of an upgrade is killed.
func TestReviewOrdersRunTwice(t *testing.T) { runCase(t, "2") }
