package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"bramblestand/internal/lab"
)

// control measures the control traffic by number of servers and rate of requests.
func control(args []string) error {
	flags := flag.NewFlagSet("control", flag.ContinueOnError)
	out := flags.String("out", "lab-out", "folder for control.json and the logs")
	program := flags.String("sidecar", "bin/sidecar", "the sidecar's program")
	sidecars := flags.Int("sidecars", 1, "of each run, 1 to 300")
	servers := flags.String("servers", "6,60,240,960", "in the list, separated by commas, each 1 to 1000")
	rates := flags.String("rates", "0,0.1,1,47", "calls per second of a sidecar, separated by commas")
	prices := flags.String("prices", "1,0.0014", "of a probe, separated by commas: prices.probe of the settings, as fleet.probe_price")
	duration := flags.Duration("duration", 60*time.Second, "of a run, at least 20s: steady is from 15 s on")
	parallel := flags.Int("parallel", 1, "runs at a time; with 1, estimated bytes are compared with the kernel's in rows without calls")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if flags.NArg() > 0 {
		return fmt.Errorf("control takes flags alone\n%s", usage)
	}
	if *duration < 20*time.Second || *duration > time.Hour {
		return fmt.Errorf("-duration: %v is not within 20s to 1h", *duration)
	}
	if *parallel < 1 || *parallel > 64 {
		return fmt.Errorf("-parallel: %d is not within 1 to 64", *parallel)
	}
	var listed []int
	for _, text := range strings.Split(*servers, ",") {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > 1000 {
			return fmt.Errorf("-servers: %q is not within 1 to 1000", text)
		}
		listed = append(listed, n)
	}
	calls, err := numbers("-rates", *rates)
	if err != nil {
		return err
	}
	each, err := numbers("-prices", *prices)
	if err != nil {
		return err
	}
	if slices.Contains(each, 0) {
		return fmt.Errorf("-prices: 0 means the lab's default, which is 1")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	table, err := lab.MeasureControl(ctx, *program, filepath.Join(*out, "logs"), *sidecars, listed, calls, each, *duration, *parallel,
		func(line string) { fmt.Fprintln(os.Stderr, line) })
	if err != nil {
		return err
	}
	fmt.Print(table.Table())
	if err := lab.WriteJSON(filepath.Join(*out, "control.json"), table); err != nil {
		return err
	}
	if n := table.Breaches(); n > 0 {
		return breachError(n)
	}
	return nil
}

// numbers parses numbers separated by commas; the error names the flag.
func numbers(name, text string) (all []float64, err error) {
	for _, part := range strings.Split(text, ",") {
		v, err := strconv.ParseFloat(part, 64)
		if err != nil || !(v >= 0 && v <= 10_000) {
			return nil, fmt.Errorf("%s: %q is not within 0 to 10000", name, part)
		}
		all = append(all, v)
	}
	return all, nil
}
