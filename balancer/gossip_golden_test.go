package balancer

import (
	"bytes"
	"os"
	"slices"
	"testing"
)

// The messages in testdata were written by main 0bd2efd: balancers of that version send and read them.
func TestGossipMessageReadsAndWritesGoldenBytes(t *testing.T) {
	for _, c := range []struct {
		file string
		want []gossipEntry
	}{
		{"gossip-one.bin", []gossipEntry{{endpointID: 305_419_896, startMark: 0xbeef, inFlight: 7, queueLength: 2}}},
		{"gossip-several.bin", []gossipEntry{
			{endpointID: 1, startMark: 0, inFlight: 0, queueLength: 0},
			{endpointID: 4_294_967_295, startMark: 65_535, inFlight: 255, queueLength: 255},
			{endpointID: 70_000, startMark: 258, inFlight: 12, queueLength: 10},
		}},
	} {
		golden, err := os.ReadFile("testdata/" + c.file)
		if err != nil {
			t.Fatal(err)
		}
		got, err := decodeGossip(golden)
		if err != nil || !slices.Equal(got, c.want) {
			t.Errorf("%s reads as %+v, %v; want %+v", c.file, got, err, c.want)
		}
		written := []byte{golden[0]}
		for _, n := range got {
			written = append(written, n.encode()[1:]...)
		}
		if !bytes.Equal(written, golden) {
			t.Errorf("%s is written again as %x, want %x", c.file, written, golden)
		}
	}
}
