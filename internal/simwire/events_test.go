package simwire

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"bramblestand/balancer"
)

// The examples of the page.
const (
	exampleInstance     = "1b 00000004 00000003"
	exampleRequest      = "12 00000020 0005bf975d3a91c4 91f03b7c55d20a64 00000000008405da 00002ee0 01 0000 00"
	exampleTimer        = "16 00000004 0000004d"
	exampleDisconnect   = "15 00000008 000bf5a10e6f2b19"
	exampleHeaders      = "13 00000012 0005bf975d3a91c4 0000 03124a07 00002422"
	exampleOutcome      = "14 00000016 0005bf975d3a91c4 0000 03124a07 00c8 00004844 01 00"
	exampleProbeResult  = "17 00000017 2c9011f2 00c8 00000578 03 40e00000430c00003f1eb852"
	exampleGossip       = "18 00000008 0002 0004 68692037"
	exampleEndpointList = "1a 0000002f 00 00000002 03124a07 00 00 0000 00 3f800000 0000000000000000" +
		"2c9011f2 01 00 0000 00 3fc00000 00000000005d1420"
	exampleUpdate = "11 00000006 00000029 00 03"
)

func decodeAll(t *testing.T, d *Decoder, f []byte) []Event {
	t.Helper()
	if _, now, err := d.Reset(f); err != nil || now != 0x805c5a {
		t.Fatalf("clock %d, error %v", now, err)
	}
	var all []Event
	for {
		var e Event
		err := d.Next(&e)
		if err == io.EOF {
			return all
		}
		if err != nil {
			t.Fatal(err)
		}
		e.LoadReport = append([]float32(nil), e.LoadReport...)
		e.Endpoints = append([]balancer.Endpoint(nil), e.Endpoints...)
		all = append(all, e)
	}
}

func TestDecodeExamples(t *testing.T) {
	f := fromHex(t, "0000000c 0000005d 0000000000805c5a", exampleInstance, exampleRequest, exampleTimer, "1b 00000004 00000005", exampleDisconnect)
	got, err := ReadFrame(bytes.NewReader(f), nil)
	if err != nil || !bytes.Equal(got, f) {
		t.Fatalf("frame changed: %v", err)
	}
	e := decodeAll(t, new(Decoder), f)
	want := balancer.Request{ID: 0x5bf975d3a91c4, Key: 0x91f03b7c55d20a64, Deadline: 0x8405da, CostHint: 12000, HasCostHint: true}
	if len(e) != 5 || e[0].Instance != 3 || e[1].Request != want || e[2].TimerToken != 77 || e[3].Instance != 5 ||
		e[4].Outcome.ID != 0xbf5a10e6f2b19 {
		t.Errorf("decoded %+v", e)
	}
	e = decodeAll(t, new(Decoder), newFrame(fromHex(t, exampleHeaders, exampleOutcome, exampleProbeResult, exampleGossip, exampleEndpointList, exampleUpdate)))
	if o := e[0].Outcome; o.ID != 0x5bf975d3a91c4 || o.Endpoint != 0x3124a07 || o.Latency != 0x2422 {
		t.Errorf("headers %+v", o)
	}
	if o := e[1].Outcome; o.Status != balancer.OK || o.Latency != 0x4844 || !o.RequestDone || len(o.LoadReport) != 0 {
		t.Errorf("answer %+v", o)
	}
	if h := e[2]; h.Endpoint != 0x2c9011f2 || h.Latency != 1400 || len(h.LoadReport) != 3 || h.LoadReport[0] != 7 || h.LoadReport[1] != 140 {
		t.Errorf("health_result %+v", h)
	}
	if w := e[3]; w.Sender != 2 || string(w.Message) != "hi 7" {
		t.Errorf("whisper %+v", w)
	}
	if m := e[5]; m.UpdateKind != balancer.UpdateCached || len(m.Endpoints) != 2 || m.Endpoints[1].Weight != 1.5 ||
		m.Endpoints[1].Zone != 1 || m.Endpoints[1].StartTime != 0x5d1420 {
		t.Errorf("membership %+v", m)
	}
}

