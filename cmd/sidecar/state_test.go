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

// A power loss ends the sidecar's process and deletes its TMPDIR with the handover file. With a state folder, the earlier ban
// and drain still hold in the next process.
func TestBanAndDrainSurvivePowerLoss(t *testing.T) {
	listen, stateFolder := freeAddress(t), t.TempDir()
	configText := withSecondEndpoint(newConfigText(listen))
	configText = strings.Replace(configText, `{`, fmt.Sprintf(`{"state_dir":%q,`, stateFolder), 1)
	first, admin := startWithAdmin(t, configText, t.TempDir())
	if callAdmin(admin, "/pin-servers/disable", "s-1") != http.StatusOK || callAdmin(admin, "/drain", "") != http.StatusOK {
		t.Fatal("the ban or the drain was rejected")
	}
	waitUntil(t, "the ban and the drain to be persisted", func() bool {
		s, err := state.Load(stateFolder, "n0")
		return err == nil && s.Admin.Drained && len(s.Admin.Banned) == 1 && s.Admin.Banned[0] == "s-1"
	})
	first.Process.Kill()
	first.Wait()
	var log bytes.Buffer
	second, admin := startWithAdmin(t, configText, t.TempDir(), &log)
	if code := statusCode(http.Get("http://" + listen + "/health/ready")); code != http.StatusServiceUnavailable {
		t.Errorf("the drain was not restored: /health/ready is answered with %d", code)
	}
	if callAdmin(admin, "/undrain", "") != http.StatusOK {
		t.Fatal("the end of the drain was rejected")
	}
	second.Process.Signal(os.Interrupt)
	second.Wait()
	if !strings.Contains(log.String(), `msg="endpoint banned" sidecar=n0 endpoint_name=s-1`) || !strings.Contains(log.String(), "state snapshot restored") {
		t.Errorf("the ban was not restored:\n%s", log.String())
	}
}
