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
	"syscall"
	"time"

	"bramblestand/internal/lab"
	"bramblestand/internal/lab/scale"
)

// chainFile is the file that chain writes.
type chainFile struct {
	Chains []*scale.ChainResult `json:"chains"`
	// Naive is estimated: attempts at the last level for each call of the edge if each level makes a fixed number of
	// attempts, without a retry budget.
	Naive []naiveChain `json:"naive"`
}

// naiveChain is the estimate of one number of attempts and failure rate.
type naiveChain struct {
	Attempts          int     `json:"tries"` // of each level
	FailureRate       float64 `json:"fail"`
	LastLevelAttempts float64 `json:"attempts_per_call"`
}

// chainFlags are the flags of chain.
type chainFlags struct {
	out       string
	spec      scale.Chain
	fails     string
	plain     string
	plainRate float64
	parallel  int
	one, into string // of a child process, see runChainChild
}

// parseChain parses the flags of chain.
func parseChain(args []string) (o chainFlags, err error) {
	flags := flag.NewFlagSet("chain", flag.ContinueOnError)
	o.spec = scale.NewChain()
	flags.StringVar(&o.out, "out", "lab-out", "folder for chain.json")
	flags.IntVar(&o.spec.Levels, "levels", o.spec.Levels, "services in a row, 1 to 12")
	flags.IntVar(&o.spec.ServersPerLevel, "size", o.spec.ServersPerLevel, "servers of each, and callers at the edge, 1 to 50")
	flags.Float64Var(&o.spec.Rate, "rate", o.spec.Rate, "calls per second of each caller")
	flags.DurationVar(&o.spec.Deadline.Duration, "deadline", o.spec.Deadline.Duration, "of a caller's call")
	flags.DurationVar(&o.spec.FailureDuration.Duration, "for", o.spec.FailureDuration.Duration, "with failures, the first 10s reported separately")
	flags.Uint64Var(&o.spec.Seed, "seed", o.spec.Seed, "of all random numbers")
	flags.StringVar(&o.fails, "fails", "0,0.1,0.5,1", "failure rates of the last level, separated by commas")
	flags.StringVar(&o.plain, "plain", "2,3", "attempts of callers without sidecars, for comparison, separated by commas; empty for none")
	flags.Float64Var(&o.plainRate, "plain-rate", 5, "calls per second of each of those callers")
	flags.IntVar(&o.parallel, "parallel", 4, "chains at a time, 1 to 64")
	flags.StringVar(&o.one, "one", "", "one chain as JSON: how the command runs itself")
	flags.StringVar(&o.into, "into", "", "file for the result of -one")
	if err := flags.Parse(args); err != nil {
		return o, err
	}
	if flags.NArg() > 0 {
		return o, fmt.Errorf("chain takes flags alone\n%s", usage)
	}
	if o.parallel < 1 || o.parallel > 64 {
		return o, fmt.Errorf("-parallel: %d is not within 1 to 64", o.parallel)
	}
	return o, nil
}

// specs returns the chains to run: with sidecars, and with callers that make so many attempts without.
func (o *chainFlags) specs() (specs []scale.Chain, naive []naiveChain, err error) {
	failureRates, err := numbers("-fails", o.fails)
	if err != nil {
		return nil, nil, err
	}
	attempts := []int{0} // 0 with sidecars
	for _, text := range strings.Split(o.plain, ",") {
		if text == "" {
			continue
		}
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > 5 {
			return nil, nil, fmt.Errorf("-plain: %q is not within 1 to 5", text)
		}
		attempts = append(attempts, n)
	}
	for _, n := range attempts {
		for _, failureRate := range failureRates {
			s := o.spec
			if s.FailureRate, s.PlainAttempts = failureRate, n; n > 0 {
				s.Rate = o.plainRate
				naive = append(naive, naiveChain{n, failureRate, scale.NaiveAttemptsPerCall(s.Levels, n, failureRate)})
			}
			if err := s.Validate(); err != nil {
				return nil, nil, fmt.Errorf("-%w", err) // it names the flag
			}
			specs = append(specs, s)
		}
	}
	return specs, naive, nil
}

// chain runs chains of services with hollow sidecars, each in a process of its own, since it has a virtual clock.
func chain(args []string) error {
	o, err := parseChain(args)
	if err != nil {
		return err
	}
	if o.one != "" {
		return runChainChild(o.one, o.into)
	}
	specs, naive, err := o.specs()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	file := chainFile{Chains: make([]*scale.ChainResult, len(specs)), Naive: naive}
	errs := make([]error, len(specs))
	lab.ForEach(len(specs), o.parallel, func(i int) { file.Chains[i], errs[i] = startChainChild(ctx, specs[i]) })
	broken := 0
	for i, err := range errs {
		if err != nil {
			return fmt.Errorf("fail %v, plain %d: %w", specs[i].FailureRate, specs[i].PlainAttempts, err)
		}
		broken += len(file.Chains[i].FailedChecks)
	}
	fmt.Print(scale.ChainTable(file.Chains))
	for _, n := range file.Naive {
		fmt.Printf("estimated, %d attempts, %v fail: %.1f attempts at the last level for each call\n", n.Attempts, n.FailureRate, n.LastLevelAttempts)
	}
	if err := lab.WriteJSON(filepath.Join(o.out, "chain.json"), file); err != nil {
		return err
	}
	if broken > 0 {
		return breachError(broken)
	}
	return nil
}

// startChainChild runs a chain in a child process.
func startChainChild(ctx context.Context, spec scale.Chain) (*scale.ChainResult, error) {
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
	if output, err := child.CombinedOutput(); err != nil {
		return nil, fmt.Errorf("%w: %s", err, output)
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

// runChainChild runs a chain on a virtual clock, and ends the process.
func runChainChild(text, into string) error {
	var spec scale.Chain
	if err := json.Unmarshal([]byte(text), &spec); err != nil {
		return fmt.Errorf("-one: %w", err)
	}
	return scale.RunChainVirtual(spec, func(r *scale.ChainResult, err error) {
		if err == nil {
			err = lab.WriteJSON(into, r)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "faultlab:", err)
			os.Exit(1)
		}
	})
}
