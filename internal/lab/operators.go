package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"bramblestand/internal/lab/history"
)

// adminTimeout is how long the lab waits for the response to an admin call. The sidecar's own limit is 2 s.
const adminTimeout = 4 * time.Second

// finalQuietPeriod is how long before the run's end random calls stop, so that the final state is observed.
const finalQuietPeriod = time.Second

// operators makes the admin calls of an experiment and polls every sidecar's
// admin address, and records both in the history.
type operators struct {
	exp      *Experiment
	sidecars *Sidecars
	requests *RequestTable
	history  *history.Log
	http     *http.Client
}

func newOperators(exp *Experiment, sidecars *Sidecars, requests *RequestTable, log *history.Log) *operators {
	return &operators{exp: exp, sidecars: sidecars, requests: requests, history: log,
		http: &http.Client{Timeout: adminTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// run makes the admin calls of the experiment, random ones at the configured rate, and polls every sidecar. It returns
// at the run's end or when ctx ends.
func (o *operators) run(ctx context.Context) {
	var wg sync.WaitGroup
	calls := slices.Clone(o.exp.Calls)
	random := rand.New(rand.NewPCG(o.exp.Seed, 0x0b5))
	last := o.exp.Duration.Duration - finalQuietPeriod
	for at := time.Duration(0); o.exp.Ops.Rate > 0; {
		if at += time.Duration(random.ExpFloat64() / o.exp.Ops.Rate * float64(time.Second)); at > last {
			break
		}
		calls = append(calls, Call{At: Duration{at}, Op: o.exp.Ops.Calls[random.IntN(len(o.exp.Ops.Calls))],
			Sidecar: random.IntN(o.exp.Fleet.Sidecars), Server: random.IntN(o.exp.Ops.Servers)})
	}
	for _, c := range calls {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if o.requests.waitUntil(ctx, c.At.Duration) {
				o.call(c)
			}
		}()
	}
	every := o.exp.Ops.ObserveEvery.Duration
	for i := range o.exp.Fleet.Sidecars {
		wg.Add(1)
		go func() {
			defer wg.Done()
			// The polls of the sidecars are spread over the period, so that they are not all made at once. Each sidecar's
			// last poll is at the run's end, or less than a period before.
			for at := every * time.Duration(i) / time.Duration(o.exp.Fleet.Sidecars); at < o.exp.Duration.Duration; at += every {
				if !o.requests.waitUntil(ctx, at) {
					return
				}
				o.observe(i)
			}
		}()
	}
	wg.Wait()
}

// adminCall sends one request to sidecar i's admin address. It returns the status and the body of the response. The
// status is 0 without a complete response, and -1 if the sidecar is down.
func (o *operators) adminCall(method string, i int, path, body string) (status int, answer string) {
	address := o.sidecars.AdminAddress(i)
	if address == "" {
		return -1, "down"
	}
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	response, err := o.http.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}

// call makes an admin call and records its outcome.
func (o *operators) call(c Call) {
	key, path, body := "drained", "/"+c.Op, ""
	if c.Op == "ban" || c.Op == "enable" {
		key = serverName(c.Server)
		path, body = map[string]string{"ban": "/pin-servers/disable", "enable": "/pin-servers/enable"}[c.Op], key
	}
	e := history.Event{Kind: history.Call, Sidecar: sidecarName(c.Sidecar), Op: c.Op, Key: key, Call: o.requests.nowMicros()}
	status, text := o.adminCall(http.MethodPost, c.Sidecar, path, body)
	e.Return, e.Text = o.requests.nowMicros(), strings.TrimSpace(text)
	switch {
	case status >= 200 && status < 300:
		e.Outcome = history.OK
	case status >= 400 && status < 500 || status < 0:
		e.Outcome = history.Rejected
	default: // 503, or no response: the call may have taken effect
		e.Outcome = history.Unknown
	}
	o.history.Add(e)
}

// observe polls sidecar i's admin address and records each field of the responses in the history.
func (o *operators) observe(i int) {
	paths := o.exp.Ops.Observe
	if o.exp.Fleet.View {
		paths = append(slices.Clone(paths), viewPath)
	}
	for _, path := range paths {
		from := o.requests.nowMicros()
		status, text := o.adminCall(http.MethodGet, i, path, "")
		to := o.requests.nowMicros()
		if status != http.StatusOK {
			continue // it is down or not ready yet
		}
		var fields map[string]json.RawMessage
		if err := json.Unmarshal([]byte(text), &fields); err != nil {
			o.sidecars.recordFailure(i, "%s: not a JSON object: %v", path, err)
			continue
		}
		for field, raw := range fields {
			e := history.Event{Kind: history.Observe, Sidecar: sidecarName(i), Key: field, Call: from, Return: to}
			var scalar any
			switch {
			case json.Unmarshal(raw, &e.Tokens) == nil && raw[0] == '{':
			case json.Unmarshal(raw, &e.Set) == nil && raw[0] == '[':
				slices.Sort(e.Set)
			case json.Unmarshal(raw, &scalar) == nil:
				e.Value = fmt.Sprint(scalar)
			}
			o.history.Add(e)
		}
	}
}

// sidecarName returns the name of sidecar i, by which the history and its configuration name it.
func sidecarName(i int) string { return fmt.Sprintf("s%d", i) }

// serverName returns the name of server j in discovery, logs and the history.
func serverName(j int) string { return fmt.Sprintf("v%03d", j) }
