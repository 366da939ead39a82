// Package simwire is the codec of the simulator's wire: it reads batches of events, writes replies with actions, and reads
// the settings text that a batch carries.
//
// A frame is a header and records. A record is a code of one byte, the length of its fields in four, and the fields one
// straight after another, big-endian, without padding. [ReadFrame] reads a frame, [Decoder] its events, and [Reply] builds
// the answer:
//
//	frame, err := simwire.ReadFrame(input, frame)
//	batch, now, err := decoder.Reset(frame)
//	reply.Reset(batch)
//	for decoder.Next(&event) == nil {
//		// hand the event to its instance, which adds actions to reply
//	}
//	output.Write(reply.Bytes())
//
// The wire has names of its own for records, fields and settings. names.go and settings_keys.go map them to the terms of this
// program. internal/config knows four more keys of the settings (areas, skus, reporting.fields, limits.keepalive). Errors name the wire's record and field, or the key of the setting.
//
// The package takes no decisions and holds no state but the numbered endpoint lists. Nothing in it is safe for concurrent
// use.
package simwire
