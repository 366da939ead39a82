package main

import (
	"bytes"
	"encoding/binary"
	"log/slog"
	"strings"
	"testing"

	"bramblestand/internal/simwire"
)

const (
	batchHeaderSize  = 16
	replyHeaderSize  = 12
	recordHeaderSize = 5

	updateCached = 3 // the kind of an endpoint update that carries the last known list

	statusOK    = 200
	statusError = 500
)

const settings = `classes.count=1
classes.0.give-up=500000
classes.0.repeat=pure
classes.0.target=250000
contract.cold-from=0.2
contract.ramp-time=1000000
limits.most-tries=3
limits.probes=true
limits.cancel=true
reporting.fields=busy_reqs
reporting.how=probe
`

// newRecord encodes a record. A string field is written without its length.
func newRecord(code simwire.EventCode, fields ...any) []byte {
	var body bytes.Buffer
	for _, field := range fields {
		if text, ok := field.(string); ok {
			field = []byte(text)
		}
		if err := binary.Write(&body, binary.BigEndian, field); err != nil {
			panic(err)
		}
	}
	header := binary.BigEndian.AppendUint32([]byte{byte(code)}, uint32(body.Len()))
	return append(header, body.Bytes()...)
}

// newBatch encodes a batch.
func newBatch(number uint32, now uint64, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	frame := binary.BigEndian.AppendUint32(nil, number)
	frame = binary.BigEndian.AppendUint32(frame, uint32(batchHeaderSize+len(body)))
	frame = binary.BigEndian.AppendUint64(frame, now)
	return append(frame, body...)
}

func instanceRecord(number uint32) []byte { return newRecord(simwire.EventInstance, number) }

func startRecord(settingsText string) []byte {
	return newRecord(simwire.EventStart, uint64(5), uint32(len(settingsText)), settingsText)
}

func endpointListRecord(list uint8, ids ...uint32) []byte {
	fields := []any{list, uint32(len(ids))}
	for _, id := range ids {
		fields = append(fields, id, uint8(0), uint8(0), uint16(0), uint8(0), float32(1), uint64(0))
	}
	return newRecord(simwire.EventEndpointList, fields...)
}

func updateRecord(list, kind uint8) []byte {
	return newRecord(simwire.EventEndpointUpdate, uint32(1), list, kind)
}

func requestRecord(id uint64, deadline uint64) []byte {
	return newRecord(simwire.EventRequest, id, uint64(0), deadline, uint32(0), uint8(0), uint16(0), uint8(0))
}

func outcomeRecord(id uint64, endpoint uint32, status uint16, requestDone uint8) []byte {
	return newRecord(simwire.EventAttemptFinished, id, uint16(0), endpoint, status, uint32(3000), requestDone, uint8(0))
}

func timerRecord(token uint32) []byte { return newRecord(simwire.EventTimerFired, token) }

// runBatches runs the adapter over the batches and returns what it wrote.
func runBatches(t *testing.T, batches ...[]byte) (output, logged string, err error) {
	t.Helper()
	var out, log bytes.Buffer
	err = run(bytes.NewReader(bytes.Join(batches, nil)), &out, slog.New(slog.NewTextHandler(&log, nil)))
	return out.String(), log.String(), err
}

// splitReplies returns the replies one by one.
func splitReplies(output string) [][]byte {
	var replies [][]byte
	for remaining := []byte(output); len(remaining) > 0; {
		size := binary.BigEndian.Uint32(remaining[4:])
		replies = append(replies, remaining[:size])
		remaining = remaining[size:]
	}
	return replies
}

// splitRecords returns the records of a reply one by one.
func splitRecords(reply []byte) [][]byte {
	var records [][]byte
	for remaining := reply[replyHeaderSize:]; len(remaining) > 0; {
		size := recordHeaderSize + int(binary.BigEndian.Uint32(remaining[1:]))
		records = append(records, remaining[:size])
		remaining = remaining[size:]
	}
	return records
}

