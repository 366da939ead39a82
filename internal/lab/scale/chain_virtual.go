//go:build go1.25

package scale

import (
	"flag"
	"testing"
	"testing/synctest"
	"time"
)

// VirtualChain plays a chain on a virtual clock. It needs a program of its own, as Virtual does.
func RunChainVirtual(spec Chain, take func(*ChainResult, error)) error {
	testing.Init()
	flag.Parse() // what stands before the program's subcommand: nothing
	began := time.Now()
	all := func(string, string) (bool, error) { return true, nil }
	testing.Main(all, []testing.InternalTest{{Name: "chain", F: func(t *testing.T) {
		var r *ChainResult
		var err error
		synctest.Test(t, func(*testing.T) { r, err = RunChain(spec) })
		if r != nil {
			r.WallSeconds = time.Since(began).Seconds()
		}
		take(r, err)
	}}}, nil, nil)
	return nil
}
