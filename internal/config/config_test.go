package config

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"bramblestand/balancer"
	"bramblestand/internal/config/configtest"
	"bramblestand/internal/discovery"
)

// The error for an invalid configuration is one line that names the key.
func TestBadConfigurationNamesTheKey(t *testing.T) {
	good := `{"name":"n3","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964",` +
		`"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},` +
		`"known":{"seq":4,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.1:3","health":"Ready"}]},` +
		`"settings":` + configtest.Settings + `}`
	if cfg, err := Parse([]byte(good)); err != nil {
		t.Fatal(err)
	} else if cfg.Settings.Limits.MaxRetryAfter != 1_500_000 || len(cfg.Settings.Classes) != 4 ||
		cfg.Settings.Classes[1].RetrySafety != balancer.IdempotentWithKey || len(cfg.Settings.LoadReportFields) != 2 || !cfg.Settings.MustSubscribe {
		t.Errorf("parsed settings %+v, want the values of the configuration", cfg.Settings)
	}
	for _, c := range []struct{ old, new, key string }{
		{`"listen":"127.0.0.1:1"`, `"listen":"here"`, "listen"},
		{`"listen":"127.0.0.1:1",`, ``, "listen"},
		{`"listen":"127.0.0.1:1"`, `"listen":7`, "listen"},
		{`"discovery":"127.0.0.1:2"`, `"discovery":""`, "discovery"},
		{`8c1f30d27a5be964`, `xyz`, "seed"},
		{`"name":"n3"`, `"peer_listen":"here"`, "peer_listen"},
		{`"name":"n3"`, `"peers_all":"10.0.0.1"`, "peers_all"},
		{`"name":"n3"`, `"peers":["10.0.0.1:7946","n4:7946"]`, "peers[1]"},
		{`"memory_mb":192`, `"memory_mb":0`, "limits.memory_mb"},
		{`"memory_mb":192`, `"memory_mb":"much"`, "memory_mb"},
		{`"sockets":1024`, `"sockets":3`, "limits.sockets"},
		{`"host":"s-1"`, `"host":""`, "known: hosts[0].host"},
		{`"health":"Ready"`, `"health":"Fine"`, "known: hosts[0].health"},
		{`"dial":"127.0.0.1:3"`, `"dial":"nowhere"`, "known: hosts[0].dial"},
		{`"settings":`, `"other":`, "settings"},
		{`"keepalive":5000000`, `"keepalive":0`, "limits.keepalive"},
		{`"dial-timeout":2000000`, `"dial-timeout":-1`, "limits.dial-timeout"},
		{`"most-tries":3`, `"most-tries":"3.5"`, "limits.most-tries"},
		{`"name":"read","repeat":"pure"`, `"name":"read","repeat":"twice"`, "classes.0.repeat"},
		{`"name":"read","repeat":"pure"`, `"name":"read"`, "classes.0.repeat"},
		{`"discovery":"subscribe"`, `"discovery":"gossip"`, "discovery"},
		{`"name":"n3"`, `"fleet":{"quiet_s":-1}`, "fleet: quiet_s"},
		{`"name":"n3"`, `"name":"n3","fleet":{"on":true}`, "fleet: on: needs peer_listen"},
		{`"name":"n3"`, `"name":"a/b","peer_listen":"10.0.0.1:1","fleet":{"on":true}`, "fleet: name"},
	} {
		bad := strings.Replace(good, c.old, c.new, 1)
		if bad == good {
			t.Fatalf("%q is not in the configuration", c.old)
		}
		_, err := Parse([]byte(bad))
		if err == nil || !strings.Contains(err.Error(), c.key) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line with %q", c.new, err, c.key)
		}
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if _, err := Load(path); err == nil {
		t.Error("a missing file gives no error")
	}
	if err := os.WriteFile(path, []byte(good[:100]), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path); err == nil {
		t.Error("half a file gives no error")
	}
}

// The settings text made from JSON has the form in which the simulator writes each value.
func TestSettingsTextIsTheSimulators(t *testing.T) {
	var out strings.Builder
	writeSettingsText(&out, "", map[string]any{"a": map[string]any{"b": []any{
		map[string]any{"name": "x, y\nz=1"}, map[string]any{"on": true}}}})
	writeSettingsText(&out, "areas", []any{"p q", "r"})
	writeSettingsText(&out, "none", []any{})
	writeSettingsText(&out, "absent", nil)
	want := "a.b.count=2\na.b.0.name=x__y_z=1\na.b.1.on=true\nareas=p_q,r\nnone=\n"
	if out.String() != want {
		t.Errorf("got\n%swant\n%s", out.String(), want)
	}
}

// keysOf returns the keys that an error names, beginning with the outermost.
func keysOf(err error) []string {
	var keys []string
	var keyError *KeyError
	for errors.As(err, &keyError) {
		keys = append(keys, keyError.Key)
		err = keyError.Err
	}
	return keys
}

func TestErrorsCarryTheKey(t *testing.T) {
	for _, c := range []struct {
		path, value string
		keys        []string
	}{
		{"listen", `7`, []string{"listen"}},
		{"ops", `"x"`, []string{"ops"}},
		{"seed", `"x"`, []string{"seed"}},
		{"limits.sockets", `"x"`, []string{"limits.sockets"}},
		{"peers.1", `"x"`, []string{"peers[1]"}},
		{"state_max_age_s", `0`, []string{"state_max_age_s"}},
		{"known.hosts.0.dial", `"x"`, []string{"known"}},
		{"settings", ``, []string{"settings"}},
		{"settings.limits.keepalive", `0`, []string{"settings", "limits.keepalive"}},
		{"settings.limits.keepalive", `"x"`, []string{"settings", "limits.keepalive"}},
		{"settings.limits.most-tries", `0`, []string{"settings"}},
		{"fleet.members", `1`, []string{"fleet"}},
		{"fleet.on", `1`, []string{"fleet", "on"}},
		{"peer_listen", ``, []string{"fleet", "on"}},
	} {
		_, err := Parse(fullConfigWith(t, c.path, c.value))
		if keys := keysOf(err); !slices.Equal(keys, c.keys) {
			t.Errorf("%s = %s: keys %q of %v, want %q", c.path, c.value, keys, err, c.keys)
		}
	}
	var malformed *discovery.MalformedError
	_, err := Parse(fullConfigWith(t, "known.hosts.0.dial", `"x"`))
	if !errors.As(err, &malformed) || malformed.Index != 0 || malformed.Field != "dial" {
		t.Errorf("an invalid list of known endpoints: error %v, want one for the field dial of entry 0", err)
	}
	var setting *balancer.SettingError
	if _, err := Parse(fullConfigWith(t, "settings.limits.most-tries", `0`)); !errors.As(err, &setting) {
		t.Errorf("an invalid setting: error %v, want a *balancer.SettingError", err)
	}
}

func TestMaxConnectionsReservesDescriptors(t *testing.T) {
	limits := Limits{Sockets: 1024}
	if without, with := limits.MaxConnections(false), limits.MaxConnections(true); without != 496 || with != 488 {
		t.Errorf("%d connections without and %d with an admin address, want 496 and 488", without, with)
	}
}
