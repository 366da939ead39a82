package lab

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// fieldCheck is the result of checking one field.
type fieldCheck struct {
	isInvalid bool
	field     string
	reason    string // follows the field's name in the error
}

// firstInvalid returns an error that names the first invalid field and the reason, nil for none.
func firstInvalid(checks []fieldCheck) error {
	for _, c := range checks {
		if c.isInvalid {
			return fmt.Errorf("%s %s", c.field, c.reason)
		}
	}
	return nil
}

// validate returns an error that names the first invalid field by its TOML key, nil for none.
func (e *Experiment) validate() error {
	if err := e.validateRanges(); err != nil {
		return err
	}
	for i, f := range e.Faults {
		if err := e.validateFault(f); err != nil {
			return fmt.Errorf("fault[%d].%w", i, err)
		}
	}
	for i, op := range e.Ops.Calls {
		if !slices.Contains(opsCalls, op) {
			return fmt.Errorf("ops.calls[%d]: %q is not one of %v", i, op, opsCalls)
		}
	}
	for i, c := range e.Calls {
		if err := e.validateCall(c); err != nil {
			return fmt.Errorf("call[%d].%w", i, err)
		}
	}
	for i, c := range e.Checks {
		switch {
		case !slices.Contains(checkKinds, c.Kind):
			return fmt.Errorf("check[%d].kind: %q is not one of %v", i, c.Kind, checkKinds)
		case c.Kind != "register" && c.Field == "":
			return fmt.Errorf("check[%d].field: is empty", i)
		}
	}
	for i, c := range e.Chaos {
		if err := e.validateChaos(c); err != nil {
			return fmt.Errorf("chaos[%d].%w", i, err)
		}
	}
	return nil
}

// validateRanges checks the fields that are not in lists.
func (e *Experiment) validateRanges() error {
	return firstInvalid([]fieldCheck{
		{e.Duration.Duration <= 0 || e.Duration.Duration > time.Hour, "duration", "is not within (0, 1h]"},
		{e.Fleet.Sidecars < 1 || e.Fleet.Sidecars > 300, "fleet.sidecars", "is not within 1 to 300"},
		{e.Fleet.Servers < 1 || e.Fleet.Servers > 1000, "fleet.servers", "is not within 1 to 1000"},
		{len(e.Fleet.Zones) == 0, "fleet.zones", "is empty"},
		{e.Fleet.Machines < 0 || e.Fleet.Machines > e.Fleet.Sidecars, "fleet.machines", "is not within 0 to fleet.sidecars"},

		{!(e.Fleet.ProbePrice >= 0 && e.Fleet.ProbePrice <= 1000), "fleet.probe_price", "is not within 0 to 1000"},
		{e.Ops.Rate < 0 || e.Ops.Rate > 1000, "ops.rate", "is not within 0 to 1000"},
		{!e.Ops.On && (e.Ops.Rate > 0 || len(e.Calls) > 0 || len(e.Checks) > 0), "ops.on", "is false, but calls, a rate or checks are set"},
		{e.Ops.Servers < 1 || e.Ops.Rate > 0 && e.Ops.Servers > e.Fleet.Servers, "ops.servers", "is not within 1 to fleet.servers"},
		{e.Ops.ObserveEvery.Duration < 10*time.Millisecond, "ops.observe_every", "is under 10ms"},
		{e.Server.Capacity < 1, "server.capacity", "is under 1"},
		{e.Server.Queue < 0, "server.queue", "is negative"},
		{e.Server.Latency.Duration <= 0, "server.latency", "is not positive"},
		{e.Server.ErrorRate < 0 || e.Server.ErrorRate > 1, "server.error_rate", "is not within 0 to 1"},
		{e.Load.Rate < 0 || e.Load.Rate > 10000, "load.rate", "is not within 0 to 10000"},
		{e.Load.Shape != "poisson" && e.Load.Shape != "bursts", "load.shape", "is neither \"poisson\" nor \"bursts\""},
		{e.Load.Shape == "bursts" && (e.Load.BurstEvery.Duration <= 0 || e.Load.BurstFor.Duration <= 0 || e.Load.BurstFactor < 1), "load.burst_every", "and burst_for must be positive, and burst_factor at least 1, for the shape \"bursts\""},
		{e.Load.MaxRequests < 0, "load.max_requests", "is negative"},
		{e.Load.Deadline.Duration < 50*time.Millisecond, "load.deadline", "is under 50ms"},
		{e.Load.OrderShare < 0 || e.Load.OrderShare > 1, "load.order_share", "is not within 0 to 1"},
	})
}

// validateCall checks an admin call. Errors begin with the field.
func (e *Experiment) validateCall(c Call) error {
	switch {
	case !slices.Contains(opsCalls, c.Op):
		return fmt.Errorf("op: %q is not one of %v", c.Op, opsCalls)
	case c.At.Duration < 0 || c.At.Duration > e.Duration.Duration:
		return fmt.Errorf("at: %v is not within the duration", c.At)
	case c.Sidecar < 0 || c.Sidecar >= e.Fleet.Sidecars:
		return fmt.Errorf("sidecar: %d is not within 0 to %d", c.Sidecar, e.Fleet.Sidecars-1)
	case c.Server < 0 || c.Server >= e.Fleet.Servers:
		return fmt.Errorf("server: %d is not within 0 to %d", c.Server, e.Fleet.Servers-1)
	}
	return nil
}

