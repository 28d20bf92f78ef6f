package main

import (
	"bytes"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/settings"
)

// FaultyFileError reports that a checked file or state folder has faults, which the command has already printed.
type FaultyFileError struct {
	Path   string
	Faults int
}

// Error names the file and the number of its faults.
func (e *FaultyFileError) Error() string { return fmt.Sprintf("%s: %d faults", e.Path, e.Faults) }

// checkCommand checks a settings file, a configuration or a state folder.
type checkCommand struct {
	File string `arg:"" type:"path" help:"Settings file (TOML), configuration (JSON) or state folder of a control machine."`
}

// Run prints every fault of the file, or the recovered content if the argument is a state folder.
func (c checkCommand) Run() error {
	if info, err := os.Stat(c.File); err == nil && info.IsDir() {
		return checkState(os.Stdout, c.File)
	}
	data, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read the file to check")
	}
	return check(os.Stdout, c.File, data)
}

// check prints every fault of a file's content, one per line, and returns a *FaultyFileError if there are any.
func check(output io.Writer, path string, data []byte) error {
	faults, err := faultsOf(data)
	if err != nil {
		return err
	}
	report := printer{output: output}
	for _, fault := range faults {
		report.line("%s: %s", path, fault)
	}
	if len(faults) > 0 {
		return &FaultyFileError{Path: path, Faults: len(faults)}
	}
	report.line("%s: no faults", path)
	return nil
}

// faultsOf returns the faults of a file's content. Content that begins with "{" is a configuration (JSON); any other
// content is a settings file (TOML).
func faultsOf(data []byte) ([]string, error) {
	if bytes.HasPrefix(bytes.TrimSpace(data), []byte("{")) {
		return configurationFaults(data)
	}
	return settingsFaults(data)
}

// settingsFaults returns the faults of a settings file.
func settingsFaults(data []byte) ([]string, error) {
	_, err := settings.Parse(data)
	var found *settings.FaultsError
	if err == nil || !errors.As(err, &found) {
		return nil, err
	}
	faults := make([]string, len(found.Faults))
	for index, fault := range found.Faults {
		faults[index] = fault.Error()
	}
	return faults, nil
}

// configurationFaults returns the faults of a configuration, checked as the replacement of
// an empty catalog.
func configurationFaults(data []byte) ([]string, error) {
	_, err := catalog.PrepareReplace(catalog.Empty(), 0, data)
	var found *catalog.InvalidError
	if err == nil || !errors.As(err, &found) {
		return nil, err
	}
	faults := make([]string, 0, len(found.Faults)+1)
	for _, fault := range found.Faults {
		faults = append(faults, fault.String())
	}
	if found.Omitted > 0 {
		faults = append(faults, fmt.Sprintf("%d more faults", found.Omitted))
	}
	return faults, nil
}
