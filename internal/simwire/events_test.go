package simwire

import (
	"errors"
	"io"
	"slices"
	"strings"
	"testing"

	"bramblestand/balancer"
)

// Example records from the description of the wire format.
const (
	exampleInstance        = "1b 00000004 00000003"
	exampleRequest         = "12 00000020 0005bf975d3a91c4 91f03b7c55d20a64 00000000008405da 00002ee0 01 0000 00"
	exampleTimer           = "16 00000004 0000004d"
	exampleDisconnect      = "15 00000008 000bf5a10e6f2b19"
	exampleResponseStarted = "13 00000012 0005bf975d3a91c4 0000 03124a07 00002422"
	exampleOutcome         = "14 00000016 0005bf975d3a91c4 0000 03124a07 00c8 00004844 01 00"
	exampleProbeResult     = "17 00000017 2c9011f2 00c8 00000578 03 40e00000430c00003f1eb852"
	exampleGossip          = "18 00000008 0002 0004 68692037"
	exampleEndpointList    = "1a 0000002f 00 00000002 03124a07 00 00 0000 00 3f800000 0000000000000000" +
		"2c9011f2 01 00 0000 00 3fc00000 00000000005d1420"
	exampleUpdate = "11 00000006 00000029 00 03"
)

// decodeAll returns the events of a frame. It copies the slices that the decoding of the next event would overwrite.
func decodeAll(t *testing.T, decoder *Decoder, frame []byte) []Event {
	t.Helper()
	if batch, now, err := decoder.Reset(frame); err != nil || batch != exampleBatch || now != exampleClock {
		t.Fatalf("batch %d, clock %d, error %v", batch, now, err)
	}
	var events []Event
	for {
		var event Event
		err := decoder.Next(&event)
		if err == io.EOF {
			return events
		}
		if err != nil {
			t.Fatal(err)
		}
		event.Outcome.LoadReport = slices.Clone(event.Outcome.LoadReport)
		event.LoadProbeResult.LoadReport = slices.Clone(event.LoadProbeResult.LoadReport)
		event.EndpointUpdate.Endpoints = slices.Clone(event.EndpointUpdate.Endpoints)
		events = append(events, event)
	}
}

func TestDecodeExamples(t *testing.T) {
	frame := fromHex(t, "0000000c 0000005d 0000000000805c5a",
		exampleInstance, exampleRequest, exampleTimer, "1b 00000004 00000005", exampleDisconnect)
	events := decodeAll(t, new(Decoder), frame)
	request := balancer.Request{ID: 0x5bf975d3a91c4, Key: 0x91f03b7c55d20a64, Deadline: 0x8405da, CostHint: 12000, HasCostHint: true}
	if len(events) != 5 || events[0].Instance != 3 || events[1].Request != request || events[2].TimerToken != 77 ||
		events[3].Instance != 5 || events[4].RequestID != 0xbf5a10e6f2b19 {
		t.Errorf("decoded %+v, want the five events of the example", events)
	}
	events = decodeAll(t, new(Decoder), newFrame(fromHex(t, exampleResponseStarted, exampleOutcome, exampleProbeResult,
		exampleGossip, exampleEndpointList, exampleUpdate)))
	started := ResponseStarted{RequestID: 0x5bf975d3a91c4, Attempt: 0, Endpoint: 0x3124a07, Latency: 0x2422}
	if got := events[0].ResponseStarted; got != started {
		t.Errorf("response started %+v, want %+v", got, started)
	}
	if got := events[1].Outcome; got.ID != 0x5bf975d3a91c4 || got.Endpoint != 0x3124a07 || got.Status != balancer.OK ||
		got.Latency != 0x4844 || !got.RequestDone || len(got.LoadReport) != 0 {
		t.Errorf("outcome %+v, want that of the example", got)
	}
	if got := events[2].LoadProbeResult; got.Endpoint != 0x2c9011f2 || got.Status != balancer.OK || got.Latency != 1400 ||
		!slices.Equal(got.LoadReport, []float32{7, 140, 0.62}) {
		t.Errorf("load probe result %+v, want that of the example", got)
	}
	if got := events[3].Gossip; got.Sender != 2 || string(got.Message) != "hi 7" {
		t.Errorf("gossip %+v, want that of the example", got)
	}
	update := events[5].EndpointUpdate
	if update.Kind != balancer.UpdateCached || len(update.Endpoints) != 2 || update.Endpoints[1].Weight != 1.5 ||
		update.Endpoints[1].Zone != 1 || update.Endpoints[1].StartTime != 0x5d1420 {
		t.Errorf("endpoint update %+v, want that of the example", update)
	}
}

func TestDecodeStartAndStop(t *testing.T) {
	events := decodeAll(t, new(Decoder), newFrame(fromHex(t, "10 0000000f 0000000000000005 00000003 613d62", "19 00000000")))
	if len(events) != 2 || events[0].Code != EventStart || events[0].Start != (Start{Seed: 5, SettingsText: "a=b"}) {
		t.Errorf("decoded %+v, want a start", events)
	}
	if events[1].Code != EventStop || events[1].Offset != batchHeaderSize+20 {
		t.Errorf("decoded %+v, want a stop", events[1])
	}
}

