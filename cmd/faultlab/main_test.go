package main

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

func TestMain(m *testing.M) {
	if os.Getenv("FAULTLAB_TEST_RUN") != "" {
		os.Args = append([]string{"faultlab"}, strings.Fields(os.Getenv("FAULTLAB_TEST_RUN"))...)
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// invoke runs faultlab in a child process and returns its exit code and combined output.
func invoke(t *testing.T, args ...string) (int, string) {
	t.Helper()
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "FAULTLAB_TEST_RUN="+strings.Join(args, " "))
	out, err := c.CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode(), string(out)
	}
	return 0, string(out)
}

// report and compare read recorded results, and report plots one again. An invalid
// argument or experiment leads to exit code 1 and a message that names it.
func TestReportAndBadCalls(t *testing.T) {
	plot := filepath.Join(t.TempDir(), "again.png")
	code, out := invoke(t, "report", "-plot", plot, "../../docs/lab/fleet50-result.json")
	if code != 0 || !strings.Contains(out, "50 sidecars, 200 servers") {
		t.Errorf("report: %d, %q", code, out)
	}
	if png, err := os.ReadFile(plot); err != nil || !bytes.HasPrefix(png, []byte("\x89PNG")) {
		t.Errorf("the plot drawn again: %v", err)
	}
	code, out = invoke(t, "compare", "../../docs/lab/fleet50-result.json", "../../docs/lab/fleet50-peers-result.json")
	if code != 0 || !strings.Contains(out, "served") || !strings.Contains(out, "one run: no spread known") {
		t.Errorf("compare: %d, %q", code, out)
	}
	bad := filepath.Join(t.TempDir(), "bad.toml")
	os.WriteFile(bad, []byte("duration = \"5s\"\n[fleet]\nsidecars = 0\n"), 0o600)
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"fly"}, 1, "not a subcommand"},
		{[]string{"run", bad}, 1, "fleet.sidecars"},
		{[]string{"report", "nowhere.json"}, 1, "nowhere.json"},
		{[]string{"compare", "../../docs/lab/fleet50-result.json", bad}, 1, "bad.toml"},
		{[]string{"search", "-kinds", "melt", "../../lab/search.toml"}, 1, "melt"},
		{[]string{"chain", "-levels", "0"}, 1, "-levels"},
		{[]string{"chain", "-fails", "1.5"}, 1, "-fail "},
		{[]string{"chain", "-plain", "9"}, 1, "-plain"},
		{[]string{"chain", "-rate", "0"}, 1, "-rate"},
		{[]string{"chain", "-parallel", "0"}, 1, "-parallel"},
		{[]string{"latency", "-rates", "0"}, 1, "-rate "},
		{[]string{"latency", "-rates", "47,-1"}, 1, "-rates"},
		{[]string{"latency", "-servers", "0"}, 1, "-servers"},
		{[]string{"latency", "-plays", "0"}, 1, "-plays"},
		{[]string{"latency", "-warm", "-1s"}, 1, "-warm"},
		{[]string{"latency", "-duration", "1ms"}, 1, "-duration"},
		{[]string{"latency", "-price", "-1"}, 1, "-price"},
		{[]string{"latency", "more"}, 1, "only flags"},
		{[]string{"control", "-servers", "0"}, 1, "-servers"},
		{[]string{"control", "-rates", "1,x"}, 1, "-rates"},
		{[]string{"control", "-prices", "-1"}, 1, "-prices"},
		{[]string{"control", "-duration", "5s"}, 1, "-duration"},
		{[]string{"control", "-parallel", "0"}, 1, "-parallel"},
		{[]string{"control", "-sidecars", "0"}, 1, "fleet.sidecars"},
		{[]string{"run", "-repeat", "0", "../../lab/search.toml"}, 1, "-repeat"},
	} {
		if code, out := invoke(t, c.args...); code != c.code || !strings.Contains(out, c.want) {
			t.Errorf("%v: %d, %q; want %d and %q", c.args, code, out, c.code, c.want)
		}
	}
}
