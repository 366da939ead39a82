// Package casetest runs a case's script as a Go test, only if the environment asks for it.
package casetest

import (
	"os"
	"os/exec"
	"testing"
)

// Variable is the environment variable that must be set for the cases to run.
const Variable = "REVIEW_CASES"

// Run runs ./run.sh in the test's folder, and fails if the rule was broken. The programs must have been built.
func Run(t *testing.T) {
	t.Helper()
	if os.Getenv(Variable) == "" {
		t.Skip(Variable + " is not set")
	}
	output, err := exec.Command("bash", "./run.sh").CombinedOutput()
	t.Logf("%s", output)
	if err != nil {
		t.Error(err)
	}
}
