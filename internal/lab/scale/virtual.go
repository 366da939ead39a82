//go:build go1.25

package scale

import (
	"flag"
	"testing"
	"testing/synctest"
	"time"
)

// Virtual plays a rung on a virtual clock. It needs a program of its own: testing's machinery gives the clock, ends the
// program, and tells by its code whether all went well. What the rung came to is handed to take.
func RunVirtual(spec Spec, costs Costs, handle func(*Result, error)) error {
	testing.Init()
	flag.Parse() // what stands before the program's subcommand: nothing
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
