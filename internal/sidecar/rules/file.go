package rules

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"fieldrelay/internal/sidecar/quota"
)

// FileVersion is the version of the rules file that this program reads.
const FileVersion = 1

// MaxFileBytes is the size limit of a rules file.
const MaxFileBytes = 256 << 10

// endMarker is the required last line of a rules file. It tells a complete file from one that is still being written.
const endMarker = "# end"

// Fault is an error in a rules file. Line and Column are 0 if its position is not known.
type Fault struct {
	Line, Column int
	Key          string
	Text         string
}

// String formats the fault for operators.
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

// file is the TOML schema of a rules file. Rates are fractions from 0 to 1.
type file struct {
	Version  int           `toml:"version"`
	Sampling *samplingFile `toml:"sampling"`
	Limits   *limitsFile   `toml:"limits"`
}

type samplingFile struct {
	Format            string          `toml:"format"`
	Salt              uint32          `toml:"salt"`
	Rate              float64         `toml:"rate"`
	MaxRecords        uint32          `toml:"records_per_second"`
	MaxBytes          uint32          `toml:"bytes_per_second"`
	MaxRecordsPerNode uint32          `toml:"node_records_per_second"`
	MinPerMinute      uint32          `toml:"least_per_minute"`
	KeepFailed        bool            `toml:"keep_failed"`
	KeepSlowMillis    uint32          `toml:"keep_slow_ms"`
	Classes           []namedRateFile `toml:"class"`
	Tenants           []namedRateFile `toml:"tenant"`
}

type namedRateFile struct {
	Name string  `toml:"name"`
	Rate float64 `toml:"rate"`
}

type limitsFile struct {
	Format string             `toml:"format"`
	Quota  quota.SettingsList `toml:"quota"`
}

// parser parses a rules file and collects its faults.
type parser struct {
	text   []byte
	faults []Fault
}

// Parse parses the text of a rules file into an edition without a number, or returns all faults found in it.
func Parse(text []byte) (Edition, []Fault) {
	if len(text) > MaxFileBytes {
		return Edition{}, []Fault{{Text: fmt.Sprintf("rules file has %d bytes, %d at most", len(text), MaxFileBytes)}}
	}
	p := &parser{text: text}
	p.checkEnd()
	var f file
	if !p.decode(&f) {
		return Edition{}, p.faults
	}
	if f.Version != FileVersion {
		p.fault("version", "version %d is not supported; this program reads version %d", f.Version, FileVersion)
	}
	var e Edition
	if f.Sampling != nil {
		e.Rules = append(e.Rules, p.sampling(f.Sampling)...)
	}
	if f.Limits != nil {
		e.Rules = append(e.Rules, p.limits(f.Limits)...)
	}
	slices.SortFunc(e.Rules, func(a, b Rule) int { return cmp.Compare(a.Kind, b.Kind) })
	if size := len(encode(e.Rules)); size > MaxBytes {
		p.faults = append(p.faults, Fault{Text: fmt.Sprintf("the file encodes to %d bytes of rules, %d at most", size, MaxBytes)})
	}
	if len(p.faults) > 0 {
		return Edition{}, p.faults
	}
	return e, nil
}

// fault records a fault in the value of a key, with the key's position in the file.
func (p *parser) fault(key, format string, args ...any) {
	line, column := findKey(p.text, key)
	p.faults = append(p.faults, Fault{line, column, key, fmt.Sprintf(format, args...)})
}

// checkEnd checks that the file ends with endMarker.
func (p *parser) checkEnd() {
	trimmed := bytes.TrimRight(p.text, "\r\n\t ")
	if last := trimmed[bytes.LastIndexByte(trimmed, '\n')+1:]; string(last) != endMarker {
		p.faults = append(p.faults, Fault{Line: 1 + bytes.Count(trimmed, []byte("\n")), Column: 1,
			Text: fmt.Sprintf("the file may be incomplete: its last line must be %q", endMarker)})
	}
}

