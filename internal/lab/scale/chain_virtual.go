//go:build go1.25

package scale

import (
	"flag"
	"testing"
	"testing/synctest"
	"time"
)

// RunChainVirtual runs a chain on a virtual clock and passes the result to handle. It ends the program, as RunVirtual does.
func RunChainVirtual(spec Chain, handle func(*ChainResult, error)) error {
	testing.Init()
	flag.Parse() // testing needs parsed flags; no flags precede the subcommand
	began := time.Now()
	matchAll := func(string, string) (bool, error) { return true, nil }
	testing.Main(matchAll, []testing.InternalTest{{Name: "chain", F: func(t *testing.T) {
		var r *ChainResult
		var err error
		synctest.Test(t, func(*testing.T) { r, err = RunChain(spec) })
		if r != nil {
			r.WallSeconds = time.Since(began).Seconds()
		}
		handle(r, err)
	}}}, nil, nil)
	return nil
}
