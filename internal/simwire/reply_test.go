package simwire

import (
	"bytes"
	"encoding/binary"
	"math"
	"testing"
)

func TestReplyExamples(t *testing.T) {
	var reply Reply
	reply.Reset(1)
	if got := reply.Bytes(); !bytes.Equal(got, fromHex(t, "00000001 0000000c 00000000")) {
		t.Errorf("the reply without actions is %x, want a header alone", got)
	}
	reply.Reset(12)
	reply.SelectInstance(3)
	reply.StartAttempt(0x5bf975d3a91c4, 0x3124a07, 80000)
	reply.SetTimer(500000, 77)
	reply.SelectInstance(5)
	reply.Log("two servers known")
	want := fromHex(t, "0000000c 00000058 00000005 5c 00000004 00000003",
		"50 00000010 0005bf975d3a91c4 03124a07 00013880 54 00000008 0007a120 0000004d",
		"5c 00000004 00000005 58 00000013 0011 74776f2073657276657273206b6e6f776e")
	if got := reply.Bytes(); !bytes.Equal(got, want) {
		t.Errorf("got  %x\nwant %x", got, want)
	}
	reply.Reset(0)
	reply.Reject(0xbf5a10e6f2b19, 250000)
	reply.Fail(0xbf5a10e6f2b19)
	reply.CancelAttempt(0x5bf975d3a91c4, 0)
	reply.SendLoadProbe(0x2c9011f2)
	reply.CloseIdleConnections(0x2c9011f2)
	reply.SendGossip(AllPeers, []byte("hi 7"))
	reply.ReportFault("index out of range")
	reply.WatchEndpoints(true)
	reply.ListEndpoints()
	want = fromHex(t, "51 0000000c 000bf5a10e6f2b19 0003d090 52 00000008 000bf5a10e6f2b19",
		"53 0000000a 0005bf975d3a91c4 0000 55 00000004 2c9011f2 56 00000004 2c9011f2",
		"57 0000000a ffffffff 0004 68692037 59 00000014 0012 696e646578206f7574206f662072616e6765",
		"5a 00000001 01 5b 00000000")
	if got := reply.Bytes()[replyHeaderSize:]; !bytes.Equal(got, want) {
		t.Errorf("got  %x\nwant %x", got, want)
	}
}

func TestDurationsOutOfRangeAreClamped(t *testing.T) {
	var reply Reply
	reply.Reset(0)
	reply.SetTimer(-5, 1)
	reply.SetTimer(math.MaxInt64, 1)
	records := reply.Bytes()[replyHeaderSize:]
	const secondDelay = 18
	if binary.BigEndian.Uint32(records[recordHeaderSize:]) != 0 || binary.BigEndian.Uint32(records[secondDelay:]) != math.MaxUint32 {
		t.Errorf("records %x, want the delays 0 and %d", records, uint32(math.MaxUint32))
	}
}