// decodeReply returns the number of a reply's batch and the codes of its records, and checks its header.
func decodeReply(t *testing.T, reply []byte) (batch uint32, codes []simwire.ActionCode) {
	t.Helper()
	if int(binary.BigEndian.Uint32(reply[4:])) != len(reply) {
		t.Fatalf("reply of %d bytes, its header has %d", len(reply), binary.BigEndian.Uint32(reply[4:]))
	}
	for _, record := range splitRecords(reply) {
		codes = append(codes, simwire.ActionCode(record[0]))
	}
	if int(binary.BigEndian.Uint32(reply[8:])) != len(codes) {
		t.Fatalf("%d records, the header has %d", len(codes), binary.BigEndian.Uint32(reply[8:]))
	}
	return binary.BigEndian.Uint32(reply), codes
}

// count returns how often a code is among codes.
func count(codes []simwire.ActionCode, code simwire.ActionCode) int {
	n := 0
	for _, c := range codes {
		if c == code {
			n++
		}
	}
	return n
}

func TestEmptyBatchGetsAnEmptyReply(t *testing.T) {
	output, _, err := runBatches(t, newBatch(1, 100))
	if err != nil || output != "\x00\x00\x00\x01\x00\x00\x00\x0c\x00\x00\x00\x00" {
		t.Errorf("output %x, error %v; want a reply without actions", output, err)
	}
}

func TestRequestStartsAnAttempt(t *testing.T) {
	output, logged, err := runBatches(t, newBatch(7, 1000, instanceRecord(3), startRecord(settings),
		endpointListRecord(0, 11, 12), updateRecord(0, updateCached), requestRecord(5, 500_000)))
	if err != nil || logged != "" {
		t.Fatal(logged, err)
	}
	batch, codes := decodeReply(t, []byte(output))
	if batch != 7 || codes[0] != simwire.ActionSelectInstance || count(codes, simwire.ActionStartAttempt) != 1 {
		t.Errorf("batch %d, codes %v; want batch 7 with a selected instance and one started attempt", batch, codes)
	}
}

func TestStopAndStartInOneBatch(t *testing.T) {
	output, _, err := runBatches(t,
		newBatch(1, 1000, instanceRecord(3), startRecord(settings), endpointListRecord(0, 11), updateRecord(0, updateCached),
			requestRecord(5, 500_000)),
		newBatch(2, 2000, instanceRecord(3), newRecord(simwire.EventStop), startRecord(settings), endpointListRecord(0, 12),
			updateRecord(0, updateCached), outcomeRecord(5, 11, statusError, 0), requestRecord(6, 500_000)))
	if err != nil {
		t.Fatal(err)
	}
	_, codes := decodeReply(t, splitReplies(output)[1])
	if count(codes, simwire.ActionStartAttempt) != 1 || count(codes, simwire.ActionReject) != 0 || count(codes, simwire.ActionFail) != 0 {
		t.Errorf("the instance still knows a request from before its stop: %v", codes)
	}
}

// requestScript returns the batches of a run in which every instance gets 30 requests.
func requestScript(instances ...uint32) [][]byte {
	records := [][]byte{endpointListRecord(0, 11, 12, 13)}
	for _, i := range instances {
		records = append(records, instanceRecord(i), startRecord(settings), updateRecord(0, updateCached))
	}
	batches := [][]byte{newBatch(1, 1000, records...)}
	for n := range uint64(30) {
		records = nil
		for _, i := range instances {
			records = append(records, instanceRecord(i), requestRecord(100*uint64(i)+n, 1000*n+500_000))
		}
		batches = append(batches, newBatch(uint32(n+2), 1000*n+2000, records...))
	}
	return batches
}

// countRecords returns how often each record occurs in the output.
func countRecords(output string) map[string]int {
	counts := map[string]int{}
	for _, reply := range splitReplies(output) {
		for _, record := range splitRecords(reply) {
			counts[string(record)]++
		}
	}
	return counts
}

