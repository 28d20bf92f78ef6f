// Package knownred tests the script by which CI passes over the tests that are known to be red.
package knownred

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestKnownRed(t *testing.T) {
	const one = "internal/testkit/knownred TestKnownRed | go test ./internal/testkit/knownred, seed 7 | it took too long | issue 36\n"
	for name, c := range map[string]struct {
		text, out, fault string
	}{
		"empty":             {"\n \n", "", ""},
		"one":               {one, "internal/testkit/knownred TestKnownRed\n", ""},
		"four":              {strings.Repeat(one, 4), strings.Repeat("internal/testkit/knownred TestKnownRed\n", 4), ""},
		"no line end":       {strings.TrimSpace(one), "internal/testkit/knownred TestKnownRed\n", ""},
		"the last is bad":   {one + one + "internal/testkit/knownred TestKnownRed | go test | slow |", "", ":3: no issue"},
		"no command":        {"internal/testkit/knownred TestKnownRed | | slow | issue 36", "", ":1: no command"},
		"nothing seen":      {"internal/testkit/knownred TestKnownRed | go test | | issue 36", "", ":1: it is not told what was seen"},
		"no issue":          {"internal/testkit/knownred TestKnownRed | go test | slow |", "", ":1: no issue"},
		"no number":         {"internal/testkit/knownred TestKnownRed | go test | slow | issue", "", ":1: no issue"},
		"the former form":   {"internal/testkit/knownred TestKnownRed | slow | issue 36", "", ":1: no issue"},
		"nothing but names": {"internal/testkit/knownred TestKnownRed", "", ":1: no command"},
		"more":              {"internal/testkit/knownred TestKnownRed | go test | slow | issue 3 | more", "", ":1: not of the form"},
		"no package":        {"TestKnownRed | go test | slow | issue 3", "", ":1: not of the form"},
		"no such test":      {"internal/testkit/knownred TestKnownBlue | go test | slow | issue 3", "", ":1: internal/testkit/knownred has no TestKnownBlue"},
		"a pattern":         {"internal/testkit/knownred Test.* | go test | slow | issue 3", "", ":1: Test.*: not the name"},
		"a subtest":         {"internal/testkit/knownred TestKnownRed/one | go test | slow | issue 3", "", ":1: TestKnownRed/one: not the name"},
	} {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "red.txt")
			if err := os.WriteFile(file, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			script := exec.Command("bash", ".ci/known-red", file)
			script.Dir = "../../.."
			var said strings.Builder
			script.Stderr = &said
			out, err := script.Output()
			if c.fault != "" {
				if err == nil || !strings.Contains(said.String(), file+c.fault) {
					t.Errorf("%v, said %q, want %q", err, said.String(), c.fault)
				}
				return
			}
			if diff := cmp.Diff(c.out, string(out)); err != nil || diff != "" {
				t.Errorf("%v, said %q (-want +got):\n%s", err, said.String(), diff)
			}
		})
	}
	if out, err := exec.Command("bash", "../../../.ci/known-red", filepath.Join(t.TempDir(), "absent")).Output(); err != nil || len(out) > 0 {
		t.Errorf("absent: %v, %q", err, out)
	}
}
