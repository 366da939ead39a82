// Package simwire encodes and decodes the simulator's wire format: it reads batches of events, writes replies with actions,
// and parses the settings text that a batch carries.
//
// A frame is a header followed by records. A record is a code of one byte, the total length of its fields in four bytes, and
// the fields, big-endian and without padding. [ReadFrame] reads a frame, [Decoder] decodes its events, and [Reply] builds the
// reply:
//
//	frame, err := simwire.ReadFrame(input, frame)
//	batch, now, err := decoder.Reset(frame)
//	reply.Reset(batch)
//	for decoder.Next(&event) == nil {
//		// hand the event to its instance, which adds actions to reply
//	}
//	output.Write(reply.Bytes())
//
// The wire has its own names for records, fields and settings. names.go and settings_keys.go map them to the terms of this
// program. internal/config also reads four keys of the settings by itself: areas, skus, reporting.fields and limits.keepalive.
// Errors give the names of the record and the field on the wire, or the key of the setting.
//
// The package makes no load-balancing decisions, and its only state is the numbered endpoint lists of a [Decoder]. None of its
// types is safe for concurrent use.
package simwire
