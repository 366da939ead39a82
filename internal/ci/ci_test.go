// Package ci tests the scripts of .ci and checks that packages are documented.
package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// knownFailure is a valid entry of KNOWN-RED.txt for TestRed, a test that fails on purpose.
const knownFailure = "a TestRed | go test -run TestRed ./a, seed 1 | it fails on purpose | 27\n"

// A known failure is run and printed but does not fail the run. Only a test with exactly the listed name counts as known.
func TestKnownFailuresAreRunButNotCounted(t *testing.T) {
	script, err := filepath.Abs("../../.ci/test")
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		list       string // KNOWN-RED.txt; empty for none
		extraTests string // Go source
		wantPass   bool
		wantOutput string
	}{
		"no list":                  {"", "", false, "--- FAIL: TestRed"},
		"the red one listed":       {knownFailure, "", true, "known red, passed over: a TestRed"},
		"the listed one is run":    {knownFailure, "", true, "--- FAIL: TestRed"},
		"another failure":          {knownFailure, "func TestOther(t *testing.T) { t.Error() }", false, "--- FAIL: TestOther"},
		"one whose name is longer": {knownFailure, "func TestRedToo(t *testing.T) { t.Error() }", false, "--- FAIL: TestRedToo"},
		"four listed tests": {knownFailure + knownFailures("TestRed2", "TestRed3", "TestRed4"), failingTests("TestRed2", "TestRed3", "TestRed4"), true,
			"known red, passed over: a TestRed4"},
		"a failure beside four listed": {knownFailure + knownFailures("TestRed2", "TestRed3", "TestRed4"), failingTests("TestRed2", "TestRed3", "TestRed4", "TestOther"), false,
			"--- FAIL: TestOther"},
		"listed twice":          {strings.Repeat(knownFailure, 2), "", false, "TestRed in a is listed twice"},
		"no such test":          {"a TestGone | command | observation | 27\n", "", false, "no test TestGone in a"},
		"no such package":       {"b TestRed | command | observation | 27\n", "", false, "no test TestRed in b"},
		"no command":            {"a TestRed | | observation | 27\n", "", false, "malformed"},
		"blank command":         {"a TestRed | \t | observation | 27\n", "", false, "malformed"},
		"no observation":        {"a TestRed | command | | 27\n", "", false, "malformed"},
		"no issue":              {"a TestRed | command | observation\n", "", false, "malformed"},
		"issue not a number":    {"a TestRed | command | observation | soon\n", "", false, "malformed"},
		"one column more":       {"a TestRed | command | observation | more | 27\n", "", false, "malformed"},
		"entry of three":        {"a TestRed | cause | 27\n", "", false, "malformed"},
		"an empty line":         {knownFailure + "\n", "", false, "malformed"},
		"no newline at the end": {strings.TrimSpace(knownFailure), "", true, "known red"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			write := func(path, text string) {
				path = filepath.Join(dir, path)
				if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			write("go.mod", "module m\n\ngo 1.24\n")
			write("a/a_test.go", "package a\nimport \"testing\"\nfunc TestRed(t *testing.T) { t.Error() }\nfunc TestGreen(t *testing.T) {}\n"+c.extraTests+"\n")
			if c.list != "" {
				write("KNOWN-RED.txt", c.list)
			}
			command := exec.Command("bash", script)
			command.Dir = dir
			command.Env = append(os.Environ(), "GOFLAGS=", "GOWORK=off")
			out, err := command.CombinedOutput()
			if passed := err == nil; passed != c.wantPass || !strings.Contains(string(out), c.wantOutput) {
				t.Errorf("passed %v, want %v and output with %q:\n%s", passed, c.wantPass, c.wantOutput, out)
			}
		})
	}
}

// knownFailures returns one entry of KNOWN-RED.txt for each test.
func knownFailures(names ...string) string {
	var entries strings.Builder
	for _, name := range names {
		entries.WriteString(strings.ReplaceAll(knownFailure, "TestRed", name))
	}
	return entries.String()
}

// failingTests returns the Go source of tests that fail.
func failingTests(names ...string) string {
	var source strings.Builder
	for _, name := range names {
		source.WriteString("func " + name + "(t *testing.T) { t.Error() }\n")
	}
	return source.String()
}