// validateChaos checks the faults of one Chaos. Errors begin with the field.
func (e *Experiment) validateChaos(c Chaos) error {
	switch {
	case !slices.Contains(sidecarKinds, c.Kind) && !slices.Contains(serverKinds, c.Kind):
		return fmt.Errorf("kind: %q is not a kind of fault on sidecars or servers", c.Kind)
	case c.Kind == "isolate" && !e.Fleet.datagrams():
		return errors.New("kind: \"isolate\" needs fleet.peers or fleet.view")
	case c.Count < 0 || c.Count > 1000:
		return fmt.Errorf("count: %d is not within 0 to 1000", c.Count)
	case c.For.Duration < 0:
		return errors.New("for: is negative")
	}
	return nil
}

// validateFault checks a fault. Errors begin with the field.
func (e *Experiment) validateFault(f Fault) error {
	if err := e.validateFaultRanges(f); err != nil {
		return err
	}
	if err := e.validateFaultKind(f); err != nil {
		return err
	}
	return e.validateTargets(f)
}

// validateFaultRanges checks the fields whose range does not depend on the fault's kind.
func (e *Experiment) validateFaultRanges(f Fault) error {
	for _, fraction := range []struct {
		field string
		value float64
	}{{"share", f.Share}, {"loss", f.Loss}, {"duplicate", f.Duplicate}, {"reorder", f.Reorder}} {
		if fraction.value < 0 || fraction.value > 1 {
			return fmt.Errorf("%s: %v is not within 0 to 1", fraction.field, fraction.value)
		}
	}
	switch {
	case f.At.Duration < 0 || f.At.Duration > e.Duration.Duration:
		return fmt.Errorf("at: %v is not within the duration", f.At)
	case f.For.Duration < 0:
		return errors.New("for: is negative")
	case !slices.Contains([]string{"", "both", "in", "out"}, f.Direction):
		return fmt.Errorf("direction: %q is not \"both\", \"in\" or \"out\"", f.Direction)
	case f.Rate < 0:
		return errors.New("rate: is negative")
	}
	return nil
}

// validateFaultKind checks what a fault's kind requires, besides its targets.
func (e *Experiment) validateFaultKind(f Fault) error {
	switch {
	case (f.Kind == "isolate" || f.Kind == "peers") && !e.Fleet.datagrams():
		return fmt.Errorf("kind: %q needs fleet.peers or fleet.view", f.Kind)
	case f.Kind == "upgrade" && !e.Ops.On:
		return errors.New("kind: \"upgrade\" needs ops.on")
	case f.Kind == "disk" && !slices.Contains([]string{"full", "readonly", "slow"}, f.Mode):
		return fmt.Errorf("mode: %q is not \"full\", \"readonly\" or \"slow\"", f.Mode)
	case f.Kind == "disk" && f.Mode == "slow" && f.Delay.Duration <= 0:
		return errors.New("delay: is not positive")
	case f.Kind == "flap" && f.Period.Duration < 20*time.Millisecond:
		return errors.New("period: is under 20ms")
	case f.Kind == "flap" && (f.For.Duration <= 0 || f.For.Duration/f.Period.Duration > 10000):
		return errors.New("for: is 0 or over 10000 periods")
	case f.Kind == "split" && len(f.Groups) < 2:
		return errors.New("groups: fewer than 2")
	case f.Kind == "discovery" && f.Mode != "down" && f.Mode != "lag":
		return fmt.Errorf("mode: %q is neither \"down\" nor \"lag\"", f.Mode)
	}
	return nil
}

// validateTargets checks the sidecars, servers, machines or links that a fault names, and its kind.
func (e *Experiment) validateTargets(f Fault) error {
	inRange := func(field string, list []int, n int) error {
		if len(list) == 0 {
			return fmt.Errorf("%s: is empty for kind %q", field, f.Kind)
		}
		for _, v := range list {
			if v < 0 || v >= n {
				return fmt.Errorf("%s: %d is not within 0 to %d", field, v, n-1)
			}
		}
		return nil
	}
	switch {
	case slices.Contains(sidecarKinds, f.Kind):
		return inRange("sidecars", f.Sidecars, e.Fleet.Sidecars)
	case slices.Contains(serverKinds, f.Kind):
		return inRange("servers", f.Servers, e.Fleet.Servers)
	case slices.Contains(machineKinds, f.Kind):
		return inRange("machines", f.Machines, e.machineCount())
	case slices.Contains(linkKinds, f.Kind):
		_, err := selectorResolver{e}.linkRule(f)
		return err
	case f.Kind == "discovery" || f.Kind == "peers":
		return nil
	}
	return fmt.Errorf("kind: %q is not a kind of fault", f.Kind)
}
