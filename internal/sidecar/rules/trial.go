package rules

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// TrialCases is the number of cases that a trial decides.
const TrialCases = 128

// Trial is a fingerprint of how a program interprets an edition: four bytes of a hash of the canonical form, then four bytes of
// a hash of the decision on each case.
type Trial [4 * (TrialCases + 1)]byte

// Case is an input of the rules: a request with its result.
type Case struct {
	Class, Tenant, Node string
	ID                  string
	Retry, Failed       bool
	Latency             uint32 // latency in milliseconds
}

// String formats the case for operators.
func (c Case) String() string {
	return fmt.Sprintf("class %q, tenant %q, node %q, id %s, retry %t, failed %t, %d ms", c.Class, c.Tenant, c.Node, c.ID, c.Retry, c.Failed, c.Latency)
}

// DrawCases generates the cases of an edition, seeded by its digest alone, so that all members generate the same. Names are
// drawn from the rules and from outside them, so that both each rule and the default are covered. Latencies are close to the
// threshold in the rules.
func DrawCases(c *Compiled) []Case {
	d := c.Edition.Digest()
	rng := rand.New(rand.NewPCG(binary.BigEndian.Uint64(d[:8]), binary.BigEndian.Uint64(d[8:16])))
	classes, tenants := []string{"", "other"}, []string{"", "other"}
	slow := uint32(1000)
	if s := c.Sampling; s != nil {
		for _, n := range s.Classes {
			classes = append(classes, n.Name)
		}
		for _, n := range s.Tenants {
			tenants = append(tenants, n.Name)
		}
		if s.KeepSlow > 0 {
			slow = s.KeepSlow
		}
	}
	if l := c.Limits; l != nil {
		for _, q := range l.Quotas {
			classes, tenants = append(classes, q.Class), append(tenants, q.Tenant)
		}
	}
	pick := func(from []string) string { return from[rng.IntN(len(from))] }
	all := make([]Case, TrialCases)
	for i := range all {
		all[i] = Case{Class: pick(classes), Tenant: pick(tenants), Node: fmt.Sprintf("n%d", rng.IntN(8)), ID: fmt.Sprintf("%016x", rng.Uint64()),
			Retry: rng.IntN(3) == 0, Failed: rng.IntN(4) == 0, Latency: slow - 2 + uint32(rng.IntN(5))}
	}
	return all
}

// Decide returns the decision of the rules on a case as text. Members exchange and compare a hash of the text, so it must not
// change.
func (c *Compiled) Decide(q Case) string {
	text := ""
	if s := c.Sampling; s != nil {
		rate := s.RateOf(q.Class, q.Tenant)
		hash := TraceHash(s.Salt, q.ID)
		text += fmt.Sprintf("rate %d hash %x captured %t kept %t caps %d %d %d least %d", rate, hash, Captures(hash, rate), s.Keeps(q.Failed, q.Latency), s.MaxRecords, s.MaxBytes, s.MaxRecordsPerNode, s.MinPerMinute)
	}
	if l := c.Limits; l != nil {
		for _, x := range l.Settings() {
			if !x.Applies(q.Class, q.Tenant) {
				continue
			}
			limit := x.Limit()
			text += fmt.Sprintf("; limit %s kind %d most %d floor %d members %d available %t burst %v leased %t claims %t shares %t", x.Name, limit.Kind, limit.Total, limit.FloorPercent,
				limit.MaxMembers, limit.Available, x.BurstTime(), x.Leased(), x.CountsAttempts(), x.DividesAllowances)
		}
	}
	return text
}

// Keeps reports whether a trace is kept once it has ended, by its result and its latency in milliseconds.
func (s *SamplingRules) Keeps(failed bool, took uint32) bool {
	return s.KeepFailed && failed || s.KeepSlow > 0 && took > s.KeepSlow
}

// TraceHash returns the hash of a trace's id. It uses the edition's salt so that a client cannot choose ids that are captured.
func TraceHash(salt uint64, id string) uint64 {
	h := (xxhash.Sum64String(id) ^ salt*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9 // the mixing function of SplitMix64
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// RunTrial returns the trial of an edition under this program's own decisions.
func RunTrial(c *Compiled) Trial { return RunTrialWith(c, c.Decide) }

// RunTrialWith is RunTrial with another decision function, for tests with a program that interprets the rules differently.
func RunTrialWith(c *Compiled, decide func(Case) string) (t Trial) {
	put := func(i int, text string) { binary.BigEndian.PutUint32(t[4*i:], uint32(xxhash.Sum64String(text))) }
	put(0, string(encode(c.Edition.Rules)))
	for i, q := range DrawCases(c) {
		put(i+1, decide(q))
	}
	return t
}

// FirstDifference returns where two trials first differ: -1 if they are equal, 0 for the canonical form, else the number of the
// case, from 1.
func FirstDifference(a, b Trial) int {
	for i := range TrialCases + 1 {
		if !slices.Equal(a[4*i:4*i+4], b[4*i:4*i+4]) {
			return i
		}
	}
	return -1
}
