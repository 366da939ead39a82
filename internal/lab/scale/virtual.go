//go:build go1.25

package scale

import (
	"flag"
	"testing"
	"testing/synctest"
	"time"
)

// RunVirtual carries out a run on a virtual clock and passes the result to handle. It needs a process of its own: package
// testing, which provides the clock, ends the process with an exit code that reports success or failure.
func RunVirtual(spec Spec, costs Costs, handle func(*Result, error)) error {
	testing.Init()
	flag.Parse() // testing needs parsed flags; no flags precede the subcommand
	began := time.Now()
	matchAll := func(string, string) (bool, error) { return true, nil }
	testing.Main(matchAll, []testing.InternalTest{{Name: spec.Name, F: func(t *testing.T) {
		var r *Result
		var err error
		synctest.Test(t, func(*testing.T) { r, err = Run(spec, costs) })
		if r != nil {
			r.WallSeconds = time.Since(began).Seconds()
		}
		handle(r, err)
	}}}, nil, nil)
	return nil
}
