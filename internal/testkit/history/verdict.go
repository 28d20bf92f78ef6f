package history

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Rule is a consistency rule that the answers of the service must satisfy.
type Rule string

// The rules.
const (
	RuleOne     Rule = "ONE"     // a lock has one holder at a time; fencing tokens increase
	RuleOrder   Rule = "ORDER"   // numbers and revisions increase; watches skip no put
	RuleStale   Rule = "STALE"   // an answer is not older than any state observed before the call was sent
	RuleMixed   Rule = "MIXED"   // each observed value was put to its key, and has one revision
	RuleRefused Rule = "REFUSED" // a refused call has no effect
	RuleLost    Rule = "LOST"    // acknowledged state is not lost
)

// Options are the parameters of the rules.
type Options struct {
	// Retention is the time for which a watch can resume from a revision that it was given.
	Retention time.Duration
}

// Violation is a violation of a rule by a history.
type Violation struct {
	Rule Rule
	What string
	// Calls is the smallest sub-history that shows the violation, ordered by the time of sending. If the violation is that
	// something is missing from the whole history, What says so.
	Calls []Call
}

// String describes the violation, followed by its calls.
func (v Violation) String() string {
	lines := []string{fmt.Sprintf("%s: %s", v.Rule, v.What)}
	for _, call := range v.Calls {
		lines = append(lines, "    "+call.String())
	}
	return strings.Join(lines, "\n")
}

// Verdict is the result of checking a history.
type Verdict struct {
	Violations []Violation
}

// Passed reports whether the history satisfies all rules.
func (v Verdict) Passed() bool { return len(v.Violations) == 0 }

// Smallest returns a violation with the fewest calls; nil if there is none.
func (v Verdict) Smallest() *Violation {
	if v.Passed() {
		return nil
	}
	smallest := slices.MinFunc(v.Violations, func(a, b Violation) int { return cmp.Compare(len(a.Calls), len(b.Calls)) })
	return &smallest
}

// String describes the smallest violation and gives the number of all violations.
func (v Verdict) String() string {
	if v.Passed() {
		return "passed"
	}
	return fmt.Sprintf("%d violations, for example\n%v", len(v.Violations), *v.Smallest())
}

// Check checks a history against all rules. The calls may be in any order.
func Check(calls []Call, options Options) Verdict {
	checker := &checker{options: options}
	checker.checkLocks(selectKinds(calls, Acquire, Renew, Release))
	checker.checkNumbers(selectKinds(calls, Number))
	checker.checkGroups(selectKinds(calls, Put, Read, Watch))
	checker.checkFinal(calls)
	return Verdict{Violations: checker.violations}
}

type checker struct {
	options    Options
	violations []Violation
}

// report adds a violation; calls that print the same are listed once.
func (c *checker) report(rule Rule, calls []*Call, format string, arguments ...any) {
	shown := make([]Call, 0, len(calls))
	for _, call := range calls {
		if !slices.ContainsFunc(shown, func(other Call) bool { return other.String() == call.String() }) {
			shown = append(shown, *call)
		}
	}
	slices.SortStableFunc(shown, func(a, b Call) int { return cmp.Compare(a.Sent, b.Sent) })
	c.violations = append(c.violations, Violation{Rule: rule, What: fmt.Sprintf(format, arguments...), Calls: shown})
}

// selectKinds returns the calls of the given kinds, ordered by the time of sending.
func selectKinds(calls []Call, kinds ...Kind) []*Call {
	var selected []*Call
	for index := range calls {
		if slices.Contains(kinds, calls[index].Kind) {
			selected = append(selected, &calls[index])
		}
	}
	slices.SortStableFunc(selected, func(a, b *Call) int { return cmp.Compare(a.Sent, b.Sent) })
	return selected
}

// partition groups calls by a property, and returns the property's values in order along with the groups.
func partition(calls []*Call, property func(*Call) string) ([]string, map[string][]*Call) {
	parts := make(map[string][]*Call)
	var names []string
	for _, call := range calls {
		name := property(call)
		if _, known := parts[name]; !known {
			names = append(names, name)
		}
		parts[name] = append(parts[name], call)
	}
	slices.Sort(names)
	return names, parts
}

func nameOf(call *Call) string { return call.Name }

// checkFinal requires that each object that the final calls ask for is answered at least once.
func (c *checker) checkFinal(calls []Call) {
	type object struct {
		kind Kind
		name string
	}
	answered := make(map[object]bool)
	asked := make(map[object]*Call)
	var objects []object
	for index := range calls {
		call := &calls[index]
		if !call.Final || call.Kind == Renew || call.Kind == Release {
			continue
		}
		current := object{call.Kind, call.Name}
		if asked[current] == nil {
			objects = append(objects, current)
		}
		asked[current] = call
		isAnswered := call.Outcome == OK || call.Outcome == NotFound || call.Outcome == Compacted
		answered[current] = answered[current] || isAnswered
	}
	for _, wanted := range objects {
		if !answered[wanted] {
			c.report(RuleLost, []*Call{asked[wanted]}, "no %s call on %s was answered at the end of the run", wanted.kind, wanted.name)
		}
	}
}

// ruleOf returns the rule that is violated by an answer that lags behind an earlier one: RuleLost for a final call, otherwise
// the given rule.
func ruleOf(call *Call, rule Rule) Rule {
	if call.Final {
		return RuleLost
	}
	return rule
}
