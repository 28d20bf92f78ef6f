package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fieldrelay/internal/sidecar/logic"
)

const good = `{"name":"n3","listen":"127.0.0.1:80","discovery":"127.0.0.1:85","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.5,"memory_mb":192,"sockets":1024},
 "known":{"generation":41,"reset":true,"instances":[{"instanceId":"s","hostPort":"h:1","lifecycle":"Ready"}]},
 "settings":{"tick_ms":5,"over_share_worth":0.05,"contract":{"drain_grace_ms":400},"limits":{"dial_timeout_ms":120,"send_cap":3},
  "classes":[{"name":"c","effect":"free","aim_ms":100,"deadline_ms":5000}],
  "projects":[{"name":"novakovi","share":0.39,"allowance_per_s":70}]}}`

func load(t *testing.T, read func(func(string) string, string) (*Config, error), text string, env map[string]string) (*Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return read(func(key string) string {
		if key == "LB_CONFIG" {
			return path
		}
		return env[key]
	}, "")
}

func TestLoad(t *testing.T) {
	cfg, err := load(t, Load, good, map[string]string{"LB_NAME": "n4", "LB_LISTEN": "127.0.0.2:80"})
	if err != nil {
		t.Fatal(err)
	}
	got := []any{cfg.Name, cfg.Listen, cfg.Discovery, cfg.Seed, cfg.Known.Generation, cfg.Procs, cfg.MemoryBytes,
		cfg.Inbound + cfg.Outbound, cfg.DialTimeout, cfg.ConnIdle, cfg.DrainGrace, cfg.LongestDeadline(), cfg.Logic.Tenants,
		cfg.Logic.OverShareValue}
	want := []any{"n4", "127.0.0.2:80", "127.0.0.1:85", uint64(0x8c1f30d27a5be964), uint64(41), 2, int64(192 << 20),
		960, 120 * time.Millisecond, defaultConnIdle, 400 * time.Millisecond, 5 * time.Second,
		[]logic.Tenant{{Name: "novakovi", Share: 0.39, Allowance: 70}}, 0.05}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// At a reload the file takes precedence over the environment, as it is newer; a file without discovery leaves the environment's.
func TestReloadTakesDiscoveryFromTheFile(t *testing.T) {
	env := map[string]string{"LB_DISCOVERY": "127.0.0.1:86"}
	var got []string
	for _, read := range []func(func(string) string, string) (*Config, error){Load, Reload} {
		for _, text := range []string{good, strings.Replace(good, "127.0.0.1:85", "", 1)} {
			cfg, err := load(t, read, text, env)
			if err != nil {
				t.Fatal(err)
			}
			got = append(got, cfg.Discovery)
		}
	}
	if diff := cmp.Diff([]string{"127.0.0.1:86", "127.0.0.1:86", "127.0.0.1:85", "127.0.0.1:86"}, got); diff != "" {
		t.Error(diff)
	}
}

// A reload reports changed keys that it does not apply.
func TestChangedNamesTheKeys(t *testing.T) {
	was, err := load(t, Load, good, nil)
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer(`:80"`, `:81"`, `:85"`, `:86"`, "1024", "512", `"tick_ms":5`, `"tick_ms":6`).Replace(good)
	now, err := load(t, Reload, text, nil)
	if err != nil {
		t.Fatal(err)
	}
	got := [][]string{was.Changed(was), was.Changed(now)}
	if diff := cmp.Diff([][]string{nil, {"listen", "limits", "settings"}}, got); diff != "" {
		t.Error(diff)
	}
}

// A start with a faulty file reports the keys at fault.
func TestErrorsNameTheKey(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{good, `{`, "unexpected end"},
		{`"127.0.0.1:80"`, `"nowhere"`, "listen: "},
		{`"127.0.0.1:85"`, `""`, "discovery: "},
		{`8c1f30d27a5be964`, `xyz`, "seed: "},
		{`1.5`, `"x"`, ":2:20: limits.cores: \"x\"; allowed: a number"},
		{`1.5`, `-1`, "limits.cores: "},
		{`192`, `1`, "limits.memory_mb: "},
		{`1024`, `10`, "limits.sockets: "},
		{`"Ready"`, `"Odd"`, ":3:100: known.instances[0].lifecycle: "},
		{`41,`, `"x",`, ":3:24: known.generation: "},
		{`"settings"`, `"set"`, "settings: missing"},
		{`"tick_ms":5`, `"tick_ms":"5"`, "tick_ms"},
		{`"tick_ms":5`, `"tick_ms":0`, "tick_ms: "},
		{`120`, `-120`, "limits.dial_timeout_ms"},
		{`400`, `1e13`, "contract.drain_grace_ms: "},
		{`"free"`, `"odd"`, "classes[0].effect: "},
		{`5000`, `1e13`, "classes[0].deadline_ms: "},
		{`5000`, `0`, "classes[0].deadline_ms: 0; allowed: over 0"},
		{`"send_cap":3`, `"send_cap":0`, "limits.send_cap: 0"},
		{`,"send_cap":3`, ``, "limits.send_cap: 0"},
		{`"share":0.39`, `"share":1.5`, "settings.projects[0]: tenant \"novakovi\" needs"},
		{`"name":"novakovi"`, `"name":""`, "settings.projects[0]: "},
		{`"over_share_worth":0.05`, `"over_share_worth":-1`, "settings.over_share_worth: -1 is not within 0 to 1"},
	} {
		if _, err := load(t, Load, strings.Replace(good, c.old, c.new, 1), nil); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s for %s: error %v, want %q", c.new, c.old, err, c.want)
		}
	}
	if _, err := Load(func(string) string { return "" }, ""); err == nil || !strings.HasPrefix(err.Error(), "LB_CONFIG: ") {
		t.Errorf("no file: error %v", err)
	}
}

// The examples are complete configurations that load as they are.
func TestExamplesLoad(t *testing.T) {
	paths, err := filepath.Glob("../../../example/*.json")
	if err != nil || len(paths) < 2 {
		t.Fatalf("examples %v, %v", paths, err)
	}
	for _, path := range paths {
		if _, err := Load(func(key string) string { return map[string]string{"LB_CONFIG": path}[key] }, ""); err != nil {
			t.Errorf("%s: %v", path, err)
		}
	}
}
