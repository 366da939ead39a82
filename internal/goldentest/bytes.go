package goldentest

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"testing"
)

var update = flag.Bool("update-golden", false, "rewrite the golden files; only for a format that is new on the wire, on disk or for operators")

// Updating reports whether the golden files are to be rewritten (-update-golden).
func Updating() bool { return *update }

// JSON returns a value as indented JSON, the content of a golden file.
func JSON(t *testing.T, value any) []byte {
	t.Helper()
	text, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	return append(text, '\n')
}

// EqualBytes compares a text with a golden file byte by byte, and returns the file's content. With -update-golden it writes
// the text to the file first.
func EqualBytes(t *testing.T, got []byte, goldenPath string) []byte {
	t.Helper()
	if *update {
		if err := os.WriteFile(goldenPath, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	golden, err := os.ReadFile(goldenPath)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, golden) {
		t.Errorf("%s differs:\n%s\nwant\n%s", goldenPath, got, golden)
	}
	return golden
}
