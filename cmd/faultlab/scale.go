package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"bramblestand/internal/lab"
	"bramblestand/internal/lab/scale"
)

// scaleFlags are the flags of scale.
type scaleFlags struct {
	out, only, sidecar string
	sizes              []int
	seeds              []uint64
	parallel           int
	agree, reuseOnly   bool
}

// parseScale parses the flags of scale.
func parseScale(args []string) (o scaleFlags, err error) {
	o.sizes, o.seeds = []int{60, 120, 240, 480, 960, 1920}, []uint64{1, 2, 3}
	flags := flag.NewFlagSet("scale", flag.ContinueOnError)
	flags.StringVar(&o.out, "out", "scale-out", "folder for the results and the plot")
	flags.StringVar(&o.only, "only", "", "only runs of these kinds, separated by commas: rest, quiet, load, probing, news, view, restarts, tenth, rack, zone, apart")
	flags.IntVar(&o.parallel, "parallel", runtime.NumCPU(), "runs at a time, 1 to 64")
	flags.BoolVar(&o.agree, "agree", false, "compare hollow sidecars with real processes instead of the sweep over sizes")
	flags.BoolVar(&o.reuseOnly, "kept", false, "with -agree, start no real processes: use only the real results that are in the folder")
	flags.StringVar(&o.sidecar, "sidecar", "bin/sidecar", "program of the real sidecar, for -agree")
	flags.Func("rungs", "fleet sizes of the sweep, separated by commas (default 60,120,240,480,960,1920)", func(text string) error {
		o.sizes = nil
		for _, word := range strings.Split(text, ",") {
			n, err := strconv.Atoi(word)
			if err != nil || n < 2*scale.ServiceSize || n > scale.MaxMachines || n%scale.ServiceSize != 0 {
				return fmt.Errorf("%q is not a multiple of %d within %d to %d", word, scale.ServiceSize, 2*scale.ServiceSize, scale.MaxMachines)
			}
			o.sizes = append(o.sizes, n)
		}
		return nil
	})
	flags.Func("seeds", "seeds of each row of -agree, separated by commas (default 1,2,3)", func(text string) error {
		o.seeds = nil
		for _, word := range strings.Split(text, ",") {
			n, err := strconv.ParseUint(word, 10, 32)
			if err != nil {
				return fmt.Errorf("%q is not a whole number", word)
			}
			o.seeds = append(o.seeds, n)
		}
		return nil
	})
	if err = flags.Parse(args); err != nil {
		return o, err
	}
	switch {
	case flags.NArg() > 0:
		err = fmt.Errorf("scale: %q is not a flag", flags.Arg(0))
	case o.parallel < 1 || o.parallel > 64:
		err = fmt.Errorf("-parallel %d is not within 1 to 64", o.parallel)
	}
	return o, err
}

// scaleRun runs a sweep over fleet sizes or, with -agree, compares hollow sidecars with real processes.
func scaleRun(args []string) error {
	o, err := parseScale(args)
	if err != nil {
		return err
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	report := func(line string) { fmt.Fprintln(os.Stderr, line) }
	if o.agree {
		a, err := scale.CheckAgreement(ctx, program, o.sidecar, o.seeds, o.reuseOnly, o.out, report)
		if err != nil {
			return err
		}
		fmt.Print(a.Table())
		return lab.WriteJSON(filepath.Join(o.out, "scale-agreement.json"), a)
	}
	specs := scale.SweepSpecs(o.sizes)
	if o.only != "" {
		kinds := strings.Split(o.only, ",")
		for _, k := range kinds {
			if !slices.ContainsFunc(specs, func(s scale.Spec) bool { return runKind(s) == k }) {
				return fmt.Errorf("-only: %q is not a kind of these runs", k)
			}
		}
		specs = slices.DeleteFunc(specs, func(s scale.Spec) bool { return !slices.Contains(kinds, runKind(s)) })
	}
	result, runErr := scale.Sweep(ctx, program, specs, scale.MeasuredCosts, o.parallel, filepath.Join(o.out, "rungs"), report)
	result.Command = fmt.Sprintf("faultlab scale -rungs %s -only %q -parallel %d", strings.Trim(fmt.Sprint(o.sizes), "[]"), o.only, o.parallel)
	fmt.Print(result.Table())
	return errors.Join(runErr, lab.WriteJSON(filepath.Join(o.out, "scale.json"), result), result.Plot(filepath.Join(o.out, "scale.png")))
}

// runKind returns the kind of a run: the first word of its name.
func runKind(s scale.Spec) string { kind, _, _ := strings.Cut(s.Name, "-"); return kind }

// scaleRung is the child process of scale that carries out one run. It reads a scale.RunRequest from standard input and writes
// the result to the file that is its argument.
func scaleRung(args []string) error {
	if len(args) != 1 {
		return errors.New("scale-rung is internal to scale: it takes the file for its result, and the request on standard input")
	}
	var request scale.RunRequest
	if err := json.NewDecoder(os.Stdin).Decode(&request); err != nil {
		return fmt.Errorf("scale-rung: %w", err)
	}
	return scale.RunVirtual(request.Spec, request.Costs, func(r *scale.Result, err error) {
		if err == nil {
			err = lab.WriteJSON(args[0], r)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "faultlab:", request.Spec.Name+":", err)
			os.Exit(1)
		}
	})
}
