package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const settings = `{"tick_ms":5,"discovery":"subscribe","classes":[{"name":"look","effect":"free","aim_ms":400,"deadline_ms":5000}],
	"contract":{"ask_every_ms":10000},"limits":{"send_cap":2,"may_cancel":true}}`

// Each command line returns the expected exit code and prints the expected text on standard output or, if it fails, on
// standard error.
func TestCommandLine(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good := file("good.json", `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":`+settings+`}`)
	bad := file("bad.json", `{"listen":"nowhere","discovery":"127.0.0.1:1","limits":{"sockets":1},"settings":`+settings+`}`)
	own := file("own.toml", "version = 1\n[log]\nlevel = \"warn\"\n# end\n")
	odd := file("odd.toml", "version = 1\n[log]\nlevel = \"loud\"\nfrom = 1\n# end\n")
	for _, c := range []struct {
		config, args string
		code         int
		want         []string // substrings of standard output if the code is 0, else of standard error
	}{
		{good, "check", 0, []string{"no fault"}},
		{good, "check --operator " + own, 0, []string{"no fault"}},
		{bad, "check --operator " + odd, 1, []string{bad + ":1:11: listen: ", bad + ":1:67: limits.sockets: 1; allowed: 64 or more\n", odd + ":4:1: log.from: unknown key"}},
		{"", "check", 1, []string{"LB_CONFIG: not set"}},
		{good, "config --operator " + own, 0, []string{"log.level", "warn", own, "settings.tick_ms", good, "limits.cores", "default"}},
		{good, "config --json", 0, []string{`"key": "log.level"`, `"from": "default"`}},
		{good, "version", 0, []string{"fieldrelay ", "file version 1"}},
		{good, "--help", 0, []string{"Exit codes", "check", "--operator=FILE"}},
		{good, "chekc", 2, []string{"chekc", "--help"}},
		{good, "check --fast", 2, []string{"--fast"}},
	} {
		var out, errs strings.Builder
		code := command(strings.Fields(c.args), func(key string) string {
			return map[string]string{"LB_CONFIG": c.config}[key]
		}, &out, &errs)
		output := out.String()
		if code != 0 {
			output = errs.String()
		}
		if code != c.code {
			t.Errorf("%s: code %d, %s", c.args, code, errs.String())
		}
		for _, want := range c.want {
			if !strings.Contains(output, want) {
				t.Errorf("%s: %q is not in\n%s", c.args, want, output)
			}
		}
	}
}
