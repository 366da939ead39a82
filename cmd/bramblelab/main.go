// Command bramblelab runs experiments on many real sidecars with stand-in pin
// servers, stand-in discovery and faults between them.
//
//	bramblelab run [-out DIR] [-sidecar PATH] EXPERIMENT.toml   writes DIR/result.json, DIR/plot.png, DIR/logs/
//	bramblelab report [-plot FILE] RESULT.json                    prints a result, and plots it again
//
// run exits 1 on a bad experiment or a failed start, and 3 when the result
// breaks a rule (lost, forged, run twice, sent after a drain).
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"peatpost/internal/lab"
)

const usage = `usage:
  bramblelab run [-out DIR] [-sidecar PATH] EXPERIMENT.toml
  bramblelab report [-plot FILE] RESULT.json`

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, usage)
		os.Exit(2)
	}
	var err error
	switch os.Args[1] {
	case "run":
		err = run(os.Args[2:])
	case "report":
		err = report(os.Args[2:])
	default:
		err = fmt.Errorf("%q is not a subcommand\n%s", os.Args[1], usage)
	}
	var breach breachError
	switch {
	case errors.As(err, &breach):
		fmt.Fprintln(os.Stderr, err)
		os.Exit(3)
	case err != nil:
		fmt.Fprintln(os.Stderr, "bramblelab:", err)
		os.Exit(1)
	}
}

type breachError int

func (b breachError) Error() string { return fmt.Sprintf("%d breaches of the rules", int(b)) }

func run(args []string) error {
	flags := flag.NewFlagSet("run", flag.ContinueOnError)
	out := flags.String("out", "lab-out", "folder for the result, the plot and the logs")
	program := flags.String("sidecar", "", "the sidecar's program; overrides the experiment's")
	keep := flags.String("state", "", `"on" or "off": whether sidecars keep state; overrides the experiment's fleet.state`)
	if err := flags.Parse(args); err != nil {
		return err
	}
	if flags.NArg() != 1 {
		return fmt.Errorf("run takes one experiment file\n%s", usage)
	}
	text, err := os.ReadFile(flags.Arg(0))
	if err != nil {
		return err
	}
	exp, err := lab.Parse(flags.Arg(0), text)
	if err != nil {
		return err
	}
	if *program != "" {
		exp.Sidecar = *program
	}
	switch *keep {
	case "":
	case "on", "off":
		exp.Fleet.State = *keep == "on"
	default:
		return fmt.Errorf("-state: %q is neither on nor off", *keep)
	}
	logs := filepath.Join(*out, "logs")
	if err := os.MkdirAll(logs, 0o755); err != nil {
		return err
	}
	labLog, err := os.Create(filepath.Join(logs, "lab.log"))
	if err != nil {
		return err
	}
	defer labLog.Close()
	log := slog.New(slog.NewJSONHandler(labLog, nil)).With("lab", exp.Name)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	result, err := lab.Run(ctx, exp, exp.Sidecar, logs, log)
	if err != nil {
		return err
	}
	if err := lab.MergeLogs(logs, filepath.Join(*out, "merged.jsonl")); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(*out, "result.json"))
	if err != nil {
		return err
	}
	if err := result.Write(file); err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	if err := result.Plot(filepath.Join(*out, "plot.png")); err != nil {
		return err
	}
	fmt.Print(result.Summary())
	if n := result.Breaches(); n > 0 {
		return breachError(n)
	}
	return nil
}

func report(args []string) error {
	flags := flag.NewFlagSet("report", flag.ContinueOnError)
	plotPath := flags.String("plot", "", "where to draw the plot again (PNG)")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if flags.NArg() != 1 {
		return fmt.Errorf("report takes one result file\n%s", usage)
	}
	result, err := lab.ReadResult(flags.Arg(0))
	if err != nil {
		return err
	}
	fmt.Print(result.Summary())
	if *plotPath != "" {
		return result.Plot(*plotPath)
	}
	return nil
}
