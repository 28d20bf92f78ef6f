package rules

import (
	"errors"
	"fmt"

	"fieldrelay/internal/sidecar/quota"
)

// LimitRules are limits of the whole fleet, as in the [[quota]] tables of the settings.
type LimitRules struct {
	Quotas []Quota `cbor:"1,keyasint,omitempty"`
}

// Quota is one limit; see quota.Settings. Fractional numbers are stored in thousandths, so that the encoding is canonical.
type Quota struct {
	Name                string `cbor:"1,keyasint"`
	Class               string `cbor:"2,keyasint,omitempty"`
	Tenant              string `cbor:"3,keyasint,omitempty"`
	PerSecond           int64  `cbor:"4,keyasint,omitempty"` // thousandths of a request per second
	InFlight            int    `cbor:"5,keyasint,omitempty"`
	ClientRetryPercent  int64  `cbor:"6,keyasint,omitempty"` // thousandths of a percent
	AttemptRetryPercent int64  `cbor:"7,keyasint,omitempty"` // thousandths of a percent
	NodeInFlight        int    `cbor:"8,keyasint,omitempty"`
	DividesAllowances   bool   `cbor:"9,keyasint,omitempty"`
	Floor               int    `cbor:"10,keyasint,omitempty"`
	Members             int    `cbor:"11,keyasint,omitempty"`
	Policy              string `cbor:"12,keyasint,omitempty"`
	Burst               int    `cbor:"13,keyasint,omitempty"`
}

// milliPerUnit is the number of thousandths in one.
const milliPerUnit = 1000

// Settings returns the limits in the form of the operator's file.
func (l *LimitRules) Settings() (all quota.SettingsList) {
	for _, q := range l.Quotas {
		all = append(all, quota.Settings{Name: q.Name, Class: q.Class, Tenant: q.Tenant, PerSecond: float64(q.PerSecond) / milliPerUnit, InFlight: q.InFlight,
			ClientRetryPercent: float64(q.ClientRetryPercent) / milliPerUnit, AttemptRetryPercent: float64(q.AttemptRetryPercent) / milliPerUnit, NodeInFlight: q.NodeInFlight, DividesAllowances: q.DividesAllowances, Floor: q.Floor, Members: q.Members,
			Policy: q.Policy, Burst: q.Burst})
	}
	return all
}

// LimitsRule encodes limits as a rule, and returns an error if a limit has an invalid value.
func LimitsRule(all quota.SettingsList) (Rule, error) {
	l := LimitRules{}
	for _, s := range all {
		l.Quotas = append(l.Quotas, Quota{Name: s.Name, Class: s.Class, Tenant: s.Tenant, PerSecond: int64(s.PerSecond*milliPerUnit + 0.5), InFlight: s.InFlight,
			ClientRetryPercent: int64(s.ClientRetryPercent*milliPerUnit + 0.5), AttemptRetryPercent: int64(s.AttemptRetryPercent*milliPerUnit + 0.5), NodeInFlight: s.NodeInFlight, DividesAllowances: s.DividesAllowances, Floor: s.Floor, Members: s.Members,
			Policy: s.Policy, Burst: s.Burst})
	}
	return Rule{Kind: Limits, Format: Format{1, 0}, Body: encode(&l)}, l.check()
}

// check returns an error that lists the invalid values, or nil.
func (l *LimitRules) check() error {
	var errs []error
	l.Settings().Check(true, func(key string, read any, allowed string) {
		errs = append(errs, fmt.Errorf("quota%s: %v; allowed: %s", key, read, allowed))
	})
	return errors.Join(errs...)
}

// readLimits decodes and checks a limits rule.
func readLimits(r Rule) (*LimitRules, error) {
	l := &LimitRules{}
	if err := decodeBody(r, l); err != nil {
		return nil, err
	}
	return l, l.check()
}
