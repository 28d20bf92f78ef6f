// Package rules defines the rules that apply to a whole fleet: numbered editions of rules of several kinds, each in a versioned
// format, their canonical encoding, and the decisions that they make. It consists of functions without I/O. Package versionskew
// brings editions into force. docs/design/rules.md describes the design, docs/sidecar/rules.md is the page for operators.
package rules

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// Size limits of editions.
const (
	MaxBytes          = 64 << 10 // maximum size of an edition's canonical encoding
	MaxFormatSetBytes = 128      // maximum size of the text that lists the formats that a member reads
	maxKinds          = 8        // maximum number of kinds in an edition or a list of formats
)

// Kind is the subject of a rule.
type Kind string

// The kinds.
const (
	Sampling Kind = "sampling"
	Limits   Kind = "limits"
)

// Format is the version of the encoding of a kind's rules. A reader of a minor version reads all lower minor versions of the
// same major version.
type Format struct {
	Major uint8 `cbor:"1,keyasint"`
	Minor uint8 `cbor:"2,keyasint,omitempty"`
}

// String formats f as ParseFormat reads it.
func (f Format) String() string { return fmt.Sprintf("%d.%d", f.Major, f.Minor) }

// Compare orders formats by major, then by minor version.
func (f Format) Compare(g Format) int {
	return cmp.Or(cmp.Compare(f.Major, g.Major), cmp.Compare(f.Minor, g.Minor))
}

// ParseFormat parses "2" or "2.1".
func ParseFormat(text string) (f Format, err error) {
	major, minor, has := strings.Cut(text, ".")
	if _, err := fmt.Sscanf(major, "%d", &f.Major); err != nil || f.Major == 0 || fmt.Sprint(f.Major) != major {
		return Format{}, fmt.Errorf("format %q: want a major version over 0, optionally followed by a point and a minor version", text)
	}
	if _, err := fmt.Sscanf(minor, "%d", &f.Minor); has && (err != nil || fmt.Sprint(f.Minor) != minor) {
		return Format{}, fmt.Errorf("format %q: the minor version after the point is not a number", text)
	}
	return f, nil
}

// FormatSet holds the formats that a program reads, by kind: for each major version, the highest minor version.
type FormatSet map[Kind][]Format

// Supported returns the formats that this program reads.
func Supported() FormatSet {
	return FormatSet{Sampling: {{1, 0}, {2, 0}}, Limits: {{1, 0}}}
}

// String returns the text in a member's record, such as "limits 1.0;sampling 1.0,2.0".
func (r FormatSet) String() string {
	var kinds []string
	for k, formats := range r {
		var all []string
		for _, f := range slices.SortedFunc(slices.Values(formats), Format.Compare) {
			all = append(all, f.String())
		}
		kinds = append(kinds, string(k)+" "+strings.Join(all, ","))
	}
	slices.Sort(kinds)
	return strings.Join(kinds, ";")
}

// ParseFormatSet parses the text that FormatSet.String returns. The empty text is sent by a program that predates rules and
// reads no format.
func ParseFormatSet(text string) (FormatSet, error) {
	r := FormatSet{}
	if len(text) > MaxFormatSetBytes {
		return nil, fmt.Errorf("rules: list of supported formats has %d bytes, %d at most", len(text), MaxFormatSetBytes)
	}
	for part := range strings.SplitSeq(text, ";") {
		if part == "" {
			continue
		}
		kind, formats, ok := strings.Cut(part, " ")
		if !ok || kind == "" || len(r) >= maxKinds {
			return nil, fmt.Errorf("rules: malformed or surplus entry %q in the list of supported formats", part)
		}
		for f := range strings.SplitSeq(formats, ",") {
			format, err := ParseFormat(f)
			if err != nil {
				return nil, err
			}
			r[Kind(kind)] = append(r[Kind(kind)], format)
		}
	}
	return r, nil
}

// Has reports whether the set includes a format of a kind.
func (r FormatSet) Has(k Kind, f Format) bool {
	return slices.ContainsFunc(r[k], func(g Format) bool { return g.Major == f.Major && g.Minor >= f.Minor })
}

// Rule holds the rules of one kind, in the canonical encoding of their format.
type Rule struct {
	Kind   Kind   `cbor:"1,keyasint"`
	Format Format `cbor:"2,keyasint"`
	Body   []byte `cbor:"3,keyasint"`
}

// Digest is a hash of an edition's rules.
type Digest [sha256.Size]byte

// String returns the first six bytes of the digest in hexadecimal, for logs.
func (d Digest) String() string { return hex.EncodeToString(d[:6]) }

