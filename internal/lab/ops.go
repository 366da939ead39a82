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

// opsPatience is how long the lab waits for an answer of an operators' address, whose own bound is 2 s.
const opsPatience = 4 * time.Second

// opsSettle is kept free of random calls at the end of a run, so that its last state is observed.
const opsSettle = time.Second

// operatorsLab makes the operators' calls of an experiment and observes every
// sidecar's operators' address, all into the history.
type operatorsLab struct {
	exp      *Experiment
	sidecars *Sidecars
	ledger   *Ledger
	log      *history.Log
	http     *http.Client
}

func newOperatorsLab(exp *Experiment, sidecars *Sidecars, ledger *Ledger, log *history.Log) *operatorsLab {
	return &operatorsLab{exp: exp, sidecars: sidecars, ledger: ledger, log: log,
		http: &http.Client{Timeout: opsPatience, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// run makes all calls and observations of the run, and returns at its end.
func (o *operatorsLab) run(ctx context.Context) {
	var wg sync.WaitGroup
	calls := slices.Clone(o.exp.Calls)
	random := rand.New(rand.NewPCG(o.exp.Seed, 0x0b5))
	last := o.exp.Duration.Duration - opsSettle
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
			if o.ledger.until(ctx, c.At.Duration) {
				o.call(c)
			}
		}()
	}
	every := o.exp.Ops.ObserveEvery.Duration
	for i := range o.exp.Fleet.Sidecars {
		wg.Add(1)
		go func() {
			defer wg.Done()
			// Spread over the period, so that the lab does not ask all at once; the last is at the run's end.
			for at := every * time.Duration(i) / time.Duration(o.exp.Fleet.Sidecars); at < o.exp.Duration.Duration; at += every {
				if !o.ledger.until(ctx, at) {
					return
				}
				o.observe(i)
			}
		}()
	}
	wg.Wait()
}

// ask makes one request of sidecar i's operators' address; status 0 where none answered whole.
func (o *operatorsLab) ask(method string, i int, path, body string) (status int, answer string) {
	address := o.sidecars.Ops(i)
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

// call makes an operators' call and records what it came to.
func (o *operatorsLab) call(c Call) {
	key, path, body := "drained", "/"+c.Op, ""
	if c.Op == "ban" || c.Op == "enable" {
		key = serverName(c.Server)
		path, body = map[string]string{"ban": "/pin-servers/disable", "enable": "/pin-servers/enable"}[c.Op], key
	}
	e := history.Event{Kind: history.Call, Sidecar: sidecarName(c.Sidecar), Op: c.Op, Key: key, Call: o.ledger.micros()}
	status, text := o.ask(http.MethodPost, c.Sidecar, path, body)
	e.Return, e.Text = o.ledger.micros(), strings.TrimSpace(text)
	switch {
	case status >= 200 && status < 300:
		e.Outcome = history.OK
	case status >= 400 && status < 500 || status < 0:
		e.Outcome = history.No
	default: // 503, or no answer: it may have been done
		e.Outcome = history.Unknown
	}
	o.log.Add(e)
}

// observe asks sidecar i and records each field of the answers.
func (o *operatorsLab) observe(i int) {
	paths := o.exp.Ops.Observe
	if o.exp.Fleet.View {
		paths = append(slices.Clone(paths), viewPath)
	}
	for _, path := range paths {
		from := o.ledger.micros()
		status, text := o.ask(http.MethodGet, i, path, "")
		to := o.ledger.micros()
		if status != http.StatusOK {
			continue // it is down, or comes up
		}
		var fields map[string]json.RawMessage
		if err := json.Unmarshal([]byte(text), &fields); err != nil {
			o.sidecars.trouble(i, "%s: not a JSON object: %v", path, err)
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
			o.log.Add(e)
		}
	}
}

func sidecarName(i int) string { return fmt.Sprintf("s%d", i) }
func serverName(j int) string  { return fmt.Sprintf("v%03d", j) }

// check holds the history to the experiment's promises.
func check(exp *Experiment, events []history.Event, running []string) []history.Break {
	var broken []history.Break
	add := func(b *history.Break) {
		if b != nil {
			broken = append(broken, *b)
		}
	}
	if !exp.Ops.On {
		return nil
	}
	for i := range exp.Fleet.Sidecars {
		name := sidecarName(i)
		add(history.Register(name+" drained", "false", events, func(e history.Event) (string, string) {
			return registerStep(e, name, "drained")
		}))
		for j := range exp.Fleet.Servers {
			server := serverName(j)
			called := slices.ContainsFunc(events, func(e history.Event) bool {
				return e.Kind == history.Call && e.Key == server && e.Sidecar == name || slices.Contains(e.Set, server)
			})
			if called {
				add(history.Register(name+" ban of "+server, "false", events, func(e history.Event) (string, string) {
					return registerStep(e, name, server)
				}))
			}
		}
	}
	for _, c := range exp.Checks {
		switch c.Kind {
		case "holder":
			add(history.OneHolder(c.Field, events))
		case "tokens":
			add(history.TokensGrow(c.Field, events))
		case "settled":
			add(history.Settled(c.Field, running, c.Within.Duration, events))
		case "dropped":
			add(history.Dropped(c.Field, c.Within.Duration, events))
		case "kept":
			add(history.Kept(c.Field, c.Op, c.Undo, c.Within.Duration, events))
		}
	}
	return broken
}

// registerStep is what an event means for one sidecar's drain or for its ban of one server: "true" while it holds.
func registerStep(e history.Event, sidecar, key string) (kind, value string) {
	switch {
	case e.Sidecar != sidecar:
	case e.Kind == history.Wipe:
		return "write", "false"
	case e.Kind == history.Call && e.Key == key:
		return "write", fmt.Sprint(e.Op == "ban" || e.Op == "drain")
	case e.Kind == history.Observe && e.Key == "drained" && key == "drained":
		return "read", e.Value
	case e.Kind == history.Observe && e.Key == "banned" && key != "drained":
		return "read", fmt.Sprint(slices.Contains(e.Set, key))
	}
	return "", ""
}

// afterBan finds requests that a sidecar sent to a server longer than grace
// after its yes to a ban, before anything that may have ended the ban was called.
func (l *Ledger) afterBan(events []history.Event, grace time.Duration) (found []string) {
	type key struct{ sidecar, server string }
	arrivals := map[key][]arrival{}
	for id, r := range l.records {
		for _, a := range r.came {
			k := key{sidecarName(r.sidecar), a.server}
			a.id = id
			arrivals[k] = append(arrivals[k], a)
		}
	}
	for _, ban := range events {
		if ban.Kind != history.Call || ban.Op != "ban" || ban.Outcome != history.OK {
			continue
		}
		until := int64(1<<63 - 1)
		for _, e := range events {
			if e.Sidecar == ban.Sidecar && e.Return >= ban.Call && (e.Kind == history.Wipe || e.Kind == history.Call && e.Op == "enable" && e.Key == ban.Key && e.Outcome != history.No) {
				until = min(until, e.Call)
			}
		}
		for _, a := range arrivals[key{ban.Sidecar, ban.Key}] {
			if a.at.Microseconds() > ban.Return+grace.Microseconds() && a.at.Microseconds() < until {
				found = append(found, fmt.Sprintf("%s:%s:%s", ban.Sidecar, ban.Key, a.id))
			}
		}
	}
	return found
}
