package rules

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// TrialCases is how many cases a trial decides.
const TrialCases = 128

// Trial is how a program understands an edition: four bytes of a hash of the canonical form, then of the decision on each case.
type Trial [4 * (TrialCases + 1)]byte

// Case is what the rules decide on.
type Case struct {
	Class, Tenant, Node string
	ID                  string
	Retry, Failed       bool
	Latency             uint32 // milliseconds
}

// String is the case as operators see it.
func (c Case) String() string {
	return fmt.Sprintf("class %q, tenant %q, node %q, id %s, again %t, failed %t, %d ms", c.Class, c.Tenant, c.Node, c.ID, c.Retry, c.Failed, c.Latency)
}

// DrawCases draws the cases of an edition, by its digest alone, so that all members draw the same. Names are of the rules and of
// none of them, so that each rule is covered and also what none is about; latencies are around those that the rules name.
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

// Decide returns what the rules decide on a case, as a text. Members compare its hash over the wire.
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

// Keeps reports whether a trace is kept after it has ended, by its result and latency in milliseconds.
func (s *SamplingRules) Keeps(failed bool, took uint32) bool {
	return s.KeepFailed && failed || s.KeepSlow > 0 && took > s.KeepSlow
}

// TraceHash returns the hash of a trace's id. The salt is the edition's, so that a client cannot choose ids that are captured.
func TraceHash(salt uint64, id string) uint64 {
	h := (xxhash.Sum64String(id) ^ salt*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9 // the mixing of SplitMix64
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// RunTrial decides the cases of an edition.
func RunTrial(c *Compiled) Trial { return RunTrialWith(c, c.Decide) }

// RunTrialWith decides the cases by another function, for tests with a program that understands the rules otherwise.
func RunTrialWith(c *Compiled, decide func(Case) string) (t Trial) {
	put := func(i int, text string) { binary.BigEndian.PutUint32(t[4*i:], uint32(xxhash.Sum64String(text))) }
	put(0, string(encode(c.Edition.Rules)))
	for i, q := range DrawCases(c) {
		put(i+1, decide(q))
	}
	return t
}

// FirstDifference returns where two trials first differ: -1: nowhere; 0: in the canonical form; else the number of a case, from 1.
func FirstDifference(a, b Trial) int {
	for i := range TrialCases + 1 {
		if !slices.Equal(a[4*i:4*i+4], b[4*i:4*i+4]) {
			return i
		}
	}
	return -1
}
