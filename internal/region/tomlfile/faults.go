package tomlfile

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// FaultError is one fault of a file.
type FaultError struct {
	Key    string // key with its table, for example "bounds.contact-ms" or "replace[1].old"; empty if the file is not TOML
	Line   int    // line of the key, or else of the enclosing value or table, counted from 1; 0: none is in the file
	Reason string
}

// Error names the line, the key and the reason, each if known.
func (f *FaultError) Error() string {
	text := f.Reason
	if f.Key != "" {
		text = f.Key + ": " + text
	}
	if f.Line > 0 {
		text = fmt.Sprintf("line %d: %s", f.Line, text)
	}
	return text
}

// FaultsError lists all faults of a file, in the order of its lines.
type FaultsError struct {
	Format string // name of the file's format, with which the text begins
	Faults []*FaultError
}

// Error lists the faults.
func (e *FaultsError) Error() string {
	texts := make([]string, len(e.Faults))
	for index, fault := range e.Faults {
		texts[index] = fault.Error()
	}
	return e.Format + ": " + strings.Join(texts, "; ")
}

// Unwrap returns the faults, for errors.As.
func (e *FaultsError) Unwrap() []error {
	all := make([]error, len(e.Faults))
	for index, fault := range e.Faults {
		all[index] = fault
	}
	return all
}

// Join sorts faults by line and key and returns them as one *FaultsError. It returns nil if there are no faults.
func Join(format string, faults []*FaultError) error {
	if len(faults) == 0 {
		return nil
	}
	slices.SortStableFunc(faults, func(a, b *FaultError) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Key, b.Key))
	})
	return &FaultsError{Format: format, Faults: faults}
}
