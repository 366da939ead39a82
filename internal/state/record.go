package state

import (
	"encoding/binary"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// FormatVersion is the format of the records that this package writes, and the only one that it reads.
const FormatVersion = 1

// A record is a header and a JSON body. All numbers are big-endian.
//
//	offset  bytes
//	0       2      magic "BS"
//	2       1      format version
//	3       1      kind
//	4       4      length of the body
//	8       8      xxhash64 of the body
//	16             body
const (
	recordMagic    = "BS"
	versionOffset  = 2
	kindOffset     = 3
	lengthOffset   = 4
	checksumOffset = 8
	headerBytes    = 16

	maxBodyBytes = 64 << 20
)

// recordKind identifies what a record's body holds. The numbers are part of the stored format.
type recordKind byte

// The kinds of record.
const (
	kindMeta recordKind = iota + 1
	kindEndpointList
	kindAdminSettings
	kindEndpointState
	kindFleet
)

// encodeRecord returns a record: a header followed by body.
func encodeRecord(kind recordKind, body []byte) []byte {
	record := make([]byte, headerBytes, headerBytes+len(body))
	copy(record, recordMagic)
	record[versionOffset], record[kindOffset] = FormatVersion, byte(kind)
	binary.BigEndian.PutUint32(record[lengthOffset:], uint32(len(body)))
	binary.BigEndian.PutUint64(record[checksumOffset:], xxhash.Sum64(body))
	return append(record, body...)
}

// decodeRecord checks a record's header and reads its JSON body into the value that into points to. Its errors wrap
// ErrNotRecord, ErrFormatVersion, ErrRecordKind, ErrLength or ErrChecksum, or are those of encoding/json.
func decodeRecord(record []byte, kind recordKind, into any) error {
	if len(record) < headerBytes || string(record[:len(recordMagic)]) != recordMagic {
		return ErrNotRecord
	}
	if version := record[versionOffset]; version != FormatVersion {
		return fmt.Errorf("%w %d; this program reads %d", ErrFormatVersion, version, FormatVersion)
	}
	if got := recordKind(record[kindOffset]); got != kind {
		return fmt.Errorf("%w %d where %d belongs", ErrRecordKind, got, kind)
	}
	length := binary.BigEndian.Uint32(record[lengthOffset:])
	body := record[headerBytes:]
	if length > maxBodyBytes {
		return fmt.Errorf("%w: body of %d bytes, more than %d", ErrLength, length, maxBodyBytes)
	}
	if int(length) != len(body) {
		return fmt.Errorf("%w: body of %d bytes, the header gives %d", ErrLength, len(body), length)
	}
	if xxhash.Sum64(body) != binary.BigEndian.Uint64(record[checksumOffset:]) {
		return ErrChecksum
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("body: %w", err)
	}
	return nil
}