// Edition is a numbered set of rules. The zero Edition has no rules.
type Edition struct {
	Number uint64 `cbor:"1,keyasint"`
	Rules  []Rule `cbor:"2,keyasint"` // sorted by kind
}

// Digest returns the digest of the rules. It does not depend on the edition's number.
func (e Edition) Digest() Digest { return sha256.Sum256(encode(e.Rules)) }

// Find returns the rule of a kind, and whether the edition has one.
func (e Edition) Find(k Kind) (Rule, bool) {
	i := slices.IndexFunc(e.Rules, func(r Rule) bool { return r.Kind == k })
	if i < 0 {
		return Rule{}, false
	}
	return e.Rules[i], true
}

// canonical is the encoding mode of the canonical form.
var canonical = func() cbor.EncMode {
	m, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // never: the options are constants
	}
	return m
}()

// strict is the decoding mode of rule bodies: an unknown or repeated key is an error.
var strict = func() cbor.DecMode {
	m, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, MaxNestedLevels: 8,
		MaxArrayElements: 1 << 14, MaxMapPairs: 1 << 10, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// encode returns the canonical encoding of a value.
func encode(v any) []byte {
	b, err := canonical.Marshal(v)
	if err != nil {
		panic(err) // never: the values consist of numbers, text and lists of them
	}
	return b
}

// ReadError reports which rule of an edition cannot be read, and why.
type ReadError struct {
	Kind   Kind
	Format Format
	Reason string // such as "kind not known" or "format not read, only sampling 1.0"
}

// Error formats the error for operators.
func (r *ReadError) Error() string { return fmt.Sprintf("rules %s %s: %s", r.Kind, r.Format, r.Reason) }

// Compiled is an edition with its rules decoded.
type Compiled struct {
	Edition  Edition
	Sampling *SamplingRules // nil: the edition has no such rule
	Limits   *LimitRules    // nil: the edition has no such rule
}

// Read decodes an edition as a program that reads the given formats does. The error is a *ReadError, or a plain error if the
// edition as a whole is too long or malformed.
func Read(e Edition, reads FormatSet) (*Compiled, error) {
	c := &Compiled{Edition: e}
	if size := len(encode(e.Rules)); size > MaxBytes {
		return nil, fmt.Errorf("rules: edition has %d bytes, %d at most", size, MaxBytes)
	}
	if len(e.Rules) > maxKinds || !slices.IsSortedFunc(e.Rules, func(a, b Rule) int { return cmp.Compare(a.Kind, b.Kind) }) {
		return nil, errors.New("rules: edition has too many rules, or they are not sorted by kind")
	}
	for i, r := range e.Rules {
		bad := func(format string, args ...any) error {
			return &ReadError{r.Kind, r.Format, fmt.Sprintf(format, args...)}
		}
		if i > 0 && e.Rules[i-1].Kind == r.Kind {
			return nil, bad("kind occurs twice")
		}
		if _, known := reads[r.Kind]; !known {
			return nil, bad("kind not known")
		}
		if !reads.Has(r.Kind, r.Format) {
			return nil, bad("format not read, only %s", FormatSet{r.Kind: reads[r.Kind]})
		}
		var err error
		switch r.Kind {
		case Sampling:
			c.Sampling, err = readSampling(r)
		case Limits:
			c.Limits, err = readLimits(r)
		default:
			err = errors.New("kind not known")
		}
		if err != nil {
			return nil, bad("%v", err)
		}
	}
	return c, nil
}

// decodeBody decodes a body into v. It rejects a body that is not in canonical form, since the same rules in another form have
// another digest.
func decodeBody(r Rule, v any) error {
	if err := strict.Unmarshal(r.Body, v); err != nil {
		return fmt.Errorf("body cannot be decoded: %w", err)
	}
	if !slices.Equal(encode(v), r.Body) {
		return errors.New("body is not in its canonical form")
	}
	return nil
}

// Downgrade rewrites an edition in formats that a program reads. lost names each feature that this drops. If lost is not empty,
// the edition must not be used.
func Downgrade(e Edition, reads FormatSet) (downgraded Edition, lost []string) {
	downgraded.Number = e.Number
	for _, r := range e.Rules {
		if reads.Has(r.Kind, r.Format) {
			downgraded.Rules = append(downgraded.Rules, r)
			continue
		}
		if r.Kind == Sampling && r.Format.Major == 2 && reads.Has(Sampling, Format{1, 0}) {
			one, missing := downgradeSampling(r)
			lost = append(lost, missing...)
			downgraded.Rules = append(downgraded.Rules, one)
			continue
		}
		lost = append(lost, fmt.Sprintf("all of %s %s", r.Kind, r.Format))
	}
	return downgraded, lost
}
