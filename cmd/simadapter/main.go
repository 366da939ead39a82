// Command simadapter runs balancers for the simulator: it reads batches of events from standard input and writes one reply
// for each batch to standard output, until the input ends. See internal/simwire for the format.
//
// It takes no flags. The exit code is 0 at the end of input, and 1 if the input is malformed or output cannot be written; in
// that case the last line on standard error gives the reason. If a balancer panics or its settings are not valid, the
// adapter reports that on the wire instead, which ends the simulator's run.
package main

import (
	"bufio"
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"
)

const (
	inputBufferSize = 1 << 18

	// gcPercent makes garbage collections rare. Almost nothing is allocated once the instances have started.
	gcPercent = 400
)

func main() {
	debug.SetGCPercent(gcPercent)
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	if err := run(bufio.NewReaderSize(os.Stdin, inputBufferSize), os.Stdout, log); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