func TestInstancesActAlikeTogetherAndAlone(t *testing.T) {
	together, _, _ := runBatches(t, requestScript(1, 2)...)
	again, _, _ := runBatches(t, requestScript(1, 2)...)
	if together != again {
		t.Fatal("two runs with the same input differ")
	}
	alone := ""
	for _, i := range []uint32{1, 2} {
		output, _, _ := runBatches(t, requestScript(i)...)
		alone += output
	}
	inOneProcess, inTwo := countRecords(together), countRecords(alone)
	if len(inOneProcess) != len(inTwo) {
		t.Fatalf("%d kinds of record together, %d alone", len(inOneProcess), len(inTwo))
	}
	for record, n := range inOneProcess {
		if inTwo[record] != n {
			t.Errorf("record %x: %d together, %d alone", record, n, inTwo[record])
		}
	}
}

func TestMalformedInputEndsTheRun(t *testing.T) {
	valid := newBatch(1, 1000, instanceRecord(3), startRecord(settings))
	for _, c := range []struct {
		name  string
		input []byte
		want  string // in the error
	}{
		{"event before instance", newBatch(2, 1000, timerRecord(1)), "timeout_fired at byte 16"},
		{"event before start", newBatch(2, 1000, instanceRecord(4), timerRecord(1)), "instance 4 has not begun"},
		{"truncated", newBatch(2, 1000, instanceRecord(3))[:20], "batch at byte 20"},
		{"overrun", newBatch(2, 1000, []byte{byte(simwire.EventRequest), 0, 0, 1, 0}), "request at byte 17"},
	} {
		output, _, err := runBatches(t, valid, c.input)
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line with %q", c.name, err, c.want)
		}
		if batch, _ := decodeReply(t, []byte(output)); batch != 1 {
			t.Errorf("%s: the first reply is not that to batch 1", c.name)
		}
	}
}

func TestUnknownEventIsLoggedOnce(t *testing.T) {
	_, logged, err := runBatches(t, newBatch(1, 1000, newRecord(99, uint32(1)), newRecord(99), instanceRecord(3), startRecord(settings)))
	if err != nil || strings.Count(logged, "\n") != 1 || !strings.Contains(logged, "event 99") {
		t.Errorf("logged %q, error %v; want one line about event 99", logged, err)
	}
}

func TestBadSettingsAreAFault(t *testing.T) {
	for _, text := range []string{
		strings.Replace(settings, "repeat=pure", "repeat=never", 1),
		strings.Replace(settings, "target=250000", "target=-1", 1),
	} {
		output, _, err := runBatches(t, newBatch(1, 1000, instanceRecord(3), startRecord(text)))
		if err != nil {
			t.Fatal(err)
		}
		if _, codes := decodeReply(t, []byte(output)); codes[len(codes)-1] != simwire.ActionReportFault {
			t.Errorf("codes %v, want a reported fault as the last action", codes)
		}
	}
}

// A gossip message from another instance reaches the balancer, and the balancer's own messages go to all other instances.
func TestGossipOnTheWire(t *testing.T) {
	fleet := settings + "peers-total=80\nlimits.may-tell=true\nprices.probe=0.08\nprices.peer=0.014\n"
	ids := make([]uint32, 60)
	for i := range ids {
		ids[i] = uint32(i + 1)
	}
	malformed := newRecord(simwire.EventGossip, uint16(2), uint16(2), "hi")
	const probeTimer = 0
	probed := newRecord(simwire.EventLoadProbeResult, uint32(1), uint16(statusOK), uint32(500), uint8(1), float32(3))
	output, _, err := runBatches(t,
		newBatch(1, 0, instanceRecord(1), startRecord(fleet), endpointListRecord(0, ids...), updateRecord(0, updateCached)),
		newBatch(2, 1_000_000, instanceRecord(1), timerRecord(probeTimer)),
		newBatch(3, 1_000_500, instanceRecord(1), probed, malformed))
	if err != nil {
		t.Fatal(err)
	}
	var codes []simwire.ActionCode // of the last reply
	for _, reply := range splitReplies(output) {
		_, codes = decodeReply(t, reply)
	}
	if count(codes, simwire.ActionSendGossip) == 0 || count(codes, simwire.ActionLog) == 0 {
		t.Errorf("actions %v, want a message to all other instances and a log line for the malformed one", codes)
	}
}
