// Command faultlab runs experiments on sidecars, with fake servers, a fake
// discovery service and injected faults.
//
//	faultlab run [-out DIR] [-sidecar PATH] [-repeat N] EXPERIMENT.toml   writes DIR/result.json, DIR/plot.png, DIR/logs/
//	faultlab search [-seeds N] [-for D] EXPERIMENT.toml                     draws faults; saves and shrinks schedules that break a rule
//	faultlab report [-plot FILE] RESULT.json                                prints a result, and can plot it again
//	faultlab compare A.json B.json                                          prints two results, or two sets of repeats, side by side
//	faultlab chain [-levels N] [-fails S,S]                                 attempts across a chain of services; writes DIR/chain.json
//	faultlab latency [-rates R,R] [-plays N]                                latency that a sidecar adds to a call; writes DIR/latency.json
//	faultlab control [-servers N,N] [-rates R,R]                            control traffic of sidecars; writes DIR/control.json
//	faultlab soak [-seeds N] [-first SEED] [-for D]                         terminates sidecars under load and checks the platform's rules
//	faultlab scale [-out DIR] [-rungs N,N]                                  fleets of hollow sidecars up to 1,920, see docs/design-scale.md
//	faultlab scale -agree [-out DIR]                                        compares hollow sidecars with real processes
//
// The exit code is 1 for an invalid argument or experiment or a failed run, and 2
// without a subcommand. run, search, control, chain and soak exit with 3 when a
// rule was broken: for instance, a request was lost, got a forged response, ran
// twice or was sent after a drain or a ban, or the history violates a check.
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
	"slices"
	"strings"
	"syscall"

	"bramblestand/internal/lab"
)

const usage = `usage:
  faultlab run [-out DIR] [-sidecar PATH] [-state on|off] [-view on|off] [-repeat N] [-parallel P] EXPERIMENT.toml
  faultlab search [-out DIR] [-sidecar PATH] [-seeds N] [-first SEED] [-for D] [-parallel P] [-tries K] [-stop N] [-kinds K,K] EXPERIMENT.toml
  faultlab report [-plot FILE] RESULT.json
  faultlab compare A.json B.json
  faultlab chain [-out DIR] [-levels N] [-size N] [-rate R] [-fails S,S] [-deadline D] [-for D] [-plain N,N] [-plain-rate R] [-parallel P] [-seed N]
  faultlab latency [-out DIR] [-sidecar PATH] [-servers N] [-rates R,R] [-plays N] [-warm D] [-duration D] [-price P] [-seed N]
  faultlab control [-out DIR] [-sidecar PATH] [-sidecars N] [-servers N,N] [-rates R,R] [-prices P,P] [-duration D] [-parallel P]
  faultlab soak [-out DIR] -sidecar PATH [-seeds N] [-first SEED] [-for D] [-parallel P]
  faultlab scale [-out DIR] [-rungs N,N] [-only KIND,KIND] [-parallel P]
  faultlab scale -agree [-out DIR] [-seeds N,N] [-sidecar PATH]`

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, usage)
		os.Exit(2)
	}
	var err error
	switch os.Args[1] {
	case "run":
		err = run(os.Args[2:])
	case "search":
		err = search(os.Args[2:])
	case "report":
		err = report(os.Args[2:])
	case "compare":
		err = compare(os.Args[2:])
	case "chain":
		err = chain(os.Args[2:])
	case "latency":
		err = latency(os.Args[2:])
	case "control":
		err = control(os.Args[2:])
	case "soak":
		err = soakRuns(os.Args[2:])
	case "scale":
		err = scaleRun(os.Args[2:])
	case "scale-rung": // internal: scale starts it in child processes
		err = scaleRung(os.Args[2:])
	default:
		err = fmt.Errorf("%q is not a subcommand\n%s", os.Args[1], usage)
	}
	var breach breachError
	switch {
	case errors.As(err, &breach):
		fmt.Fprintln(os.Stderr, err)
		os.Exit(3)
	case err != nil:
		fmt.Fprintln(os.Stderr, "faultlab:", err)
		os.Exit(1)
	}
}

