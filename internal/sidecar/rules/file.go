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

// FileVersion is the version of the file of rules that this program reads.
const FileVersion = 1

// MaxFileBytes is the size limit of a file of rules.
const MaxFileBytes = 256 << 10

// endMarker is the last line of a file: without it, a file that is still being written could pass for a complete one.
const endMarker = "# end"

// Fault is one fault of a file. Line and Column are 0 if its position is not known.
type Fault struct {
	Line, Column int
	Key          string
	Text         string
}

// String is the fault as operators see it.
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

// file is the form of the file. Rates are fractions.
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
	Format string             `toml:"format"`
	Quota  quota.SettingsList `toml:"quota"`
}

// parser parses a file of rules and collects its faults.
type parser struct {
	text   []byte
	faults []Fault
}

// Parse parses the text of a file of rules into an edition without a number, or returns all faults of it.
func Parse(text []byte) (Edition, []Fault) {
	if len(text) > MaxFileBytes {
		return Edition{}, []Fault{{Text: fmt.Sprintf("%d bytes, %d at most", len(text), MaxFileBytes)}}
	}
	p := &parser{text: text}
	p.checkEnd()
	var f file
	if !p.decode(&f) {
		return Edition{}, p.faults
	}
	if f.Version != FileVersion {
		p.fault("version", "%d; this program reads %d", f.Version, FileVersion)
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
		p.faults = append(p.faults, Fault{Text: fmt.Sprintf("%d bytes of rules, %d at most", size, MaxBytes)})
	}
	if len(p.faults) > 0 {
		return Edition{}, p.faults
	}
	return e, nil
}

// fault adds a fault of the value of a key.
func (p *parser) fault(key, format string, args ...any) {
	line, column := findKey(p.text, key)
	p.faults = append(p.faults, Fault{line, column, key, fmt.Sprintf(format, args...)})
}

// checkEnd checks that the file ends with its marker.
func (p *parser) checkEnd() {
	trimmed := bytes.TrimRight(p.text, "\r\n\t ")
	if last := trimmed[bytes.LastIndexByte(trimmed, '\n')+1:]; string(last) != endMarker {
		p.faults = append(p.faults, Fault{Line: 1 + bytes.Count(trimmed, []byte("\n")), Column: 1,
			Text: fmt.Sprintf("the file may not be whole: its last line must be %q", endMarker)})
	}
}

// decode decodes the text. It reports whether the result can be looked at: only its keys may be at fault then.
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

// sampling makes the rule of sampling, if there are no faults so far.
func (p *parser) sampling(s *samplingFile) []Rule {
	format, err := ParseFormat(cmp.Or(s.Format, "1"))
	if err != nil {
		p.fault("sampling.format", "%v", err)
	}
	r := SamplingRules{Salt: uint64(s.Salt), Rate: p.rate("sampling.rate", s.Rate),
		MaxRecords: cmp.Or(s.Records, 100), MaxBytes: cmp.Or(s.Bytes, 64<<10), MaxRecordsPerNode: cmp.Or(s.PerNode, 50),
		MinPerMinute: s.Least, KeepFailed: s.Failed, KeepSlow: s.Slow,
		Classes: p.namedRates("sampling.class", s.Classes), Tenants: p.namedRates("sampling.tenant", s.Tenants)}
	if len(p.faults) > 0 {
		return nil
	}
	rule, err := SamplingRule(r, format)
	if err == nil && !Supported().Has(Sampling, format) {
		err = fmt.Errorf("format %s is not read by this program", format)
	}
	if err != nil {
		p.fault("sampling", "%v", err)
	}
	return []Rule{rule}
}

// rate checks a rate.
func (p *parser) rate(key string, fraction float64) uint32 {
	if !(fraction >= 0 && fraction <= 1) { // which NaN is not either
		p.fault(key, "%g; 0 to 1 is taken", fraction)
		return 0
	}
	return Rate(fraction)
}

// namedRates checks the rates of classes or tenants.
func (p *parser) namedRates(key string, from []namedFile) (rates []NamedRate) {
	seen := make(map[string]bool)
	for i, n := range from {
		k := fmt.Sprintf("%s[%d]", key, i)
		if n.Name == "" || len(n.Name) > maxNameBytes || seen[n.Name] {
			p.fault(k+".name", "%q; a name of 1 to %d bytes, once", n.Name, maxNameBytes)
		}
		seen[n.Name] = true
		rates = append(rates, NamedRate{n.Name, p.rate(k+".rate", n.Rate)})
	}
	return rates
}

// limits makes the rule of limits, if they are valid.
func (p *parser) limits(l *limitsFile) []Rule {
	format, err := ParseFormat(cmp.Or(l.Format, "1"))
	if err != nil || !Supported().Has(Limits, format) {
		p.fault("limits.format", "%q is not read by this program: %s is", l.Format, FormatSet{Limits: Supported()[Limits]})
	}
	l.Quota.Check(true, func(key string, read any, allowed string) {
		p.fault("limits.quota"+key, "%v; allowed: %s", read, allowed)
	})
	rule, err := LimitsRule(l.Quota)
	if err != nil { // a fault already
		return nil
	}
	return []Rule{rule}
}

// findKey returns the position of the last part of a key in a text, as far as its lines show that; in an array of tables, of the
// n-th table. 0, 0: the key is not there.
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
