package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"bramblestand/internal/lab"
	"bramblestand/internal/lab/soak"
)

// soakTotals is the sum of the reports of several runs.
type soakTotals struct {
	runs, requests, unread, cut, unclear, killed, breaches int
}

func (t *soakTotals) add(report *soak.Report) {
	t.runs++
	for _, n := range report.Outcomes {
		t.requests += n
	}
	t.unread += report.Unread
	t.cut += report.Cut
	t.unclear += len(report.Unclear)
	t.killed += report.Killed
	t.breaches += len(report.Breaches)
}

// soakRuns runs the scenarios of consecutive seeds.
func soakRuns(args []string) error {
	flags := flag.NewFlagSet("soak", flag.ContinueOnError)
	out := flags.String("out", "lab-out", "folder for the sidecars' logs, by seed")
	program := flags.String("sidecar", "bin/sidecar", "the sidecar's program")
	seeds := flags.Int("seeds", 10, "number of scenarios, one for each seed")
	first := flags.Uint64("first", 1, "the first seed")
	limit := flags.Duration("for", 0, "time after which no further run begins; 0 for no limit")
	parallel := flags.Int("parallel", 2, "runs at a time")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if *seeds < 1 || *seeds > 100_000 || *parallel < 1 || *parallel > 64 {
		return fmt.Errorf("-seeds %d or -parallel %d is out of range", *seeds, *parallel)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	start := time.Now()
	var mu sync.Mutex // guards totals, firstErr and the output
	var totals soakTotals
	var firstErr error
	lab.ForEach(*seeds, *parallel, func(n int) {
		if ctx.Err() != nil || *limit > 0 && time.Since(start) > *limit {
			return
		}
		seed := *first + uint64(n)
		report, err := soakOnce(ctx, *program, seed, filepath.Join(*out, fmt.Sprintf("seed-%d", seed)))
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			firstErr = fmt.Errorf("seed %d: %w", seed, err)
			stop()
			return
		}
		fmt.Println(report)
		totals.add(report)
	})
	fmt.Printf("%d runs, %d requests: unread %d, cut %d, unclear %d, processes killed %d, breaches %d\n",
		totals.runs, totals.requests, totals.unread, totals.cut, totals.unclear, totals.killed, totals.breaches)
	if firstErr == nil && totals.breaches > 0 {
		return breachError(totals.breaches)
	}
	return firstErr
}

// soakOnce runs the scenario of one seed. The sidecars' logs go to folder.
func soakOnce(ctx context.Context, program string, seed uint64, folder string) (*soak.Report, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, err
	}
	return soak.Run(ctx, program, soak.Draw(seed), folder)
}