// breachError is the number of breaches of the rules. main exits with 3 on it.
type breachError int

// Error returns the number of breaches as text.
func (b breachError) Error() string { return fmt.Sprintf("%d breaches of the rules", int(b)) }

// loadExperiment reads the experiment file that the flags' only argument names. Unless empty, program overrides the experiment's sidecar.
func loadExperiment(flags *flag.FlagSet, program string) (*lab.Experiment, error) {
	if flags.NArg() != 1 {
		return nil, fmt.Errorf("%s takes one experiment file\n%s", flags.Name(), usage)
	}
	text, err := os.ReadFile(flags.Arg(0))
	if err != nil {
		return nil, err
	}
	exp, err := lab.Parse(flags.Arg(0), text)
	if err == nil && program != "" {
		exp.Sidecar = program
	}
	return exp, err
}

// run runs an experiment once, or several times with consecutive seeds.
func run(args []string) error {
	flags := flag.NewFlagSet("run", flag.ContinueOnError)
	out := flags.String("out", "lab-out", "folder for the result, the plot and the logs")
	program := flags.String("sidecar", "", "the sidecar's program; overrides the experiment's sidecar")
	state := flags.String("state", "", `"on" or "off": whether sidecars persist state; overrides the experiment's fleet.state`)
	view := flags.String("view", "", `"on" or "off": whether sidecars maintain a membership view; overrides the experiment's fleet.view`)
	parallel := flags.Int("parallel", 1, "how many runs of -repeat run at a time")
	repeat := flags.Int("repeat", 1, "number of runs, with consecutive seeds; above 1, DIR/repeat.json has the distributions of their figures")
	if err := flags.Parse(args); err != nil {
		return err
	}
	exp, err := loadExperiment(flags, *program)
	if err != nil {
		return err
	}
	for _, o := range []struct {
		name, value string
		into        *bool
	}{{"state", *state, &exp.Fleet.State}, {"view", *view, &exp.Fleet.View}} {
		switch o.value {
		case "":
		case "on", "off":
			*o.into = o.value == "on"
		default:
			return fmt.Errorf("-%s: %q is neither on nor off", o.name, o.value)
		}
	}
	if *repeat < 1 || *repeat > 1000 || *parallel < 1 || *parallel > 64 {
		return fmt.Errorf("-repeat %d or -parallel %d is out of range", *repeat, *parallel)
	}
	if err := exp.CheckDescriptors(min(*repeat, *parallel)); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	results, err := runAll(ctx, exp, *out, *repeat, *parallel)
	if err != nil {
		return err
	}
	breaches := 0
	for _, r := range results {
		breaches += r.Breaches()
	}
	if *repeat > 1 && len(results) > 0 {
		repeated := lab.Repeat(results)
		if err := lab.WriteJSON(filepath.Join(*out, "repeat.json"), repeated); err != nil {
			return err
		}
		fmt.Print(repeated.Table())
	} else if len(results) > 0 {
		fmt.Print(results[0].Summary())
	}
	if breaches > 0 {
		return breachError(breaches)
	}
	return nil
}

// runAll runs an experiment with repeat consecutive seeds, parallel of them at a time. No run begins after ctx has ended
// or another run has failed. It returns the results of the completed runs.
func runAll(ctx context.Context, exp *lab.Experiment, out string, repeat, parallel int) ([]*lab.Result, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	results, errs := make([]*lab.Result, repeat), make([]error, repeat)
	lab.ForEach(repeat, parallel, func(n int) {
		if ctx.Err() != nil {
			return
		}
		experiment, folder := *exp, out
		if repeat > 1 {
			experiment.Seed += uint64(n)
			folder = filepath.Join(out, fmt.Sprintf("run-%d", n))
		}
		result, err := runOnce(ctx, &experiment, folder)
		switch {
		case ctx.Err() != nil && repeat > 1: // interrupted: has no complete result
			return
		case err != nil:
			errs[n] = err
			stop()
			return
		}
		if results[n] = result; repeat > 1 {
			fmt.Fprintf(os.Stderr, "run %d of %d, seed %d: %d breaches\n", n+1, repeat, experiment.Seed, result.Breaches())
		}
	})
	return slices.DeleteFunc(results, func(r *lab.Result) bool { return r == nil }), errors.Join(errs...)
}

