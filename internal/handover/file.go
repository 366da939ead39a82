package handover

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/url"
	"os"
	"path/filepath"
)

const (
	formatVersion = 1
	maxFileBytes  = 1 << 20
	fileMode      = 0o600
)

// filePath returns the path of the handover file of the sidecar called name. Processes of other releases use the same
// path.
func filePath(dir, name string) string {
	return filepath.Join(dir, "pinedale-"+url.PathEscape(name)+".json")
}

// fileRecord is the JSON form of a State in the handover file.
type fileRecord struct {
	Version  int      `json:"version"`
	Revision uint64   `json:"seq"`
	Drained  bool     `json:"drained"`
	Banned   []string `json:"banned"`
}

// readFile reads the handover file. size is its length as reported by os.Stat.
func readFile(path string, size int64) (State, error) {
	if size > maxFileBytes {
		return State{}, fmt.Errorf("%s: %d bytes, more than %d", path, size, maxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return State{}, err
	}
	var record fileRecord
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&record); err != nil {
		return State{}, fmt.Errorf("%s: %w", path, err)
	}
	if record.Version != formatVersion {
		return State{}, fmt.Errorf("%s: format version %d; this program reads %d", path, record.Version, formatVersion)
	}
	return State{Revision: record.Revision, Banned: record.Banned, Drained: record.Drained}, nil
}

// writeFile replaces the handover file atomically: a reader sees either the old content or the new.
func writeFile(path string, s State) error {
	data, err := json.Marshal(fileRecord{Version: formatVersion, Revision: s.Revision, Drained: s.Drained, Banned: s.Banned})
	if err != nil {
		return err
	}
	temporary := path + ".new"
	if err := os.WriteFile(temporary, data, fileMode); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}