// decode decodes the text. It reports whether f may be used, which is so if unknown keys are the only faults.
func (p *parser) decode(f *file) bool {
	err := toml.NewDecoder(bytes.NewReader(p.text)).DisallowUnknownFields().Decode(f)
	var unknown *toml.StrictMissingError
	var syntax *toml.DecodeError
	switch {
	case err == nil:
		return true
	case errors.As(err, &unknown):
		for _, e := range unknown.Errors {
			line, column := e.Position()
			p.faults = append(p.faults, Fault{line, column, strings.Join(e.Key(), "."), "no such key"})
		}
		return true
	case errors.As(err, &syntax):
		line, column := syntax.Position()
		p.faults = append(p.faults, Fault{line, column, strings.Join(syntax.Key(), "."), strings.TrimPrefix(syntax.Error(), "toml: ")})
	default:
		p.faults = append(p.faults, Fault{Text: strings.TrimPrefix(err.Error(), "toml: ")})
	}
	return false
}

// sampling returns the sampling rule, or nil if any fault was found so far.
func (p *parser) sampling(s *samplingFile) []Rule {
	format, err := ParseFormat(cmp.Or(s.Format, "1"))
	if err != nil {
		p.fault("sampling.format", "%v", err)
	}
	r := SamplingRules{Salt: uint64(s.Salt), Rate: p.rate("sampling.rate", s.Rate),
		MaxRecords: cmp.Or(s.MaxRecords, 100), MaxBytes: cmp.Or(s.MaxBytes, 64<<10), MaxRecordsPerNode: cmp.Or(s.MaxRecordsPerNode, 50),
		MinPerMinute: s.MinPerMinute, KeepFailed: s.KeepFailed, KeepSlow: s.KeepSlowMillis,
		Classes: p.namedRates("sampling.class", s.Classes), Tenants: p.namedRates("sampling.tenant", s.Tenants)}
	if len(p.faults) > 0 {
		return nil
	}
	rule, err := SamplingRule(r, format)
	if err == nil && !Supported().Has(Sampling, format) {
		err = fmt.Errorf("format %s is not supported by this program", format)
	}
	if err != nil {
		p.fault("sampling", "%v", err)
	}
	return []Rule{rule}
}

// rate converts a fraction to a rate and records a fault if it is not from 0 to 1.
func (p *parser) rate(key string, fraction float64) uint32 {
	if !(fraction >= 0 && fraction <= 1) { // negated, so that NaN is rejected too
		p.fault(key, "%g; allowed: 0 to 1", fraction)
		return 0
	}
	return Rate(fraction)
}

// namedRates converts and checks the rates of classes or tenants.
func (p *parser) namedRates(key string, from []namedRateFile) (rates []NamedRate) {
	seen := make(map[string]bool)
	for i, n := range from {
		k := fmt.Sprintf("%s[%d]", key, i)
		if n.Name == "" || len(n.Name) > maxNameBytes || seen[n.Name] {
			p.fault(k+".name", "%q is empty, too long or a duplicate; allowed: a name of 1 to %d bytes, once", n.Name, maxNameBytes)
		}
		seen[n.Name] = true
		rates = append(rates, NamedRate{n.Name, p.rate(k+".rate", n.Rate)})
	}
	return rates
}

// limits returns the limits rule, or nil if a limit is invalid.
func (p *parser) limits(l *limitsFile) []Rule {
	format, err := ParseFormat(cmp.Or(l.Format, "1"))
	if err != nil || !Supported().Has(Limits, format) {
		p.fault("limits.format", "format %q is not supported by this program, which reads %s", l.Format, FormatSet{Limits: Supported()[Limits]})
	}
	l.Quota.Check(true, func(key string, read any, allowed string) {
		p.fault("limits.quota"+key, "%v; allowed: %s", read, allowed)
	})
	rule, err := LimitsRule(l.Quota)
	if err != nil { // l.Quota.Check has recorded the fault
		return nil
	}
	return []Rule{rule}
}

// findKey returns the line and column of the last part of a key in a TOML text, or 0, 0 if the key is not found. It matches
// lines rather than parsing the text. In an array of tables it finds the key in the table with the given index.
func findKey(text []byte, key string) (line, column int) {
	parts := strings.Split(key, ".")
	last, table := parts[len(parts)-1], ""
	nth := 0
	for _, p := range parts[:len(parts)-1] {
		name, index, has := strings.Cut(p, "[")
		if table += name; has {
			_, _ = fmt.Sscanf(index, "%d]", &nth) // on a malformed index, the first table is searched
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
