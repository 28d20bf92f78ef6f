package rules

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
)

// SamplingRules determine which traces are captured. Rates are fractions in units of 1/RateUnit.
type SamplingRules struct {
	Salt              uint64      `cbor:"1,keyasint"`
	Rate              uint32      `cbor:"2,keyasint"`           // rate of traces whose class and tenant have no rate of their own
	Classes           []NamedRate `cbor:"3,keyasint,omitempty"` // sorted by name
	MaxRecords        uint32      `cbor:"4,keyasint"`           // maximum number of records per second and sidecar
	MaxBytes          uint32      `cbor:"5,keyasint"`           // maximum number of bytes of records per second and sidecar
	MaxRecordsPerNode uint32      `cbor:"6,keyasint"`           // maximum number of records per second, execute node and sidecar
	MinPerMinute      uint32      `cbor:"7,keyasint,omitempty"` // least number of traces per minute that are captured of each class, if there are so many
	// Fields of format 2.
	Tenants    []NamedRate `cbor:"8,keyasint,omitempty"`  // sorted by name; a tenant's rate takes precedence over its class's
	KeepFailed bool        `cbor:"9,keyasint,omitempty"`  // failed traces are kept once they have ended
	KeepSlow   uint32      `cbor:"10,keyasint,omitempty"` // latency in milliseconds above which traces are kept once they have ended; 0: none
}

// NamedRate is the rate of a class or a tenant.
type NamedRate struct {
	Name string `cbor:"1,keyasint"`
	Rate uint32 `cbor:"2,keyasint"`
}

// RateUnit is the rate of 1, at which all traces are captured.
const RateUnit = 1 << 20

const (
	maxNamedRates = 512
	maxNameBytes  = 64
	maxCap        = 1 << 20 // maximum of a cap on records per second
)

// check returns an error if the rules are invalid in a format.
func (s *SamplingRules) check(f Format) error {
	if f.Major == 1 && (len(s.Tenants) > 0 || s.KeepFailed || s.KeepSlow > 0) {
		return errors.New("tenants, keep_failed and keep_slow_ms need format 2")
	}
	if s.Rate > RateUnit {
		return fmt.Errorf("default rate is %d, %d at most", s.Rate, RateUnit)
	}
	for what, v := range map[string]uint32{"records": s.MaxRecords, "bytes": s.MaxBytes, "per_node": s.MaxRecordsPerNode} {
		if v == 0 || v > maxCap && what != "bytes" {
			return fmt.Errorf("%s %d; allowed: 1 to %d", what, v, maxCap)
		}
	}
	for _, all := range [][]NamedRate{s.Classes, s.Tenants} {
		if len(all) > maxNamedRates {
			return fmt.Errorf("%d rates of classes or of tenants, %d at most", len(all), maxNamedRates)
		}
		for i, n := range all {
			if n.Name == "" || len(n.Name) > maxNameBytes || n.Rate > RateUnit {
				return fmt.Errorf("invalid rate %d or name %q: the name is empty or too long, or the rate is over 1", n.Rate, n.Name)
			}
			if i > 0 && all[i-1].Name >= n.Name {
				return fmt.Errorf("rates are not sorted by name, or have a duplicate, at %q", n.Name)
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

// Captures reports whether a trace with a hash is captured at a rate. A trace that is captured at one rate is captured at every
// higher rate.
func Captures(hash uint64, rate uint32) bool {
	return hash>>44 < uint64(rate) // the upper 20 bits, since RateUnit is 1<<20
}

// Rate converts a fraction to a rate in units of 1/RateUnit.
func Rate(fraction float64) uint32 { return uint32(math.Round(fraction * RateUnit)) }

// readSampling decodes and checks a sampling rule.
func readSampling(r Rule) (*SamplingRules, error) {
	s := &SamplingRules{}
	if err := decodeBody(r, s); err != nil {
		return nil, err
	}
	return s, s.check(r.Format)
}

// SamplingRule encodes sampling rules in a format, and returns an error if they are invalid. It sorts the rates by name.
func SamplingRule(s SamplingRules, f Format) (Rule, error) {
	for _, all := range [][]NamedRate{s.Classes, s.Tenants} {
		slices.SortFunc(all, func(a, b NamedRate) int { return cmp.Compare(a.Name, b.Name) })
	}
	return Rule{Kind: Sampling, Format: f, Body: encode(&s)}, s.check(f)
}

// downgradeSampling rewrites a sampling rule of format 2 in format 1, and names each feature that this drops.
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
