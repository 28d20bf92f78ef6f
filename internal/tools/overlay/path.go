package main

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// A path addresses values in a site: keys separated by dots, each with an optional selector of list entries in
// brackets: [*] for all entries, [key=value] for the entries with this value of the key. Example:
// "classes[name=till-help].stream.resume".

// step is one key of a path with its optional selector.
type step struct {
	key      string
	selected bool   // a selector follows the key
	field    string // key in the selector; "*" selects all entries
	value    string
}

// PathError reports a path that is invalid or matches nothing in the site.
type PathError struct {
	Path   string
	Reason string
}

// Error implements error.
func (e *PathError) Error() string { return fmt.Sprintf("path %q: %s", e.Path, e.Reason) }

func parsePath(path string) ([]step, error) {
	var steps []step
	for _, part := range strings.Split(path, ".") {
		key, selector, found := strings.Cut(part, "[")
		parsed := step{key: key, selected: found}
		if found {
			selector = strings.TrimSuffix(selector, "]")
			parsed.field, parsed.value, _ = strings.Cut(selector, "=")
		}
		if key == "" {
			return nil, &PathError{Path: path, Reason: "contains an empty key"}
		}
		steps = append(steps, parsed)
	}
	return steps, nil
}

// parents returns every table that the path without its last step addresses, and the last step.
func parents(site map[string]any, path string) ([]map[string]any, step, error) {
	steps, err := parsePath(path)
	if err != nil {
		return nil, step{}, err
	}
	tables := []map[string]any{site}
	for _, current := range steps[:len(steps)-1] {
		tables, err = descend(tables, current, path)
		if err != nil {
			return nil, step{}, err
		}
	}
	return tables, steps[len(steps)-1], nil
}

// descend returns the tables that one step of the path reaches from the given tables.
func descend(tables []map[string]any, current step, path string) ([]map[string]any, error) {
	var found []map[string]any
	for _, table := range tables {
		if current.selected {
			found = append(found, selectEntries(table[current.key], current)...)
			continue
		}
		if next, ok := table[current.key].(map[string]any); ok {
			found = append(found, next)
		}
	}
	if len(found) == 0 {
		return nil, &PathError{Path: path, Reason: "no table found at " + current.key}
	}
	return found, nil
}

func selectEntries(list any, selector step) []map[string]any {
	var found []map[string]any
	entries, _ := list.([]any)
	for _, entry := range entries {
		if table, ok := entry.(map[string]any); ok && selector.matches(table) {
			found = append(found, table)
		}
	}
	return found
}

func (s step) matches(table map[string]any) bool {
	return s.field == "*" || fmt.Sprint(table[s.field]) == s.value
}

// setAt sets the value at every location that the path matches.
func setAt(site map[string]any, path string, value any) error {
	tables, last, err := parents(site, path)
	if err != nil {
		return err
	}
	if last.selected {
		return errors.WithStack(&PathError{Path: path, Reason: "the last step must not select list entries when a value is set"})
	}
	for _, table := range tables {
		table[last.key] = value
	}
	return nil
}

// appendAt appends the value to every list that the path matches; a missing list is created.
func appendAt(site map[string]any, path string, value any) error {
	tables, last, err := parents(site, path)
	if err != nil {
		return err
	}
	for _, table := range tables {
		list, _ := table[last.key].([]any)
		table[last.key] = append(list, value)
	}
	return nil
}

// removeAt removes the values that the path matches or, if the last step has a selector, the matching list entries.
func removeAt(site map[string]any, path string) error {
	tables, last, err := parents(site, path)
	if err != nil {
		return err
	}
	for _, table := range tables {
		if !last.selected {
			delete(table, last.key)
			continue
		}
		table[last.key] = withoutMatches(table[last.key], last)
	}
	return nil
}

func withoutMatches(list any, selector step) []any {
	remaining := []any{}
	entries, _ := list.([]any)
	for _, entry := range entries {
		table, ok := entry.(map[string]any)
		if !ok || !selector.matches(table) {
			remaining = append(remaining, entry)
		}
	}
	return remaining
}
