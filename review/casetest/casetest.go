// Package casetest runs a case's script as a Go test, if the environment asks for it.
package casetest

import (
	"os"
	"os/exec"
	"testing"
)

// variable is the environment variable without which the cases are skipped.
const variable = "REVIEW_CASES"

// Run builds the programs and the stand-ins and runs run.sh of the current folder. It fails if the script says that the rule was
// broken, or that the case couldn't run.
func Run(t *testing.T) {
	t.Helper()
	if os.Getenv(variable) == "" {
		t.Skipf("set %s=1 to run the case", variable)
	}
	for _, command := range []string{
		"cd ../.. && mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...",
		"../build.sh",
		"./run.sh",
	} {
		output, err := exec.Command("/bin/bash", "-c", command).CombinedOutput()
		if err != nil {
			t.Fatalf("%s: %v\n%s", command, err, output)
		}
	}
}
