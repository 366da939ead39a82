package state

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// FormatVersion is the format of the records this package writes and reads.
const FormatVersion = 1

const (
	magic        = "BS"
	headerBytes  = 2 + 1 + 1 + 4 + 8 // magic, version, kind, body length, xxhash64 of the body
	maxBodyBytes = 64 << 20
)

// The kinds of record.
const (
	kindMeta byte = iota + 1
	kindEndpointList
	kindAdminSettings
	kindEndpointState
	kindFleet
)

// encodeRecord wraps a record's body in its header.
func encodeRecord(kind byte, body []byte) []byte {
	record := make([]byte, headerBytes, headerBytes+len(body))
	copy(record, magic)
	record[2], record[3] = FormatVersion, kind
	binary.BigEndian.PutUint32(record[4:], uint32(len(body)))
	binary.BigEndian.PutUint64(record[8:], xxhash.Sum64(body))
	return append(record, body...)
}

// decodeRecord checks a framed record of the given kind and reads its JSON body
// into v. Its errors say what is wrong: not a record, another version or kind,
// truncated, a checksum that does not match, a body that is not JSON.
func decodeRecord(record []byte, kind byte, v any) error {
	switch {
	case len(record) < headerBytes || string(record[:2]) != magic:
		return errors.New("not a record of this program")
	case record[2] != FormatVersion:
		return fmt.Errorf("format version %d; this program reads %d", record[2], FormatVersion)
	case record[3] != kind:
		return fmt.Errorf("kind %d where %d belongs", record[3], kind)
	}
	size := binary.BigEndian.Uint32(record[4:])
	body := record[headerBytes:]
	switch {
	case size > maxBodyBytes:
		return fmt.Errorf("body of %d bytes, more than %d", size, maxBodyBytes)
	case int(size) != len(body):
		return fmt.Errorf("truncated or overlong: %d bytes of %d", len(body), size)
	case xxhash.Sum64(body) != binary.BigEndian.Uint64(record[8:]):
		return errors.New("checksum does not match")
	}
	if err := json.Unmarshal(body, v); err != nil {
		return fmt.Errorf("body: %v", err)
	}
	return nil
}
