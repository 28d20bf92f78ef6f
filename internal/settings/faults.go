package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one thing that is wrong with a settings file.
type Fault struct {
	Key    string // with its table, for example "bounds.contact-ms"; empty if the file is not TOML
	Line   int    // counted from 1; 0 if the key is not in the file
	Reason string
}

func (f *Fault) Error() string {
	text := f.Reason
	if f.Key != "" {
		text = f.Key + ": " + text
	}
	if f.Line > 0 {
		text = fmt.Sprintf("line %d: %s", f.Line, text)
	}
	return text
}

// FaultsError lists everything that is wrong with a settings file, in the order of its lines.
type FaultsError struct {
	Faults []*Fault
}

func (e *FaultsError) Error() string {
	texts := make([]string, len(e.Faults))
	for index, fault := range e.Faults {
		texts[index] = fault.Error()
	}
	return "settings: " + strings.Join(texts, "; ")
}

// Unwrap returns the faults, for errors.As.
func (e *FaultsError) Unwrap() []error {
	all := make([]error, len(e.Faults))
	for index, fault := range e.Faults {
		all[index] = fault
	}
	return all
}

// joinFaults returns nil for no faults.
func joinFaults(faults []*Fault) error {
	if len(faults) == 0 {
		return nil
	}
	slices.SortStableFunc(faults, func(a, b *Fault) int {
		if order := cmp.Compare(a.Line, b.Line); order != 0 {
			return order
		}
		return cmp.Compare(a.Key, b.Key)
	})
	return &FaultsError{Faults: faults}
}
