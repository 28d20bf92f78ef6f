package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"fieldrelay/internal/region/policy"
)

// variant is one configuration of the system: a revision with a list of disabled mechanisms.
type variant struct {
	name     string
	revision string
	off      []string // disabled mechanisms
	folder   string   // path of the variant's clone
}

// VariantError reports an invalid variant argument.
type VariantError struct {
	Text   string
	Reason string
}

// Error implements error.
func (e *VariantError) Error() string { return fmt.Sprintf("variant %q: %s", e.Text, e.Reason) }

// parseVariants parses arguments of the form NAME=REVISION[:MECHANISM,...]. The error is a *VariantError.
func parseVariants(texts []string) ([]*variant, error) {
	seen := map[string]bool{}
	var variants []*variant
	for _, text := range texts {
		name, rest, found := strings.Cut(text, "=")
		if !found || name == "" || rest == "" {
			return nil, &VariantError{Text: text, Reason: "must be NAME=REVISION[:MECHANISM,...]"}
		}
		if seen[name] {
			return nil, &VariantError{Text: text, Reason: "duplicate name"}
		}
		seen[name] = true
		read := &variant{name: name}
		var off string
		read.revision, off, _ = strings.Cut(rest, ":")
		if off != "" {
			read.off = strings.Split(off, ",")
		}
		if _, err := policy.Parse(read.off); err != nil {
			return nil, &VariantError{Text: text, Reason: err.Error()}
		}
		variants = append(variants, read)
	}
	return variants, nil
}

const (
	deployFile   = "deploy/system.toml"
	proxyCommand = "fieldrelay-region proxy"
)

// clone clones the repository at the variant's revision and disables the variant's mechanisms in the deployed proxies.
func (v *variant) clone(repository, work string) error {
	v.folder = filepath.Join(work, v.name)
	if err := command("", "git", "clone", "--quiet", repository, v.folder); err != nil {
		return err
	}
	if err := command(v.folder, "git", "checkout", "--quiet", v.revision); err != nil {
		return err
	}
	if len(v.off) == 0 {
		return nil
	}
	path := filepath.Join(v.folder, deployFile)
	deploy, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	switched := strings.Replace(string(deploy), proxyCommand, proxyCommand+" --off="+strings.Join(v.off, ","), 1)
	return os.WriteFile(path, []byte(switched), 0o644)
}

// command runs a program in a folder. Its error includes the end of the program's output.
func command(folder, program string, arguments ...string) error {
	running := exec.Command(program, arguments...)
	running.Dir = folder
	printed, err := running.CombinedOutput()
	if err != nil {
		return fmt.Errorf("%s %s: %w: %s", program, strings.Join(arguments, " "), err, outputTail(printed))
	}
	return nil
}

// maxOutputTail is the maximum number of bytes of a program's output in an error.
const maxOutputTail = 400

func outputTail(printed []byte) string {
	if len(printed) > maxOutputTail {
		printed = printed[len(printed)-maxOutputTail:]
	}
	return strings.TrimSpace(string(printed))
}
