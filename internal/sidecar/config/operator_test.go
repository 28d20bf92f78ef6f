package config

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

const end = "\n# end\n"

// All faults of an operator's file are reported at once, with their positions.
func TestOperatorFaults(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want []string
	}{
		"nothing but the version": {"version = 1" + end, nil},
		"all":                     {"version = 1\n[log]\nlevel = 'debug'\nform = \"console\"\nrepeats = 7\nparts.relay = 'warn'" + end, nil},
		"no version":              {end, []string{"f: version: missing; allowed: 1"}},
		"another version":         {"version = 2" + end, []string{"f:1:1: version: 2; allowed: 1; this program reads no other"}},
		"cut short": {"version = 1\n[log]\nlevel = 'debug'\n", []string{
			`f:3:1: the file may not be whole; its last line must be "# end"`}},
		"cut within a word": {"version = 1\n[log]\nlevel = 'deb", []string{"f:3:12: not TOML; "}},
		"a key twice":       {"version = 1\nversion = 1" + end, []string{"f:2:1: not TOML; "}},
		"unknown keys": {"version = 1\nlag.level = 'info'\n[log]\nlevle = 'info'\n[swarm]\nx = {y = [1]}" + end, []string{
			"f:2:1: lag: unknown key; allowed: a known key, such as log",
			"f:4:1: log.levle: unknown key; allowed: a known key, such as log.level",
			"f:5:2: swarm: unknown key; allowed: a known key",
		}},
		"an unknown key and a value out of range": {"version = 1\n[log]\nform = 'xml'\nfrom = 1" + end, []string{
			"f:4:1: log.from: unknown key", `f:3:1: log.form: "xml"; allowed: json or console`}},
		"values of other kinds": {"version = '1'\n[log]\nlevel = 3\nrepeats = 1.5\nparts = 2026-01-01" + end, []string{
			`f:1:1: version: "1"; allowed: a whole number`, `f:3:1: log.level: "3"; allowed: text`,
			`f:4:1: log.repeats: "1.5"; allowed: a whole number`, `f:5:1: log.parts: "2026-01-01"; allowed: a table`}},
		"values out of range": {"version = 1\n[log]\nlevel = 'loud'\nrepeats = -1\n[log.parts]\nengine = 'info'" + end, []string{
			`f:3:1: log.level: "loud"; allowed: debug, info, warn or error`, `f:4:1: log.repeats: -1; allowed: 0 to`,
			`f:6:1: log.parts.engine: "engine"; allowed: one of`}},
		"a number past all": {"version = 1\n[log]\nrepeats = 99999999999999999999" + end, []string{"f:3:"}},
	} {
		t.Run(name, func(t *testing.T) {
			_, src := parseOperator("f", []byte(c.text))
			for i, f := range src.faults {
				if i >= len(c.want) || !strings.HasPrefix(f.String(), c.want[i]) {
					t.Errorf("fault %d: %s", i, f)
				}
			}
			if len(src.faults) < len(c.want) {
				t.Errorf("%d faults, %d wanted", len(src.faults), len(c.want))
			}
		})
	}
}

// The shipped example names every key with its default.
func TestShippedFileIsTheDefaults(t *testing.T) {
	const path = "../../../deploy/operator.toml"
	got, src := readOperator(path)
	if err := src.faults.err(); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(OperatorDefaults(), got, cmpopts.EquateEmpty()); diff != "" {
		t.Errorf("(-default +shipped):\n%s", diff)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for key, k := range operatorSchema() {
		if name := strings.TrimSuffix(key[strings.LastIndexByte(key, '.')+1:], "[]"); k != table && name != "*" && !strings.Contains(string(text), name+" = ") {
			t.Errorf("%s is not in it", key)
		}
	}
}

// The settings shown are those in force, with their origin.
func TestShown(t *testing.T) {
	dir := t.TempDir()
	own := filepath.Join(dir, "operator.toml")
	if err := os.WriteFile(own, []byte("version = 1\n[log]\nlevel = 'warn'"+end), 0o600); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, []byte(good), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, err := Load(func(key string) string { return map[string]string{"LB_CONFIG": path, "LB_NAME": "n9"}[key] }, own)
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]Shown{}
	for _, s := range cfg.Shown() {
		got[s.Key] = s
	}
	for _, want := range []Shown{{"name", "n9", "LB_NAME"}, {"listen", "127.0.0.1:80", path}, {"limits.sockets", 1024, path},
		{"settings.limits.conn_idle_ms", Millis(30000), "default"}, {"settings.classes[0].name", "c", path},
		{"log.level", "warn", own}, {"log.form", "json", "default"}} {
		if diff := cmp.Diff(want, got[want.Key]); diff != "" {
			t.Error(diff)
		}
	}
}

func TestSecretsAreNotShown(t *testing.T) {
	v := struct {
		Key   string            `toml:"key" secret:"true"`
		Empty string            `toml:"empty" secret:"true"`
		Names map[string]string `toml:"names"`
	}{Key: "s3cret", Names: map[string]string{"b": "2", "a": "1"}}
	got := show(reflect.ValueOf(v), "toml", "x", func(string) string { return "f" })
	want := []Shown{{"x.key", secret, "f"}, {"x.names.a", "1", "f"}, {"x.names.b", "2", "f"}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Reading any text as an operator's file results in settings or in faults with a position.
func FuzzOperator(f *testing.F) {
	for _, text := range []string{"version = 1" + end, "[log]\nlevel = 'x'", "[[log]]\n[[log.parts]]\na.b = {c = [1, {d = 2}]}", "a = \"\\u00e9\"\n\"a b\".c = 1979-05-27",
		"version = 1\n[log.parts]\nrelay = 'warn'" + end, "log = {level = 'info', parts = {relay = 1}}", "x = [", "'' = 1"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		o, src := parseOperator("f", text)
		for _, fault := range src.faults {
			if fault.String() == "" || strings.Contains(fault.Key, "\n") && !strings.Contains(string(text), "\n") {
				t.Errorf("%q", fault)
			}
		}
		if len(src.faults) == 0 && o.Version != OperatorVersion {
			t.Errorf("%+v without a fault", o)
		}
	})
}
