// Package ci tests the script that runs the tests.
package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

const red = "a TestRed | it is wrong on purpose | 27\n"

// Known failures are passed over, at most three, each by its name alone; they are run and printed all the same.
func TestKnownRed(t *testing.T) {
	script, err := filepath.Abs("../../.ci/test")
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		list   string
		extra  string // another test
		passes bool
		says   string
	}{
		"no list":                  {"", "", false, "--- FAIL: TestRed"},
		"the red one listed":       {red, "", true, "known red, passed over: a TestRed"},
		"the listed one is run":    {red, "", true, "--- FAIL: TestRed"},
		"another failure":          {red, "func TestOther(t *testing.T) { t.Error() }", false, "--- FAIL: TestOther"},
		"one whose name is longer": {red, "func TestRedToo(t *testing.T) { t.Error() }", false, "--- FAIL: TestRedToo"},
		"no such test":             {"a TestGone | cause | 27\n", "", false, "no test TestGone in a"},
		"no such package":          {"b TestRed | cause | 27\n", "", false, ""},
		"no cause":                 {"a TestRed | | 27\n", "", false, "malformed"},
		"no issue":                 {"a TestRed | cause\n", "", false, "malformed"},
		"a line of nothing":        {red + "\n", "", false, "malformed"},
		"four lines":               {strings.Repeat(red, 4), "", false, "3 at most"},
		"no end of line":           {strings.TrimSpace(red), "", true, "known red"},
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
			write("a/a_test.go", "package a\nimport \"testing\"\nfunc TestRed(t *testing.T) { t.Error() }\nfunc TestGreen(t *testing.T) {}\n"+c.extra+"\n")
			if c.list != "" {
				write("KNOWN-RED.txt", c.list)
			}
			command := exec.Command("bash", script)
			command.Dir = dir
			command.Env = append(os.Environ(), "GOFLAGS=", "GOWORK=off")
			out, err := command.CombinedOutput()
			if passes := err == nil; passes != c.passes || !strings.Contains(string(out), c.says) {
				t.Errorf("passes %v, want %v and %q:\n%s", passes, c.passes, c.says, out)
			}
		})
	}
}
