package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"bramblestand/balancer"
	"bramblestand/internal/simwire"
)

// socketSettings holds the settings that only a sidecar with real sockets needs, except for
// limits.dial-timeout. That one and all other settings are read by simwire.ParseSettings, which ignores
// keys that nothing needs: callers, family-info, kind-of-service, stages, tier, weight-kind, limits.cpu-*,
// limits.multiplex and further prices.
type socketSettings struct {
	Zones        []string `json:"areas"`
	MachineTypes []string `json:"skus"`
	Limits       struct {
		KeepaliveMicros int64 `json:"keepalive"`
	} `json:"limits"`
	LoadReport struct {
		Fields []string `json:"fields"`
	} `json:"reporting"`
}

func (c *Config) setSettings(f *file) error {
	if err := c.parseSettings(f.Settings); err != nil {
		return &KeyError{Key: "settings", Err: err}
	}
	return nil
}

// parseSettings reads the balancer's settings, in the same way as the simulator's adapter, and the
// socket settings.
func (c *Config) parseSettings(raw json.RawMessage) error {
	if len(raw) == 0 {
		return errors.New("is missing")
	}
	settings, err := parseBalancerSettings(raw)
	if err != nil {
		return err
	}
	var sockets socketSettings
	if err := json.Unmarshal(raw, &sockets); err != nil {
		return decodeError(err)
	}
	if micros := sockets.Limits.KeepaliveMicros; micros <= 0 {
		return keyErrorf("limits.keepalive", "%d is not positive", micros)
	}
	if settings.Limits.DialTimeout <= 0 {
		return keyErrorf("limits.dial-timeout", "%d is not positive", settings.Limits.DialTimeout)
	}
	c.Settings = settings
	c.Zones = sockets.Zones
	c.MachineTypes = sockets.MachineTypes
	c.LoadReportFields = sockets.LoadReport.Fields
	c.KeepaliveTimeout = time.Duration(sockets.Limits.KeepaliveMicros) * time.Microsecond
	return nil
}

// parseBalancerSettings converts nested JSON to the simulator's settings text and parses that text, so that
// a key has the same meaning in both.
func parseBalancerSettings(raw json.RawMessage) (balancer.Settings, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber() // keeps the text: 5000000 must not become 5e+06
	tree := map[string]any{}
	if err := decoder.Decode(&tree); err != nil {
		return balancer.Settings{}, decodeError(err)
	}
	var text strings.Builder
	writeSettingsText(&text, "", tree)
	return simwire.ParseSettings(text.String())
}

// writeSettingsText writes a JSON value as path=value lines of the simulator's settings text. It writes a
// list of objects as its length and its items by index, and any other list as its items separated by
// commas. It omits null.
func writeSettingsText(out *strings.Builder, path string, value any) {
	switch value := value.(type) {
	case nil:
	case map[string]any:
		for key, item := range value {
			writeSettingsText(out, joinPath(path, key), item)
		}
	case []any:
		if !isObjectList(value) {
			fmt.Fprintf(out, "%s=%s\n", path, listText(value))
			return
		}
		fmt.Fprintf(out, "%s=%d\n", joinPath(path, "count"), len(value))
		for i, item := range value {
			writeSettingsText(out, joinPath(path, strconv.Itoa(i)), item)
		}
	default:
		fmt.Fprintf(out, "%s=%s\n", path, scalarText(value))
	}
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// isObjectList reports whether a list holds objects. It checks only the first item, because all items of a
// list in the settings are of one kind.
func isObjectList(list []any) bool {
	if len(list) == 0 {
		return false
	}
	_, isObject := list[0].(map[string]any)
	return isObject
}

func listText(list []any) string {
	items := make([]string, len(list))
	for i, item := range list {
		items[i] = scalarText(item)
	}
	return strings.Join(items, ",")
}

// separatorReplacer replaces the characters that must not occur in a value of the settings text.
var separatorReplacer = strings.NewReplacer(" ", "_", ",", "_", "\n", "_", "\r", "_")

func scalarText(value any) string { return separatorReplacer.Replace(fmt.Sprint(value)) }
