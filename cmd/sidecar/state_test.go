package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"

	"bramblestand/internal/state"
)

// A machine that loses power loses the sidecar and its TMPDIR, with the file that two processes of an upgrade share.
// With a state folder, the ban and the drain of before hold in the next process.
func TestBanAndDrainSurvivePowerLoss(t *testing.T) {
	listen, kept := freeAddress(t), t.TempDir()
	text := strings.Replace(newConfigText(listen), `{`, fmt.Sprintf(`{"state_dir":%q,`, kept), 1)
	one := `{"host":"s-1","dial":"127.0.0.1:1","site":"a","health":"Ready","share":1}`
	text = strings.Replace(text, one, one+","+strings.Replace(one, "s-1", "s-2", 1), 1)
	first, ops := startWithAdmin(t, text, t.TempDir())
	if callAdmin(ops, "/pin-servers/disable", "s-1") != http.StatusOK || callAdmin(ops, "/drain", "") != http.StatusOK {
		t.Fatal("the ban or the drain was not taken")
	}
	waitUntil(t, "the ban and the drain kept", func() bool {
		s, err := state.Load(kept, "n0")
		return err == nil && s.Admin.Drained && len(s.Admin.Banned) == 1 && s.Admin.Banned[0] == "s-1"
	})
	first.Process.Kill()
	first.Wait()
	var log bytes.Buffer
	second, ops := startWithAdmin(t, text, t.TempDir(), &log)
	if code := statusCode(http.Get("http://" + listen + "/health/ready")); code != http.StatusServiceUnavailable {
		t.Errorf("the drain was forgotten: /health/ready %d", code)
	}
	if callAdmin(ops, "/undrain", "") != http.StatusOK {
		t.Fatal("undrain")
	}
	second.Process.Signal(os.Interrupt)
	second.Wait()
	if !strings.Contains(log.String(), `msg=banned sidecar=n0 host=s-1`) || !strings.Contains(log.String(), "state snapshot restored") {
		t.Errorf("the ban was not restored:\n%s", log.String())
	}
}
