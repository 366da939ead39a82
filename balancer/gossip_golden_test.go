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
		want []news
	}{
		{"gossip-one.bin", []news{{id: 305_419_896, start: 0xbeef, held: 7, queue: 2}}},
		{"gossip-several.bin", []news{
			{id: 1, start: 0, held: 0, queue: 0},
			{id: 4_294_967_295, start: 65_535, held: 255, queue: 255},
			{id: 70_000, start: 258, held: 12, queue: 10},
		}},
	} {
		golden, err := os.ReadFile("testdata/" + c.file)
		if err != nil {
			t.Fatal(err)
		}
		got, err := readNews(golden)
		if err != nil || !slices.Equal(got, c.want) {
			t.Errorf("%s reads as %+v, %v; want %+v", c.file, got, err, c.want)
		}
		written := []byte{golden[0]}
		for _, n := range got {
			written = append(written, n.message()[1:]...)
		}
		if !bytes.Equal(written, golden) {
			t.Errorf("%s is written again as %x, want %x", c.file, written, golden)
		}
	}
}
