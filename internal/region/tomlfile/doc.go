// Package tomlfile decodes TOML files that people write, and reports all faults of a file at once, each with its key and
// line.
//
// A Format describes one kind of file. Format.Parse returns either the decoded value or a *FaultsError, which lists in
// the order of the lines: values of a wrong type, unknown keys (if the format denies them) and the faults that the
// format's own validation finds. Only for a file that is not TOML is a single fault reported, at the first syntax error:
// the text after it cannot be parsed.
package tomlfile
