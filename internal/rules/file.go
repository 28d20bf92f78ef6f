package rules

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"fieldrelay/internal/quota"
)

// FileVersion is the version of the rules' file that this program reads.
const FileVersion = 1

// MaxFileBytes bounds a rules' file, in bytes.
const MaxFileBytes = 256 << 10

// endMarker ends a file: one that is still being written does not pass for a whole one.
const endMarker = "# end"

// Fault is one thing that is wrong with a file. Line and Column are 0 where no place can be told.
type Fault struct {
	Line, Column int
	Key          string
	Text         string
}

func (f Fault) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "%d:%d: ", f.Line, f.Column)
	}
	if f.Key != "" {
		b.WriteString(f.Key + ": ")
	}
	return b.String() + f.Text
}

// file is the form of the file. Rates are parts of one.
type file struct {
	Version  int           `toml:"version"`
	Sampling *samplingFile `toml:"sampling"`
	Limits   *limitsFile   `toml:"limits"`
}

type samplingFile struct {
	Format  string      `toml:"format"`
	Salt    uint32      `toml:"salt"`
	Rate    float64     `toml:"rate"`
	Records uint32      `toml:"records_per_second"`
	Bytes   uint32      `toml:"bytes_per_second"`
	PerNode uint32      `toml:"node_records_per_second"`
	Least   uint32      `toml:"least_per_minute"`
	Failed  bool        `toml:"keep_failed"`
	Slow    uint32      `toml:"keep_slow_ms"`
	Classes []namedFile `toml:"class"`
	Tenants []namedFile `toml:"tenant"`
}

type namedFile struct {
	Name string  `toml:"name"`
	Rate float64 `toml:"rate"`
}

type limitsFile struct {
	Format string    `toml:"format"`
	Quota  quota.All `toml:"quota"`
}

// Parse reads the text of a rules' file into an edition without a number, or names all that is wrong with it.
func Parse(text []byte) (Edition, []Fault) {
	if len(text) > MaxFileBytes {
		return Edition{}, []Fault{{Text: fmt.Sprintf("%d bytes, %d at most", len(text), MaxFileBytes)}}
	}
	var faults []Fault
	trimmed := bytes.TrimRight(text, "\r\n\t ")
	if last := trimmed[bytes.LastIndexByte(trimmed, '\n')+1:]; string(last) != endMarker {
		faults = append(faults, Fault{Line: 1 + bytes.Count(trimmed, []byte("\n")), Column: 1, Text: fmt.Sprintf("the file may not be whole: its last line must be %q", endMarker)})
	}
	var f file
	d := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		var unknown *toml.StrictMissingError
		var syntax *toml.DecodeError
		switch {
		case errors.As(err, &unknown):
			for _, e := range unknown.Errors {
				line, column := e.Position()
				faults = append(faults, Fault{line, column, strings.Join(e.Key(), "."), "no such key"})
			}
		case errors.As(err, &syntax):
			line, column := syntax.Position()
			return Edition{}, append(faults, Fault{line, column, strings.Join(syntax.Key(), "."), strings.TrimPrefix(syntax.Error(), "toml: ")})
		default:
			return Edition{}, append(faults, Fault{Text: strings.TrimPrefix(err.Error(), "toml: ")})
		}
	}
	at := func(key string) (line, column int) { return findKey(text, key) }
	bad := func(key, format string, args ...any) {
		line, column := at(key)
		faults = append(faults, Fault{line, column, key, fmt.Sprintf(format, args...)})
	}
	if f.Version != FileVersion {
		bad("version", "%d; this program reads %d", f.Version, FileVersion)
	}
	var e Edition
	if s := f.Sampling; s != nil {
		format, err := ParseFormat(cmp.Or(s.Format, "1"))
		if err != nil {
			bad("sampling.format", "%v", err)
		}
		rate := func(key string, part float64) uint32 {
			if !(part >= 0 && part <= 1) {
				bad(key, "%g; 0 to 1 is taken", part)
				return 0
			}
			return Rate(part)
		}
		named := func(key string, from []namedFile) (to []NamedRate) {
			seen := map[string]bool{}
			for i, n := range from {
				k := fmt.Sprintf("%s[%d]", key, i)
				if n.Name == "" || len(n.Name) > maxNameBytes || seen[n.Name] {
					bad(k+".name", "%q; a name of 1 to %d bytes, once", n.Name, maxNameBytes)
				}
				seen[n.Name] = true
				to = append(to, NamedRate{n.Name, rate(k+".rate", n.Rate)})
			}
			return to
		}
		r := SamplingRules{Salt: uint64(s.Salt), Rate: rate("sampling.rate", s.Rate), MaxRecords: cmp.Or(s.Records, 100), MaxBytes: cmp.Or(s.Bytes, 64<<10), MaxRecordsPerNode: cmp.Or(s.PerNode, 50),
			MinPerMinute: s.Least, KeepFailed: s.Failed, KeepSlow: s.Slow, Classes: named("sampling.class", s.Classes), Tenants: named("sampling.tenant", s.Tenants)}
		if len(faults) == 0 {
			rule, err := SamplingRule(r, format)
			if err == nil && !Supported().Has(Sampling, format) {
				err = fmt.Errorf("format %s is not read by this program", format)
			}
			if err != nil {
				bad("sampling", "%v", err)
			}
			e.Rules = append(e.Rules, rule)
		}
	}
	if l := f.Limits; l != nil {
		format, err := ParseFormat(cmp.Or(l.Format, "1"))
		if err != nil || !Supported().Has(Limits, format) {
			bad("limits.format", "%q is not read by this program: %s is", l.Format, Reads{Limits: Supported()[Limits]})
		}
		l.Quota.Check(true, func(key string, read any, allowed string) { bad("limits.quota"+key, "%v; allowed: %s", read, allowed) })
		rule, err := LimitsRule(l.Quota)
		if err == nil {
			e.Rules = append(e.Rules, rule)
		}
	}
	slices.SortFunc(e.Rules, func(a, b Rule) int { return cmp.Compare(a.Kind, b.Kind) })
	if size := len(encode(e.Rules)); size > MaxBytes {
		faults = append(faults, Fault{Text: fmt.Sprintf("%d bytes of rules, %d at most", size, MaxBytes)})
	}
	if len(faults) > 0 {
		return Edition{}, faults
	}
	return e, nil
}

// place is where the last part of a key stands in a text, as far as a look at its lines tells: the n-th of its name for a
// table of several. 0, 0: it does not stand there.
func findKey(text []byte, key string) (line, column int) {
	parts := strings.Split(key, ".")
	last, table := parts[len(parts)-1], ""
	nth := 0
	for _, p := range parts[:len(parts)-1] {
		name, index, has := strings.Cut(p, "[")
		if table += name; has {
			_, _ = fmt.Sscanf(index, "%d]", &nth) // unreadable: the first one
		}
		table += "."
	}
	table = strings.TrimSuffix(table, ".")
	in, seen := table == "", -1
	n := 0
	for l := range strings.Lines(string(text)) {
		n++
		t := strings.TrimSpace(l)
		if strings.HasPrefix(t, "[") {
			name := strings.Trim(strings.SplitN(t, "#", 2)[0], "[] \t\r\n")
			if in = name == table; in {
				seen++
			}
			if name == key || name == table && last == "" {
				return n, 1 + strings.Index(l, "[")
			}
			continue
		}
		name, _, ok := strings.Cut(t, "=")
		if ok && in && strings.TrimSpace(name) == last && (table == "" || !strings.Contains(key, "[") || seen == nth) {
			return n, 1 + strings.Index(l, last)
		}
	}
	return 0, 0
}
