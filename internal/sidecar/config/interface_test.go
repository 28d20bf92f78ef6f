package config

import (
	"encoding/json"
	flags "flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"

	"fieldrelay/internal/testkit/recordedtest"
)

var update = flags.Bool("update", false, "write the recorded copies")

const (
	leastFile = `{"listen":"127.0.0.1:80","discovery":"127.0.0.1:85","seed":"1","settings":{"tick_ms":5,
 "limits":{"send_cap":3},"classes":[{"name":"c","effect":"free","deadline_ms":5000}],"projects":[{"name":"p"}]}}`
	leastOperator = "version = 1\n"
	fullOperator  = `version = 1
[fleet]
fleet = "f"
listen = "127.0.0.1:81"
voters = ["n"]
[[front.http]]
listen = "127.0.0.1:82"
[[quota]]
name = "q"
class = "c"
per_second = 100.0
floor_pct = 20
members = 8
policy = "strict"
burst_ms = 100
`
)

// loadTexts loads both files; the error's text names them by their kinds.
func loadTexts(t *testing.T, file, operator string) (*Config, string) {
	t.Helper()
	dir := t.TempDir()
	path, own := filepath.Join(dir, "config.json"), filepath.Join(dir, "operator.toml")
	require.NoError(t, os.WriteFile(path, []byte(file), 0o600))
	require.NoError(t, os.WriteFile(own, []byte(operator+"# end\n"), 0o600))
	cfg, err := Load(func(key string) string { return map[string]string{"LB_CONFIG": path}[key] }, own)
	if err != nil {
		return nil, strings.ReplaceAll(strings.ReplaceAll(err.Error(), dir+"/", ""), "\n", " | ")
	}
	return cfg, "taken"
}

// Every key of the platform's and of the operator's file, and its default, equal the recorded ones.
func TestRecordedDefaults(t *testing.T) {
	var lines []string
	for _, key := range sidecarKeys() {
		lines = append(lines, fmt.Sprintf("platform key %s %s", key.Path, key.Kind))
	}
	for _, key := range recordedtest.Keys(reflect.TypeFor[Operator](), "toml") {
		lines = append(lines, fmt.Sprintf("operator key %s %s", key.Path, key.Kind))
	}
	_, told := loadTexts(t, leastFile, fullOperator)
	require.Equal(t, "taken", told, "what the bounds are tried on")
	cfg, told := loadTexts(t, leastFile, leastOperator)
	require.Equal(t, "taken", told)
	for _, shown := range cfg.Shown() {
		from := shown.From
		if from != "default" {
			from = "file"
		}
		lines = append(lines, fmt.Sprintf("in force %s = %v (%s)", shown.Key, shown.Value, from))
	}
	lines = append(lines, fmt.Sprintf("derived: threads %d, memory %d, from submitters %d, to nodes %d, dial %v, idle %v, drain %v",
		cfg.Procs, cfg.MemoryBytes, cfg.Inbound, cfg.Outbound, cfg.DialTimeout, cfg.ConnIdle, cfg.DrainGrace))
	lines = append(lines, "operator defaults:", recordedtest.Values(reflect.ValueOf(OperatorDefaults()), "toml"))
	recordedtest.Compare(t, *update, "testdata/defaults.txt", strings.Join(lines, "\n")+"\n")
}

func sidecarKeys() []recordedtest.Key {
	var keys []recordedtest.Key
	for _, key := range recordedtest.Keys(reflect.TypeFor[file](), "json") {
		if key.Path != "settings[]" && key.Path != "known[]" { // any JSON
			keys = append(keys, key)
		}
	}
	for _, key := range recordedtest.Keys(reflect.TypeFor[Settings](), "json") {
		keys = append(keys, recordedtest.Key{Path: "settings." + key.Path, Kind: key.Kind})
	}
	return keys
}

// The values rejected in either file, and the texts of the faults, equal the recorded ones.
func TestRecordedBounds(t *testing.T) {
	var lines []string
	for _, key := range sidecarKeys() {
		for _, value := range trials(key.Kind) {
			var document map[string]any
			require.NoError(t, json.Unmarshal([]byte(leastFile), &document))
			set(t, document, key.Path, value)
			text, err := json.Marshal(document)
			require.NoError(t, err)
			_, told := loadTexts(t, string(text), leastOperator)
			lines = append(lines, fmt.Sprintf("platform %s = %v: %s", key.Path, value, told))
		}
	}
	for _, key := range recordedtest.Keys(reflect.TypeFor[Operator](), "toml") {
		for _, value := range trials(key.Kind) {
			var document map[string]any
			require.NoError(t, toml.Unmarshal([]byte(fullOperator), &document))
			set(t, document, key.Path, value)
			text, err := toml.Marshal(document)
			require.NoError(t, err)
			_, told := loadTexts(t, leastFile, string(text))
			lines = append(lines, fmt.Sprintf("operator %s = %v: %s", key.Path, value, told))
		}
	}
	recordedtest.Compare(t, *update, "testdata/bounds.txt", strings.Join(lines, "\n")+"\n")
}

// trials are values of a kind: too small, too large and between.
func trials(kind reflect.Kind) []any {
	switch kind {
	case reflect.String:
		return []any{"", "no such"}
	case reflect.Bool:
		return []any{true, false}
	case reflect.Float64:
		return []any{-1.0, 0.0, 0.5, 1.5, 101.0, 600.5, 1025.0, 1e13, 1e300}
	default:
		return []any{-1, 0, 1, 15, 16, 63, 64, 101, 1025, 10_001, 100_001, 3_600_001, 1 << 40}
	}
}

// set puts a value at a path; a list's first element and a table's key "a" stand for all.
func set(t *testing.T, document map[string]any, path string, value any) {
	t.Helper()
	parts := strings.Split(strings.ReplaceAll(path, "*", "a"), ".")
	for index, part := range parts {
		name, list := strings.CutSuffix(part, "[]")
		last := index == len(parts)-1
		switch {
		case last && list:
			document[name] = []any{value}
		case last:
			document[name] = value
		case list:
			elements, known := document[name].([]any)
			require.True(t, known, path)
			document = elements[0].(map[string]any)
		default:
			inner, known := document[name].(map[string]any)
			if !known {
				inner = map[string]any{}
				document[name] = inner
			}
			document = inner
		}
	}
}

// The effect of each environment variable equals the recorded one.
func TestRecordedEnvironment(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(leastFile), 0o600))
	var lines []string
	for _, name := range []string{"LB_NAME", "LB_LISTEN", "LB_MGMT", "LB_DISCOVERY", "LB_SOCKET_FD"} {
		for _, value := range []string{"no such", "127.0.0.1:9", "2", "3", "1048576", "1048577"} {
			for way, read := range map[string]func(func(string) string, string) (*Config, error){"start": Load, "again": Reload} {
				cfg, err := read(func(key string) string { return map[string]string{"LB_CONFIG": path, name: value}[key] }, "")
				told := ""
				if err != nil {
					told = strings.ReplaceAll(strings.ReplaceAll(err.Error(), path, "config.json"), "\n", " | ")
				} else {
					told = fmt.Sprintf("name %q, listen %q, mgmt %q, discovery %q, descriptor %d", cfg.Name, cfg.Listen, cfg.Mgmt,
						cfg.Discovery, cfg.SocketFD)
				}
				lines = append(lines, fmt.Sprintf("%s = %s, %s: %s", name, value, way, told))
			}
		}
	}
	slices.Sort(lines)
	recordedtest.Compare(t, *update, "testdata/environment.txt", strings.Join(lines, "\n")+"\n")
}
