package rules

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
)

// SamplingRules say which traces are captured. Rates are fractions, in units of 1/RateUnit.
type SamplingRules struct {
	Salt              uint64      `cbor:"1,keyasint"`
	Rate              uint32      `cbor:"2,keyasint"`           // of traces without a rate of their own
	Classes           []NamedRate `cbor:"3,keyasint,omitempty"` // by name
	MaxRecords        uint32      `cbor:"4,keyasint"`           // a second, of a sidecar
	MaxBytes          uint32      `cbor:"5,keyasint"`           // a second, of a sidecar
	MaxRecordsPerNode uint32      `cbor:"6,keyasint"`           // a second and execute node, of a sidecar
	MinPerMinute      uint32      `cbor:"7,keyasint,omitempty"` // traces a minute of each class that are captured if there are so many
	// Of format 2.
	Tenants    []NamedRate `cbor:"8,keyasint,omitempty"`  // by name; takes precedence over the class's
	KeepFailed bool        `cbor:"9,keyasint,omitempty"`  // failed traces are kept when they have ended
	KeepSlow   uint32      `cbor:"10,keyasint,omitempty"` // milliseconds: slower traces are kept likewise; 0: none
}

// NamedRate is the rate of a class or a tenant.
type NamedRate struct {
	Name string `cbor:"1,keyasint"`
	Rate uint32 `cbor:"2,keyasint"`
}

// RateUnit is the rate at which all traces are captured.
const RateUnit = 1 << 20

const (
	maxNamedRates = 512
	maxNameBytes  = 64
	maxCap        = 1 << 20
)

// check returns what is invalid in a format.
func (s *SamplingRules) check(f Format) error {
	if f.Major == 1 && (len(s.Tenants) > 0 || s.KeepFailed || s.KeepSlow > 0) {
		return errors.New("tenants, failed and slow are of format 2")
	}
	if s.Rate > RateUnit {
		return fmt.Errorf("rate %d of %d", s.Rate, RateUnit)
	}
	for what, v := range map[string]uint32{"records": s.MaxRecords, "bytes": s.MaxBytes, "per_node": s.MaxRecordsPerNode} {
		if v == 0 || v > maxCap && what != "bytes" {
			return fmt.Errorf("%s %d, 1 to %d are taken", what, v, maxCap)
		}
	}
	for _, all := range [][]NamedRate{s.Classes, s.Tenants} {
		if len(all) > maxNamedRates {
			return fmt.Errorf("%d rates, %d at most", len(all), maxNamedRates)
		}
		for i, n := range all {
			if n.Name == "" || len(n.Name) > maxNameBytes || n.Rate > RateUnit {
				return fmt.Errorf("rate %d of %q", n.Rate, n.Name)
			}
			if i > 0 && all[i-1].Name >= n.Name {
				return fmt.Errorf("%q is not in its place, or twice", n.Name)
			}
		}
	}
	return nil
}

// RateOf returns the rate of traces of a class and a tenant.
func (s *SamplingRules) RateOf(class, tenant string) uint32 {
	for _, look := range []struct {
		in   []NamedRate
		name string
	}{{s.Tenants, tenant}, {s.Classes, class}} {
		i, ok := slices.BinarySearchFunc(look.in, look.name, func(n NamedRate, name string) int { return cmp.Compare(n.Name, name) })
		if ok && look.name != "" {
			return look.in[i].Rate
		}
	}
	return s.Rate
}

// Captures reports whether a trace with a hash is captured at a rate. A trace that is captured at a rate is so at each higher one.
func Captures(hash uint64, rate uint32) bool {
	return hash>>44 < uint64(rate) // 20 bits of it
}

// Rate returns a fraction as a rate.
func Rate(fraction float64) uint32 { return uint32(math.Round(fraction * RateUnit)) }

// readSampling decodes a rule of sampling.
func readSampling(r Rule) (*SamplingRules, error) {
	s := &SamplingRules{}
	if err := decodeBody(r, s); err != nil {
		return nil, err
	}
	return s, s.check(r.Format)
}

// SamplingRule returns the rule in a format, and an error if it is invalid. It sorts the rates by name.
func SamplingRule(s SamplingRules, f Format) (Rule, error) {
	for _, all := range [][]NamedRate{s.Classes, s.Tenants} {
		slices.SortFunc(all, func(a, b NamedRate) int { return cmp.Compare(a.Name, b.Name) })
	}
	return Rule{Kind: Sampling, Format: f, Body: encode(&s)}, s.check(f)
}

// downgradeSampling rewrites a rule of format 2 in format 1, and names what that loses.
func downgradeSampling(r Rule) (Rule, []string) {
	s, err := readSampling(r)
	if err != nil {
		return r, []string{err.Error()}
	}
	var lost []string
	for _, t := range s.Tenants {
		lost = append(lost, fmt.Sprintf("the rate of tenant %q", t.Name))
	}
	if s.KeepFailed {
		lost = append(lost, "failed traces kept after the fact")
	}
	if s.KeepSlow > 0 {
		lost = append(lost, fmt.Sprintf("traces slower than %d ms kept after the fact", s.KeepSlow))
	}
	return Rule{Kind: Sampling, Format: Format{1, 0}, Body: r.Body}, lost
}
