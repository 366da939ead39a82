package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"bramblestand/internal/lab"
	"bramblestand/internal/lab/scale"
)

// chainFile is what chain writes.
type chainFile struct {
	Chains []*scale.ChainResult `json:"chains"`
	// Naive is reckoned: attempts at the last level for each call of the edge where each level makes so many tries and
	// nothing else bounds them.
	Naive []naive `json:"naive"`
}

type naive struct {
	Tries    int     `json:"tries"`
	Fail     float64 `json:"fail"`
	Attempts float64 `json:"attempts_per_call"`
}

// chain plays chains of services with hollow sidecars, each in a process of its own for its virtual clock.
func chain(args []string) error {
	flags := flag.NewFlagSet("chain", flag.ContinueOnError)
	out := flags.String("out", "lab-out", "folder for chain.json")
	spec := scale.NewChain()
	flags.IntVar(&spec.Levels, "levels", spec.Levels, "services in a row, 1 to 12")
	flags.IntVar(&spec.Size, "size", spec.Size, "servers of each, and callers at the edge, 1 to 50")
	flags.Float64Var(&spec.Rate, "rate", spec.Rate, "calls a second of each caller")
	flags.DurationVar(&spec.Deadline.Duration, "deadline", spec.Deadline.Duration, "of a caller's call")
	flags.DurationVar(&spec.For.Duration, "for", spec.For.Duration, "with failures, the first 10s told apart")
	flags.Uint64Var(&spec.Seed, "seed", spec.Seed, "of all that is drawn")
	fails := flags.String("fails", "0,0.1,0.5,1", "shares that the last level fails, by commas")
	plain := flags.String("plain", "2,3", "tries of callers without sidecars, to compare with, by commas; empty for none")
	plainRate := flags.Float64("plain-rate", 5, "calls a second of each of those callers")
	parallel := flags.Int("parallel", 4, "chains at a time, 1 to 64")
	one := flags.String("one", "", "a chain as JSON, to play alone: how the command calls itself")
	into := flags.String("into", "", "where -one writes what came of it")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if flags.NArg() > 0 {
		return fmt.Errorf("chain takes flags alone\n%s", usage)
	}
	if *one != "" {
		return chainOne(*one, *into)
	}
	shares, err := numbers("-fails", *fails)
	if err != nil {
		return err
	}
	if *parallel < 1 || *parallel > 64 {
		return fmt.Errorf("-parallel: %d is not within 1 to 64", *parallel)
	}
	tries := []int{0}
	for _, text := range strings.Split(*plain, ",") {
		if text == "" {
			continue
		}
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > 5 {
			return fmt.Errorf("-plain: %q is not within 1 to 5", text)
		}
		tries = append(tries, n)
	}
	var specs []scale.Chain
	var file chainFile
	for _, n := range tries {
		for _, share := range shares {
			s := spec
			if s.Fail, s.Plain = share, n; n > 0 {
				s.Rate = *plainRate
				file.Naive = append(file.Naive, naive{n, share, scale.Naive(s.Levels, n, share)})
			}
			if err := s.Validate(); err != nil {
				return fmt.Errorf("-%w", err) // it names the flag
			}
			specs = append(specs, s)
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	file.Chains = make([]*scale.ChainResult, len(specs))
	errs := make([]error, len(specs))
	places := make(chan struct{}, *parallel)
	var playing sync.WaitGroup
	for i, s := range specs {
		playing.Add(1)
		places <- struct{}{}
		go func() {
			defer playing.Done()
			defer func() { <-places }()
			file.Chains[i], errs[i] = chainChild(ctx, s)
		}()
	}
	playing.Wait()
	broken := 0
	for i, err := range errs {
		if err != nil {
			return fmt.Errorf("fail %v, plain %d: %w", specs[i].Fail, specs[i].Plain, err)
		}
		broken += len(file.Chains[i].Broken)
	}
	fmt.Print(scale.ChainTable(file.Chains))
	for _, n := range file.Naive {
		fmt.Printf("reckoned, %d tries, %v fail: %.1f attempts at the last level for each call\n", n.Tries, n.Fail, n.Attempts)
	}
	if err := lab.WriteJSON(filepath.Join(*out, "chain.json"), file); err != nil {
		return err
	}
	if broken > 0 {
		return breachError(broken)
	}
	return nil
}

// chainChild plays a chain in a process of its own.
func chainChild(ctx context.Context, spec scale.Chain) (*scale.ChainResult, error) {
	text, err := json.Marshal(spec)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "chain")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	into := filepath.Join(folder, "chain.json")
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	child := exec.CommandContext(ctx, program, "chain", "-one", string(text), "-into", into)
	child.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	child.WaitDelay = time.Second
	if told, err := child.CombinedOutput(); err != nil {
		return nil, fmt.Errorf("%w: %s", err, told)
	}
	data, err := os.ReadFile(into)
	if err != nil {
		return nil, err
	}
	var r scale.ChainResult
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, err
	}
	return &r, nil
}

// chainOne plays a chain on a virtual clock, and ends the process.
func chainOne(text, into string) error {
	var spec scale.Chain
	if err := json.Unmarshal([]byte(text), &spec); err != nil {
		return fmt.Errorf("-one: %w", err)
	}
	return scale.VirtualChain(spec, func(r *scale.ChainResult, err error) {
		if err == nil {
			err = lab.WriteJSON(into, r)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "faultlab:", err)
			os.Exit(1)
		}
	})
}
