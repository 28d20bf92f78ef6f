package history

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Rule names what the answers of the service must keep.
type Rule string

// The rules.
const (
	RuleOne     Rule = "ONE"     // one holder of a lock at a time; fences rise
	RuleOrder   Rule = "ORDER"   // numbers and revisions rise; watches skip nothing
	RuleStale   Rule = "STALE"   // an answer is not older than what was shown before the call was sent
	RuleMixed   Rule = "MIXED"   // what is shown was put to that key, under one revision
	RuleRefused Rule = "REFUSED" // what was refused has no effect
	RuleLost    Rule = "LOST"    // what was acknowledged is kept
)

// Options are what the rules depend on besides the history.
type Options struct {
	// Retention is for how long a watch may resume from a revision that it was given.
	Retention time.Duration
}

// Violation is a rule that a history breaks.
type Violation struct {
	Rule Rule
	What string
	// Calls is the smallest sub-history that shows it, by the time of sending. Where the fault is that something is
	// missing from the whole history, What says so.
	Calls []Call
}

// String describes a violation, with its calls.
func (v Violation) String() string {
	lines := []string{fmt.Sprintf("%s: %s", v.Rule, v.What)}
	for _, call := range v.Calls {
		lines = append(lines, "    "+call.String())
	}
	return strings.Join(lines, "\n")
}

// Verdict is what the rules say of a history.
type Verdict struct {
	Violations []Violation
}

// Passed reports whether the history keeps all rules.
func (v Verdict) Passed() bool { return len(v.Violations) == 0 }

// Smallest is a violation that the fewest calls show; nil if there is none.
func (v Verdict) Smallest() *Violation {
	if v.Passed() {
		return nil
	}
	smallest := slices.MinFunc(v.Violations, func(a, b Violation) int { return cmp.Compare(len(a.Calls), len(b.Calls)) })
	return &smallest
}

// String describes the smallest violation and counts them all.
func (v Verdict) String() string {
	if v.Passed() {
		return "passed"
	}
	return fmt.Sprintf("%d violations, for example\n%v", len(v.Violations), *v.Smallest())
}

// Check judges a history. The calls may be in any order.
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

// report adds a violation.
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

// selectKinds returns the calls of some kinds, by the time of sending.
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

// partition divides calls by a property, and returns its values in order.
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

// checkFinal requires that each object that is asked for at the end answers.
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
			c.report(RuleLost, []*Call{asked[wanted]}, "no answer to any %s of %s at the end", wanted.kind, wanted.name)
		}
	}
}

// ruleOf is the rule that an answer breaks which lags behind an earlier one.
func ruleOf(call *Call, rule Rule) Rule {
	if call.Final {
		return RuleLost
	}
	return rule
}
