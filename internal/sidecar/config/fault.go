package config

import (
	"fmt"
	"strings"
)

// Fault is an unusable or missing value.
type Fault struct {
	File         string
	Line, Column int // position of the value, from 1; 0: the file as a whole
	Key          string
	Read         string // value that was read; empty: the key is missing
	Allowed      string
}

// String returns one line with the position, the key, the value that was read and the allowed values.
func (f Fault) String() string {
	place := f.File
	if f.Line > 0 {
		place = fmt.Sprintf("%s:%d:%d", f.File, f.Line, f.Column)
	}
	read := f.Read
	if read == "" {
		read = "missing"
	}
	if f.Key == "" {
		return fmt.Sprintf("%s: %s; %s", place, read, f.Allowed)
	}
	return fmt.Sprintf("%s: %s: %s; allowed: %s", place, f.Key, read, f.Allowed)
}

// FaultsError lists all faults of a configuration, in the order of the files.
type FaultsError []Fault

// Error returns a line for each fault.
func (f FaultsError) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}

// err returns f as an error, or nil if there are no faults.
func (f FaultsError) err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// source is a file that was read, with the position of each key and the faults found.
type source struct {
	file   string
	leaves map[string]leaf
	faults FaultsError
}

// fault adds a fault for the value of a key.
func (s *source) fault(key string, read any, allowed string) {
	f := Fault{File: s.file, Key: key, Read: fmt.Sprint(read), Allowed: allowed}
	if l, ok := s.leaves[key]; ok {
		f.Line, f.Column = l.line, l.column
	}
	if text, ok := read.(string); ok {
		f.Read = fmt.Sprintf("%q", text)
	}
	s.faults = append(s.faults, f)
}

// under returns a variant of fault for keys relative to a section.
func (s *source) under(section string) func(key string, read any, allowed string) {
	return func(key string, read any, allowed string) { s.fault(section+"."+key, read, allowed) }
}

// missing adds a fault for a required key that the file does not set.
func (s *source) missing(key, allowed string) {
	s.faults = append(s.faults, Fault{File: s.file, Key: key, Allowed: allowed})
}

// has reports whether the file sets a key.
func (s *source) has(key string) bool {
	_, ok := s.leaves[key]
	return ok
}
