// Command faultlab runs experiments on many real sidecars with fake servers, a
// fake discovery service and faults between them.
//
//	faultlab run [-out DIR] [-sidecar PATH] [-repeat N] EXPERIMENT.toml   writes DIR/result.json, DIR/plot.png, DIR/logs/
//	faultlab search [-seeds N] [-for D] EXPERIMENT.toml                     draws faults, keeps and shrinks what breaks a rule
//	faultlab report [-plot FILE] RESULT.json                                prints a result, and plots it again
//	faultlab compare A.json B.json                                          two results, or repeats, side by side
//	faultlab chain [-levels N] [-fails S,S]                                 attempts over services in a row, DIR/chain.json
//	faultlab latency [-rates R,R] [-plays N]                                the latency that a sidecar adds to a call, DIR/latency.json
//	faultlab control [-servers N,N] [-rates R,R]                            the control traffic, DIR/control.json
//	faultlab soak [-seeds N] [-first SEED] [-for D]                         ends sidecars under use, by the platform's rules
//	faultlab scale [-out DIR] [-rungs N,N]                                  fleets of hollow sidecars up to 1,920, see docs/design-scale.md
//	faultlab scale -agree [-out DIR]                                        hollow sidecars held against real processes
//
// run, search and soak exit 1 on a bad experiment or a failed start, and 3 when a
// rule was broken (lost, forged, run twice, sent after a drain or a ban, a
// check that the history violates).
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
	case "scale-rung": // for scale's own use
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

// breachError is the number of breaches of the rules, which main maps to an exit code of its own.
type breachError int

// Error says how many rules were broken.
func (b breachError) Error() string { return fmt.Sprintf("%d breaches of the rules", int(b)) }

// load reads an experiment; program, where not empty, overrides its sidecar.
func load(flags *flag.FlagSet, program string) (*lab.Experiment, error) {
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

// run runs an experiment, once or with several seeds.
func run(args []string) error {
	flags := flag.NewFlagSet("run", flag.ContinueOnError)
	out := flags.String("out", "lab-out", "folder for the result, the plot and the logs")
	program := flags.String("sidecar", "", "the sidecar's program; overrides the experiment's")
	state := flags.String("state", "", `"on" or "off": whether sidecars persist state; overrides the experiment's fleet.state`)
	view := flags.String("view", "", `"on" or "off": whether sidecars maintain a membership view; overrides the experiment's fleet.view`)
	parallel := flags.Int("parallel", 1, "runs at a time, of those of -repeat")
	repeat := flags.Int("repeat", 1, "runs, with consecutive seeds; figures as distributions in DIR/repeat.json")
	if err := flags.Parse(args); err != nil {
		return err
	}
	exp, err := load(flags, *program)
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

// runAll runs an experiment with repeat consecutive seeds, parallel at a time. None begins after ctx's end or an
// error. It returns the results of those that ended.
func runAll(ctx context.Context, exp *lab.Experiment, out string, repeat, parallel int) ([]*lab.Result, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	results, errs := make([]*lab.Result, repeat), make([]error, repeat)
	lab.ForEach(repeat, parallel, func(n int) {
		if ctx.Err() != nil {
			return
		}
		one, folder := *exp, out
		if repeat > 1 {
			one.Seed += uint64(n)
			folder = filepath.Join(out, fmt.Sprintf("run-%d", n))
		}
		result, err := runOnce(ctx, &one, folder)
		switch {
		case ctx.Err() != nil && repeat > 1: // cut short
			return
		case err != nil:
			errs[n] = err
			stop()
			return
		}
		if results[n] = result; repeat > 1 {
			fmt.Fprintf(os.Stderr, "run %d of %d, seed %d: %d breaches\n", n+1, repeat, one.Seed, result.Breaches())
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

// runExperiment runs an experiment, with the lab's own log beside the sidecars'.
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

// search looks for schedules of faults that break a rule.
func search(args []string) error {
	flags := flag.NewFlagSet("search", flag.ContinueOnError)
	out := flags.String("out", "lab-out", "folder for search.json and, by seed, what broke a rule")
	program := flags.String("sidecar", "", "the sidecar's program; overrides the experiment's")
	var o lab.SearchOptions
	flags.IntVar(&o.Seeds, "seeds", 20, "schedules to draw")
	flags.Uint64Var(&o.FirstSeed, "first", 1, "the first seed")
	flags.DurationVar(&o.MaxDuration, "for", 0, "no run begins later than this; 0 for no limit")
	flags.IntVar(&o.Parallel, "parallel", 3, "runs at a time")
	flags.Func("kinds", "kinds of faults to draw, separated by commas; default all that the experiment allows", func(text string) error {
		o.Kinds = strings.Split(text, ",")
		return nil
	})
	flags.IntVar(&o.MaxFindings, "stop", 0, "findings after which no more seeds are run; 0 for no limit")
	flags.IntVar(&o.Attempts, "tries", 2, "runs of a smaller schedule, one of which must break the same rule")
	if err := flags.Parse(args); err != nil {
		return err
	}
	exp, err := load(flags, *program)
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

// report prints a result, and plots it again.
func report(args []string) error {
	flags := flag.NewFlagSet("report", flag.ContinueOnError)
	plotPath := flags.String("plot", "", "file for the plot (PNG)")
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
