// Package goldentest helps tests that compare a text with a golden file.
package goldentest

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
)

var (
	goField = regexp.MustCompile(`into Go struct field [^ .]*\.(\S+) of type \S+`)
	goValue = regexp.MustCompile(`into Go value of type .*`)
)

// ErrorText returns an error's text, or "" for nil. It removes the names of Go types from the texts of encoding/json, so that
// a golden file does not depend on names in the code, and it removes repeated lines.
func ErrorText(err error) string {
	if err == nil {
		return ""
	}
	lines := strings.Split(goValue.ReplaceAllString(goField.ReplaceAllString(err.Error(), "into $1"), "into the whole"), "\n")
	return strings.Join(slices.Compact(lines), "\n")
}

// EqualLines compares a text with a golden file line by line.
func EqualLines(t *testing.T, got, goldenPath string) {
	t.Helper()
	golden, err := os.ReadFile(goldenPath)
	if err != nil {
		t.Fatal(err)
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(string(golden), "\n")
	if len(gotLines) != len(wantLines) {
		t.Errorf("%s: %d lines, want %d", goldenPath, len(gotLines), len(wantLines))
	}
	for i := range min(len(gotLines), len(wantLines)) {
		if gotLines[i] != wantLines[i] {
			t.Errorf("%s:%d: got\n\t%s\nwant\n\t%s", goldenPath, i+1, gotLines[i], wantLines[i])
		}
	}
}
