// Command simadapter hosts balancers behind the simulator's wire: it reads batches of events from standard input and writes
// one reply for each to standard output, until input ends.
//
// It takes no flags. The exit code is 0 at the end of input and 1 if the input is malformed or output cannot be written;
// the reason is then the last line on standard error. A balancer that panics or is given settings that it cannot use is
// reported on the wire instead, which ends the simulator's run.
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

	// gcPercent makes collections rare: almost nothing is allocated once the instances have started.
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