// An endpoint update gets the list that the latest earlier event defined under its list number.
func TestEndpointListsAreResolvedInOrder(t *testing.T) {
	one := "1a 0000001a 00 00000001 00000001 00 00 0000 00 3f800000 0000000000000000"
	two := "1a 0000001a 00 00000001 00000002 00 00 0000 01 3f800000 0000000000000000"
	decoder := new(Decoder)
	events := decodeAll(t, decoder, newFrame(fromHex(t, one, exampleUpdate, two, exampleUpdate)))
	first, second := events[1].EndpointUpdate.Endpoints[0], events[3].EndpointUpdate.Endpoints[0]
	if first.ID != 1 || second.ID != 2 || second.State != balancer.Draining {
		t.Errorf("decoded %+v, want updates with endpoint 1 and then with endpoint 2, which drains", events)
	}
	events = decodeAll(t, decoder, newFrame(fromHex(t, "11 00000006 00000029 00 04", "11 00000006 00000029 09 02")))
	if full := events[0].EndpointUpdate; full.Kind != balancer.UpdateFull || full.Endpoints[0].ID != 2 {
		t.Error("the list is not kept for the next batch")
	}
	if failed := events[1].EndpointUpdate; failed.Kind != balancer.UpdateFailed || failed.Endpoints != nil {
		t.Error("a failed call must not need a list")
	}
}

// The error for a malformed record gives the record's name, the field and the byte at fault.
func TestMalformedRecords(t *testing.T) {
	for _, c := range []struct {
		name, records, record, field string
		offset                       int // in the record
		reason                       string
	}{
		{"header cut", "12 0000", "record", "", 0, "needs 5 bytes"},
		{"fields overrun", "12 00000021 00", "request", "", 1, "overrun"},
		{"fields short", "15 00000004 00000000", "cancelled_by_client", "handle", 5, "needs 8"},
		{"fields long", "16 00000005 0000004d 00", "timeout_fired", "", 9, "too many"},
		{"load count overruns", "14 00000016 0005bf975d3a91c4 0000 03124a07 00c8 00004844 01 02", "answer", "stats", 27, "needs 8"},
		{"config overruns", "10 0000000c 0000000000000000 00000009", "begin", "config", 17, "needs 9"},
		{"entries overrun", "1a 00000005 00 00000002", "manifest", "nodes-list", 6, "2 entries"},
		{"bad list number", "1a 00000005 10 00000000", "manifest", "roster-id", 5, "list number 16"},
		{"list not defined", "11 00000006 00000029 04 03", "membership", "roster-id", 9, "not been defined"},
		{"bad update kind", "11 00000006 00000029 00 07", "membership", "kind", 10, "unknown kind 7"},
		{"bad status", "14 00000016 0005bf975d3a91c4 0000 03124a07 00c9 00004844 01 00", "answer", "status", 19, "status 201"},
		{"bad state", "1a 0000001a 00 00000001 00000001 00 00 0000 02 3f800000 0000000000000000", "manifest", "status", 18, "status 2"},
		{"gossip overruns", "18 00000008 0002 0005 68692037", "whisper", "payload", 9, "needs 5"},
	} {
		decoder := new(Decoder)
		if _, _, err := decoder.Reset(newFrame(fromHex(t, c.records))); err != nil {
			t.Fatal(err)
		}
		var event Event
		err := decoder.Next(&event)
		var malformed *DecodeError
		if !errors.As(err, &malformed) || malformed.Record != c.record || malformed.Field != c.field ||
			malformed.Offset != batchHeaderSize+c.offset || !strings.Contains(malformed.Reason, c.reason) {
			t.Errorf("%s: error %+v, want one for record %q, field %q, byte %d with %q",
				c.name, err, c.record, c.field, batchHeaderSize+c.offset, c.reason)
		}
	}
}

func FuzzDecoder(f *testing.F) {
	for _, records := range []string{exampleInstance, exampleRequest, exampleTimer, exampleDisconnect, exampleResponseStarted,
		exampleOutcome, exampleProbeResult, exampleGossip, exampleEndpointList + exampleUpdate, "ff 00000002 0102",
		"1a 00000005 00 ffffffff"} {
		f.Add(fromHex(f, records))
	}
	f.Fuzz(func(t *testing.T, records []byte) {
		decoder := new(Decoder)
		if _, _, err := decoder.Reset(newFrame(records)); err != nil {
			t.Fatal(err)
		}
		for count := 0; ; count++ {
			var event Event
			err := decoder.Next(&event)
			if err != nil {
				var malformed *DecodeError
				if err != io.EOF && !errors.As(err, &malformed) {
					t.Fatalf("the error is neither io.EOF nor a *DecodeError: %v", err)
				}
				return
			}
			if count > len(records) {
				t.Fatal("the decoder returned more records than the frame has bytes")
			}
		}
	})
}
