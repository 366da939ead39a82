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

// scaleFlags are what scale takes.
type scaleFlags struct {
	out, only, sidecar string
	rungs              []int
	seeds              []uint64
	places             int
	agree, kept        bool
}

func parseScale(args []string) (o scaleFlags, err error) {
	o.rungs, o.seeds = []int{60, 120, 240, 480, 960, 1920}, []uint64{1, 2, 3}
	flags := flag.NewFlagSet("scale", flag.ContinueOnError)
	flags.StringVar(&o.out, "out", "scale-out", "folder for the results and the plot")
	flags.StringVar(&o.only, "only", "", "only rungs of these kinds, by commas: rest, quiet, load, probing, news, view, restarts, tenth, rack, zone, apart")
	flags.IntVar(&o.places, "parallel", runtime.NumCPU(), "rungs at a time")
	flags.BoolVar(&o.agree, "agree", false, "hold hollow sidecars against real processes in place of the ladder")
	flags.BoolVar(&o.kept, "kept", false, "of -agree, play nothing real: take what the folder holds of earlier goes")
	flags.StringVar(&o.sidecar, "sidecar", "bin/sidecar", "the real sidecar's program, for -agree")
	flags.Func("rungs", "sizes of the ladder's rungs, by commas (default 60,120,240,480,960,1920)", func(text string) error {
		o.rungs = nil
		for _, word := range strings.Split(text, ",") {
			n, err := strconv.Atoi(word)
			if err != nil || n < 2*scale.ServiceSize || n > scale.MaxMachines || n%scale.ServiceSize != 0 {
				return fmt.Errorf("%q is not a multiple of %d within %d to %d", word, scale.ServiceSize, 2*scale.ServiceSize, scale.MaxMachines)
			}
			o.rungs = append(o.rungs, n)
		}
		return nil
	})
	flags.Func("seeds", "seeds of each row of -agree, by commas (default 1,2,3)", func(text string) error {
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
	case o.places < 1 || o.places > 64:
		err = fmt.Errorf("-parallel %d is out of range", o.places)
	}
	return o, err
}

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
	say := func(line string) { fmt.Fprintln(os.Stderr, line) }
	if o.agree {
		a, err := scale.CheckAgreement(ctx, program, o.sidecar, o.seeds, o.kept, o.out, say)
		if err != nil {
			return err
		}
		fmt.Print(a.Table())
		return lab.WriteJSON(filepath.Join(o.out, "scale-agreement.json"), a)
	}
	specs := scale.SweepSpecs(o.rungs)
	if o.only != "" {
		kinds := strings.Split(o.only, ",")
		for _, k := range kinds {
			if !slices.ContainsFunc(specs, func(s scale.Spec) bool { return kindOf(s) == k }) {
				return fmt.Errorf("-only: %q is no kind of these rungs", k)
			}
		}
		specs = slices.DeleteFunc(specs, func(s scale.Spec) bool { return !slices.Contains(kinds, kindOf(s)) })
	}
	l, failed := scale.Sweep(ctx, program, specs, scale.MeasuredCosts, o.places, filepath.Join(o.out, "rungs"), say)
	l.Command = fmt.Sprintf("faultlab scale -rungs %s -only %q -parallel %d", strings.Trim(fmt.Sprint(o.rungs), "[]"), o.only, o.places)
	fmt.Print(l.Table())
	return errors.Join(failed, lab.WriteJSON(filepath.Join(o.out, "scale.json"), l), l.Plot(filepath.Join(o.out, "scale.png")))
}

// kindOf is the first word of a rung's name.
func kindOf(s scale.Spec) string { kind, _, _ := strings.Cut(s.Name, "-"); return kind }

// scaleRung plays one rung, as scale has a process of its own do it: the order comes on standard input, the result goes
// to the file named.
func scaleRung(args []string) error {
	if len(args) != 1 {
		return errors.New("scale-rung is scale's own: it takes the file for its result, and its order on standard input")
	}
	var order scale.RunRequest
	if err := json.NewDecoder(os.Stdin).Decode(&order); err != nil {
		return fmt.Errorf("scale-rung: %w", err)
	}
	return scale.RunVirtual(order.Spec, order.Costs, func(r *scale.Result, err error) {
		if err == nil {
			err = lab.WriteJSON(args[0], r)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "faultlab:", order.Spec.Name+":", err)
			os.Exit(1)
		}
	})
}