// runOnce runs an experiment and writes its result, plot and merged log into folder.
func runOnce(ctx context.Context, exp *lab.Experiment, folder string) (*lab.Result, error) {
	logs := filepath.Join(folder, "logs")
	result, err := runExperiment(ctx, exp, logs)
	if err != nil {
		return nil, err
	}
	if err := lab.MergeLogs(logs, filepath.Join(folder, "merged.jsonl")); err != nil {
		return nil, err
	}
	if err := lab.WriteJSON(filepath.Join(folder, "result.json"), result); err != nil {
		return nil, err
	}
	return result, result.Plot(filepath.Join(folder, "plot.png"))
}

// runExperiment runs an experiment. The lab's own log, lab.log, goes to the folder of the sidecars' logs.
func runExperiment(ctx context.Context, exp *lab.Experiment, logs string) (*lab.Result, error) {
	if err := os.MkdirAll(logs, 0o755); err != nil {
		return nil, err
	}
	labLog, err := os.Create(filepath.Join(logs, "lab.log"))
	if err != nil {
		return nil, err
	}
	defer labLog.Close()
	return lab.Run(ctx, exp, exp.Sidecar, logs, slog.New(slog.NewJSONHandler(labLog, nil)).With("lab", exp.Name))
}

// search draws schedules of faults and runs them to find those that break a rule.
func search(args []string) error {
	flags := flag.NewFlagSet("search", flag.ContinueOnError)
	out := flags.String("out", "lab-out", "folder for search.json and, by seed, the schedules that broke a rule")
	program := flags.String("sidecar", "", "the sidecar's program; overrides the experiment's sidecar")
	var o lab.SearchOptions
	flags.IntVar(&o.Seeds, "seeds", 20, "number of schedules to draw, one for each seed")
	flags.Uint64Var(&o.FirstSeed, "first", 1, "the first seed")
	flags.DurationVar(&o.MaxDuration, "for", 0, "time after which no further run begins; 0 for no limit")
	flags.IntVar(&o.Parallel, "parallel", 3, "runs at a time")
	flags.Func("kinds", "kinds of faults to draw, separated by commas (default: all that the experiment allows)", func(text string) error {
		o.Kinds = strings.Split(text, ",")
		return nil
	})
	flags.IntVar(&o.MaxFindings, "stop", 0, "number of findings after which no further seed is run; 0 for no limit")
	flags.IntVar(&o.Attempts, "tries", 2, "number of runs of each smaller schedule; it is accepted if one of them breaks the same rule")
	if err := flags.Parse(args); err != nil {
		return err
	}
	exp, err := loadExperiment(flags, *program)
	if err != nil {
		return err
	}
	if o.Seeds < 1 || o.Seeds > 100_000 || o.Parallel < 1 || o.Parallel > 64 || o.Attempts < 1 {
		return fmt.Errorf("-seeds %d, -parallel %d or -tries %d is out of range", o.Seeds, o.Parallel, o.Attempts)
	}
	if err := exp.CheckDescriptors(min(o.Seeds, o.Parallel)); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	report, err := lab.Search(ctx, exp, o, runExperiment, *out, func(line string) { fmt.Fprintln(os.Stderr, line) })
	if err != nil {
		return err
	}
	fmt.Print(report.Summary())
	if n := len(report.Findings); n > 0 {
		return breachError(n)
	}
	return nil
}

// compare prints two results side by side.
func compare(args []string) error {
	if len(args) != 2 {
		return fmt.Errorf("compare takes two result files\n%s", usage)
	}
	a, err := lab.ReadRepeated(args[0])
	if err != nil {
		return err
	}
	b, err := lab.ReadRepeated(args[1])
	if err != nil {
		return err
	}
	fmt.Print(lab.Compare(a, b))
	return nil
}

// report prints a result and, with -plot, plots it.
func report(args []string) error {
	flags := flag.NewFlagSet("report", flag.ContinueOnError)
	plotPath := flags.String("plot", "", "file to write the plot to (PNG)")
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
