package versionskew

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"fieldrelay/internal/sidecar/rules"
	"fieldrelay/internal/sidecar/versionskew/settings"
)

// Configure returns the configuration of a machine that follows from the settings; nil: rules are off. An error names the format in
// the settings that this program does not read.
func Configure(s settings.Settings) (*Config, error) {
	if !s.On {
		return nil, nil
	}
	c := &Config{Reads: rules.Supported(), Lower: s.Policy == "lower", MaxBehind: s.MaxBehind, ReturnTimeout: s.ReturnTimeout(), ReplyTimeout: s.ReplyTimeout()}
	if len(s.Reads) == 0 {
		return c, nil
	}
	reads := rules.FormatSet{}
	for _, text := range s.Reads {
		kind, format, _ := strings.Cut(text, " ")
		f, err := rules.ParseFormat(strings.TrimSpace(format))
		if err != nil || !rules.Supported().Has(rules.Kind(kind), f) {
			return nil, fmt.Errorf("rules.reads: %q is no format that this program reads, which are %s", text, rules.Supported())
		}
		reads[rules.Kind(kind)] = append(reads[rules.Kind(kind)], f)
	}
	c.Reads = reads
	return c, nil
}

// ReadFile reads the rules file that is to be pushed. The error has a line for each fault.
func ReadFile(path string) (rules.Edition, error) {
	info, err := os.Stat(path)
	if err == nil && info.Size() > rules.MaxFileBytes {
		err = fmt.Errorf("the file has %d bytes, expected at most %d", info.Size(), rules.MaxFileBytes)
	}
	var text []byte
	if err == nil {
		text, err = os.ReadFile(path)
	}
	if err != nil {
		return rules.Edition{}, fmt.Errorf("rules.file: %w", err)
	}
	e, faults := rules.Parse(text)
	var errs []error
	for _, f := range faults {
		errs = append(errs, fmt.Errorf("%s:%s", path, f))
	}
	return e, errors.Join(errs...)
}
