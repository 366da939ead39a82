package lab

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// MergeLogs writes every JSON log line of the folder's *.log files into one
// file, ordered by their "time" fields, with the name of its file added as
// "file". A line that is not a JSON object is written as the field "text" of
// one, and ordered by the time of the line before it.
func MergeLogs(folder, out string) error {
	paths, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil {
		return err
	}
	type line struct {
		at   time.Time
		text []byte
	}
	var lines []line
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		var last time.Time
		for _, raw := range bytes.Split(data, []byte("\n")) {
			if len(bytes.TrimSpace(raw)) == 0 {
				continue
			}
			fields := map[string]any{}
			if json.Unmarshal(raw, &fields) != nil {
				fields = map[string]any{"text": string(raw)}
			}
			if at, ok := fields["time"].(string); ok {
				if t, err := time.Parse(time.RFC3339Nano, at); err == nil {
					last = t
				}
			}
			fields["file"] = filepath.Base(path)
			text, _ := json.Marshal(fields)
			lines = append(lines, line{last, text})
		}
	}
	slices.SortStableFunc(lines, func(a, b line) int { return a.at.Compare(b.at) })
	var merged bytes.Buffer
	for _, l := range lines {
		merged.Write(l.text)
		merged.WriteByte('\n')
	}
	return os.WriteFile(out, merged.Bytes(), 0o644)
}