// A list number stands for the list last conveyed before, in event order.
func TestEndpointListsAreResolvedInOrder(t *testing.T) {
	one := "1a 0000001a 00 00000001 00000001 00 00 0000 00 3f800000 0000000000000000"
	two := "1a 0000001a 00 00000001 00000002 00 00 0000 01 3f800000 0000000000000000"
	d := new(Decoder)
	e := decodeAll(t, d, newFrame(fromHex(t, one, exampleUpdate, two, exampleUpdate)))
	if e[1].Endpoints[0].ID != 1 || e[3].Endpoints[0].ID != 2 || e[3].Endpoints[0].State != balancer.Draining {
		t.Errorf("%+v", e)
	}
	e = decodeAll(t, d, newFrame(fromHex(t, "11 00000006 00000029 00 04", "11 00000006 00000029 09 02")))
	if e[0].UpdateKind != balancer.UpdateFull || e[0].Endpoints[0].ID != 2 {
		t.Error("the list does not outlive its batch")
	}
	if e[1].UpdateKind != balancer.UpdateFailed || e[1].Endpoints != nil {
		t.Error("a failed call must not need a list")
	}
}

func TestMalformedRecords(t *testing.T) {
	for _, c := range []struct{ name, records, record, reason string }{
		{"header cut", "12 0000", "record", "needs 5 bytes"},
		{"fields overrun", "12 00000021 00", "request", "overrun"},
		{"fields short", "15 00000004 00000000", "cancelled_by_client", "needs 8"},
		{"fields long", "16 00000005 0000004d 00", "timeout_fired", "too many"},
		{"load count overruns", "14 00000016 0005bf975d3a91c4 0000 03124a07 00c8 00004844 01 02", "answer", "needs 8"},
		{"config overruns", "10 0000000c 0000000000000000 00000009", "begin", "needs 9"},
		{"entries overrun", "1a 00000005 00 00000002", "manifest", "2 entries"},
		{"bad list number", "1a 00000005 10 00000000", "manifest", "list number 16"},
		{"list not conveyed", "11 00000006 00000029 04 03", "membership", "not been conveyed"},
		{"bad list kind", "11 00000006 00000029 00 07", "membership", "unknown kind 7"},
		{"bad status", "14 00000016 0005bf975d3a91c4 0000 03124a07 00c9 00004844 01 00", "answer", "status 201"},
		{"bad state", "1a 0000001a 00 00000001 00000001 00 00 0000 02 3f800000 0000000000000000", "manifest", "status 2"},
		{"whisper overruns", "18 00000008 0002 0005 68692037", "whisper", "needs 5"},
	} {
		d := new(Decoder)
		if _, _, err := d.Reset(newFrame(fromHex(t, c.records))); err != nil {
			t.Fatal(err)
		}
		var e Event
		err := d.Next(&e)
		var bad *DecodeError
		if !errors.As(err, &bad) || bad.Record != c.record || !strings.Contains(bad.Reason, c.reason) || bad.Offset < batchHeaderSize {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

func FuzzDecoder(f *testing.F) {
	for _, s := range []string{exampleInstance, exampleRequest, exampleTimer, exampleDisconnect, exampleHeaders, exampleOutcome, exampleProbeResult, exampleGossip,
		exampleEndpointList + exampleUpdate, "ff 00000002 0102", "1a 00000005 00 ffffffff"} {
		f.Add(fromHex(f, s))
	}
	f.Fuzz(func(t *testing.T, records []byte) {
		d := new(Decoder)
		if _, _, err := d.Reset(newFrame(records)); err != nil {
			t.Fatal(err)
		}
		for n := 0; ; n++ {
			var e Event
			err := d.Next(&e)
			if err != nil {
				var bad *DecodeError
				if err != io.EOF && !errors.As(err, &bad) {
					t.Fatalf("error of another kind: %v", err)
				}
				return
			}
			if n > len(records) {
				t.Fatal("more records than bytes")
			}
		}
	})
}
