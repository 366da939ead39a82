package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"bramblestand/internal/lab"
)

// latency measures the latency that one sidecar adds to a call, for each call rate.
func latency(args []string) error {
	flags := flag.NewFlagSet("latency", flag.ContinueOnError)
	out := flags.String("out", "lab-out", "folder for latency.json and the logs")
	program := flags.String("sidecar", "bin/sidecar", "the sidecar's program")
	rates := flags.String("rates", "47,200", "calls per second on each path (direct and through the sidecar), separated by commas")
	var o lab.LatencyOptions
	flags.IntVar(&o.Servers, "servers", 6, "servers, 1 to 1000")
	flags.IntVar(&o.Runs, "plays", 10, "runs of each rate, 1 to 100")
	flags.DurationVar(&o.Warmup, "warm", 2*time.Second, "time at the start of each run that is not measured")
	flags.DurationVar(&o.Duration, "duration", 15*time.Second, "time of each run that is measured, 100ms to 10m")
	flags.Float64Var(&o.ProbePrice, "price", 1, "price of a load probe (prices.probe of the settings)")
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of the first run")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if flags.NArg() > 0 {
		return fmt.Errorf("latency takes only flags, no arguments\n%s", usage)
	}
	parsedRates, err := numbers("-rates", *rates)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var results []*lab.Latency
	for _, rate := range parsedRates {
		o.Rate = rate
		result, err := lab.MeasureLatency(ctx, *program, filepath.Join(*out, "logs"), o, func(line string) { fmt.Fprintln(os.Stderr, line) })
		if err != nil {
			return fmt.Errorf("-%w", err) // the error begins with the name of the flag
		}
		fmt.Print(result.Table())
		results = append(results, result)
	}
	return lab.WriteJSON(filepath.Join(*out, "latency.json"), results)
}
