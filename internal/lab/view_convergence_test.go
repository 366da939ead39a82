package lab

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"bramblestand/internal/fleet"
	"bramblestand/internal/lab/history"
)

// view returns sidecar i's membership status, or the zero value if the sidecar does not respond with one.
func (r *rig) view(i int) (s fleet.Status) {
	if status, text := r.adminCall(http.MethodGet, i, "/fleet", ""); status == http.StatusOK {
		r.fatal(json.Unmarshal([]byte(text), &s))
	}
	return s
}

// awaitViews waits until the stable view of each given sidecar contains exactly the members in names, separated by
// spaces, and the sidecar reports itself as isolated or not, as isIsolated says.
func (r *rig) awaitViews(what string, isIsolated bool, names string, sidecars ...int) {
	r.Helper()
	last := ""
	defer func() {
		if r.Failed() {
			r.Log("last view:", last)
		}
	}()
	r.await(what, func() bool {
		for _, i := range sidecars {
			s := r.view(i)
			if last = fmt.Sprintf("s%d: %v, isolated %v", i, s.StableMembers, s.Isolated); strings.Join(s.StableMembers, " ") != names || s.Isolated != isIsolated {
				return false
			}
		}
		return true
	})
}

// The views of real processes converge after each of these faults: a crash, a partition, an isolation, an upgrade, the
// loss of a machine with and without its disk, and a pause. The remaining members detect the fault, and all members have
// the same view again after its end.
func TestMembershipViewsOfProcesses(t *testing.T) {
	t.Parallel()
	r := newRig(t, true, "", "view = true\n")
	const all = "s0 s1 s2 s3"
	everyone := []int{0, 1, 2, 3}
	r.awaitViews("the start", false, all, everyone...)
	if s := r.view(2); s.Digest != r.view(3).Digest || len(s.Members) != 4 || s.Members[1].Zone != "a" || s.Members[1].State != "alive" ||
		s.Traffic["packets"].Sent == 0 || s.Members[1].LastContactMillis < 0 {
		t.Errorf("status of s2: %+v", s)
	}

	heal := r.fault(Fault{Kind: "kill", Sidecars: []int{3}})
	r.awaitViews("a crash to be detected", false, "s0 s1 s2", 0, 1, 2)
	heal()
	r.awaitViews("the return of the crashed sidecar", false, all, everyone...)

	heal = r.fault(Fault{Kind: "split", Groups: [][]string{{"s0", "s1"}, {"s2", "s3"}}})
	r.awaitViews("the views on one side of a partition", false, "s0 s1", 0, 1)
	r.awaitViews("the views on its other side", false, "s2 s3", 2, 3)
	heal()
	r.awaitViews("the partition's end", false, all, everyone...)

	heal = r.fault(Fault{Kind: "isolate", Sidecars: []int{0}, Direction: "in"})
	r.awaitViews("the isolated sidecar to report its isolation", true, all, 0)
	r.awaitViews("the other sidecars to drop it", false, "s1 s2 s3", 1, 2, 3)
	heal()
	r.awaitViews("the end of its isolation", false, all, everyone...)

	start := r.view(0).Members[1].StartTime
	r.fault(Fault{Kind: "upgrade", Sidecars: []int{1}})
	r.await("the new process of an upgrade to be the member", func() bool {
		m := r.view(0).Members
		return len(m) == 4 && m[1].StartTime.After(start) && m[1].State == "alive"
	})
	r.awaitViews("an upgrade's end", false, all, everyone...)

	epoch := r.view(0).Epoch
	heal = r.fault(Fault{Kind: "machine-replace", Machines: []int{1}}) // s1 and s3
	r.awaitViews("the loss of a machine to be detected", false, "s0 s2", 0, 2)
	heal()
	r.awaitViews("the return of a machine with an empty disk", false, all, everyone...)
	heal = r.fault(Fault{Kind: "machine-kill", Machines: []int{0}})
	heal()
	if now := r.view(0).Epoch; now < epoch {
		t.Errorf("s0 returned with its disk and epoch %d, which is before %d", now, epoch)
	}
	r.awaitViews("the return of a machine with its disk", false, all, everyone...)

	heal = r.fault(Fault{Kind: "pause", Sidecars: []int{2}})
	r.awaitViews("a pause to be detected as a crash", false, "s0 s1 s3", 0, 1, 3)
	heal()
	r.awaitViews("the return of the paused sidecar", false, all, everyone...)
	if relayed, _, oversize, unknown := r.relay.Counts(); relayed == 0 || oversize > 0 || unknown > 0 {
		t.Errorf("%d datagrams relayed, %d over 256 bytes, %d from unknown senders", relayed, oversize, unknown)
	}
}

// viewConvergences computes the last changes and the number of views after each fault from the sidecars' responses. The
// check of history.Dropped finds a sidecar that responds but is missing from a majority's views, and does not report one
// that was killed.
func TestViewConvergences(t *testing.T) {
	start := time.Unix(1_800_000_000, 0).UTC()
	var events []history.Event
	// observe records a sidecar's response at atMS, by which its view has been stable since sinceMS.
	observe := func(sidecar string, atMS, sinceMS int64, epoch string, settled ...string) {
		for field, value := range map[string]string{"digest": strings.Join(settled, "+"), "epoch": epoch, "cut_off": "false",
			"settled_since": start.Add(time.Duration(sinceMS) * time.Millisecond).Format(time.RFC3339Nano)} {
			events = append(events, history.Event{Kind: history.Observe, Sidecar: sidecar, Key: field, Value: value, Call: atMS * 1000, Return: atMS*1000 + 500})
		}
		events = append(events, history.Event{Kind: history.Observe, Sidecar: sidecar, Key: "settled", Set: settled, Call: atMS * 1000, Return: atMS*1000 + 500})
	}
	for at := int64(0); at < 9000; at += 1000 {
		for _, s := range []string{"s0", "s1", "s2"} {
			switch {
			case s == "s2" && at > 3000: // killed
			case at < 6000:
				observe(s, at, -500, "1", "s0", "s1", "s2")
			case s == "s0":
				observe(s, at, 5600, "2", "s0", "s1")
			default:
				observe(s, at, 5800, "2", "s0", "s1")
			}
		}
	}
	got := viewConvergences(events, []Mark{{AtMs: 3000, Label: "kill s2"}}, start.Add(-2*time.Second), start)
	if len(got) != 2 || got[0].MaxMs != 1500 || got[0].Largest != 3 || got[1].MaxMs != 2800 || got[1].P50Ms != 2800 || got[1].Changes != 2 || got[1].Digests != 1 || got[1].Largest != 2 {
		t.Errorf("convergences %+v", got)
	}
	if b := history.Dropped("settled", 2*time.Second, events); b != nil {
		t.Errorf("a killed sidecar is reported as dropped: %v", b)
	}
	for at := int64(9000); at < 12_000; at += 1000 {
		observe("s2", at, 0, "1", "s0", "s1", "s2")
		observe("s0", at, 5600, "2", "s0", "s1")
		observe("s1", at, 5800, "2", "s0", "s1")
	}
	if b := history.Dropped("settled", 2*time.Second, events); b == nil || len(b.Events) != 2 {
		t.Errorf("a running sidecar is missing from the views of two of three: %v, want one violation with 2 events", b)
	}
}
