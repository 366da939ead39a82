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

// control measures the control traffic of sidecars for each combination of number of servers, call rate and probe price.
func control(args []string) error {
	flags := flag.NewFlagSet("control", flag.ContinueOnError)
	out := flags.String("out", "lab-out", "folder for control.json and the logs")
	program := flags.String("sidecar", "bin/sidecar", "the sidecar's program")
	sidecars := flags.Int("sidecars", 1, "sidecars in each run, 1 to 300")
	servers := flags.String("servers", "6,60,240,960", "numbers of servers in the list, separated by commas, each 1 to 1000")
	rates := flags.String("rates", "0,0.1,1,47", "calls per second to each sidecar, separated by commas")
	prices := flags.String("prices", "1,0.0014", "prices of a load probe (prices.probe of the settings), separated by commas, each above 0")
	duration := flags.Duration("duration", 60*time.Second, "duration of a run, 20s to 1h; the steady state is measured from 15 s on")
	parallel := flags.Int("parallel", 1, "runs at a time; with 1, rows without calls compare the estimated bytes with the kernel's count")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if flags.NArg() > 0 {
		return fmt.Errorf("control takes only flags, no arguments\n%s", usage)
	}
	if *duration < 20*time.Second || *duration > time.Hour {
		return fmt.Errorf("-duration: %v is not within 20s to 1h", *duration)
	}
	if *parallel < 1 || *parallel > 64 {
		return fmt.Errorf("-parallel: %d is not within 1 to 64", *parallel)
	}
	var serverCounts []int
	for _, text := range strings.Split(*servers, ",") {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > 1000 {
			return fmt.Errorf("-servers: %q is not within 1 to 1000", text)
		}
		serverCounts = append(serverCounts, n)
	}
	callRates, err := numbers("-rates", *rates)
	if err != nil {
		return err
	}
	probePrices, err := numbers("-prices", *prices)
	if err != nil {
		return err
	}
	if slices.Contains(probePrices, 0) {
		return fmt.Errorf("-prices: 0 is not a price: fleet.probe_price = 0 selects the default, 1")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	table, err := lab.MeasureControl(ctx, *program, filepath.Join(*out, "logs"), *sidecars, serverCounts, callRates, probePrices, *duration, *parallel,
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

// numbers parses numbers from 0 to 10000 that are separated by commas. Errors begin with name, the flag that holds them.
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
