package history

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const retention = 20 * time.Second

func at(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

func answered(call Call, outcome Outcome, sent, received float64) Call {
	call.Sent, call.Answered, call.Outcome = at(sent), at(received), outcome
	return call
}

func acquired(caller string, fence uint64, sent, received, hold float64) Call {
	return answered(Call{Kind: Acquire, Name: "l", Caller: caller, Fence: fence, Hold: at(hold)}, OK, sent, received)
}

// renewed returns a renewal by caller a with fencing token 1.
func renewed(sent, received, hold float64) Call {
	return answered(Call{Kind: Renew, Name: "l", Caller: "a", Fence: 1, Hold: at(hold)}, OK, sent, received)
}

func released(caller string, fence uint64, sent, received float64) Call {
	return answered(Call{Kind: Release, Name: "l", Caller: caller, Fence: fence}, OK, sent, received)
}

func numbered(number uint64, sent, received float64) Call {
	return answered(Call{Kind: Number, Name: "n", Caller: "a", Number: number}, OK, sent, received)
}

func putOf(key, value string, outcome Outcome, revision uint64, sent, received float64) Call {
	return answered(Call{Kind: Put, Name: key, Caller: "a", Value: value, Revision: revision}, outcome, sent, received)
}

func over(expected uint64, call Call) Call {
	call.Expected = &expected
	return call
}

func readOf(key, value string, revision uint64, sent, received float64) Call {
	outcome := OK
	if revision == 0 {
		outcome = NotFound
	}
	return answered(Call{Kind: Read, Name: key, Caller: "a", Value: value, Revision: revision}, outcome, sent, received)
}

func watched(after, revision uint64, sent, received float64, events ...Event) Call {
	return answered(Call{Kind: Watch, Name: "g.", Caller: "w", After: after, Revision: revision, Events: events}, OK, sent, received)
}

func final(call Call) Call {
	call.Final = true
	return call
}

func unclear(call Call) Call {
	call.Outcome, call.Answered, call.Revision = Unclear, 0, 0
	return call
}

var cases = map[string]struct {
	calls []Call
	rule  Rule // expected rule of the smallest violation; empty: the history satisfies all rules
	// evidence is the expected number of calls in the smallest violation.
	evidence int
}{
	"holders that follow each other": {calls: []Call{
		acquired("a", 1, 0, 0.1, 3), renewed(2, 2.1, 3), released("a", 1, 4, 4.1), acquired("b", 2, 4.05, 4.2, 3), acquired("a", 3, 7, 7.1, 1),
	}},
	"a renewal that comes too late counts for nothing": {calls: []Call{
		acquired("a", 1, 0, 0.1, 1), renewed(0.9, 1.2, 3), acquired("b", 2, 1.1, 1.3, 3),
	}},
	"a renewal without an answer prolongs nothing": {calls: []Call{
		acquired("a", 1, 0, 0.1, 1), unclear(renewed(0.5, 0, 3)), acquired("b", 2, 1.1, 1.3, 3),
	}},
	"two holders at a moment": {rule: RuleOne, evidence: 2, calls: []Call{
		acquired("a", 1, 0, 0.1, 3), acquired("c", 9, 90, 91, 1), acquired("b", 2, 1, 1.1, 1),
	}},
	"a holder whose renewal is forgotten": {rule: RuleOne, evidence: 3, calls: []Call{
		acquired("a", 1, 0, 0.1, 1), renewed(0.5, 0.6, 3), acquired("b", 2, 2, 2.1, 1),
	}},
	"a shorter renewal ends the hold earlier": {calls: []Call{
		acquired("a", 1, 0, 0.1, 9), renewed(0.5, 0.6, 1), acquired("b", 2, 2, 2.1, 1),
	}},
	"a fence of two holders": {rule: RuleOne, evidence: 2, calls: []Call{
		acquired("a", 1, 0, 0.1, 1), acquired("b", 1, 0.05, 1.1, 1),
	}},
	"a fence below an earlier one": {rule: RuleOne, evidence: 2, calls: []Call{
		acquired("a", 5, 0, 0.1, 1), acquired("b", 4, 2, 2.1, 1),
	}},
	"a renewal after another one held the lock": {rule: RuleOne, evidence: 2, calls: []Call{
		acquired("a", 1, 0, 0.1, 1), acquired("b", 2, 2, 2.1, 1), renewed(5, 5.1, 1),
	}},
	"a fence below an earlier one at the end": {rule: RuleLost, evidence: 2, calls: []Call{
		acquired("a", 5, 0, 0.1, 1), final(acquired("b", 4, 2, 2.1, 1)),
	}},

	"numbers that rise with gaps": {calls: []Call{numbered(1, 0, 1), numbered(7, 0.5, 3), numbered(5, 0.7, 2)}},
	"a number that is given twice": {rule: RuleOrder, evidence: 2, calls: []Call{
		numbered(1, 0, 1), numbered(7, 0.5, 3), numbered(7, 0.7, 2),
	}},
	"a number below an earlier one":            {rule: RuleOrder, evidence: 2, calls: []Call{numbered(7, 0, 1), numbered(5, 2, 3)}},
	"a number below an earlier one at the end": {rule: RuleLost, evidence: 2, calls: []Call{numbered(7, 0, 1), final(numbered(5, 2, 3))}},

	"puts, reads and watches": {calls: []Call{
		over(0, putOf("g.a", "x", OK, 1, 0, 1)), putOf("g.b", "y", OK, 2, 0.5, 2), over(1, putOf("g.a", "z", OK, 3, 3, 4)),
		over(1, putOf("g.a", "u", Mismatch, 3, 5, 6)), readOf("g.a", "z", 3, 7, 8), readOf("g.c", "", 0, 7, 8),
		watched(0, 0, 0, 0.1), watched(1, 3, 0, 4, Event{"g.b", "y", 2}, Event{"g.a", "z", 3}), watched(3, 3, 4, 6),
	}},
	"a put that is sent again": {calls: []Call{
		unclear(putOf("g.a", "x", OK, 0, 0, 0)), putOf("g.b", "y", OK, 2, 2, 3), putOf("g.a", "x", OK, 1, 4, 5),
	}},
	"a put without an answer that takes effect late": {calls: []Call{
		unclear(putOf("g.a", "x", OK, 0, 0, 0)), putOf("g.b", "y", OK, 1, 2, 3), readOf("g.a", "", 0, 4, 5), readOf("g.a", "x", 2, 6, 7),
	}},
	"a revision that is given twice": {rule: RuleOrder, evidence: 2, calls: []Call{
		putOf("g.a", "x", OK, 1, 0, 1), putOf("g.b", "y", OK, 1, 0.5, 2),
	}},
	"a revision that is not above an earlier one": {rule: RuleOrder, evidence: 2, calls: []Call{
		putOf("g.a", "x", OK, 4, 0, 1), putOf("g.b", "y", OK, 3, 2, 3),
	}},
	"a condition that succeeds over a later revision": {rule: RuleOrder, evidence: 2, calls: []Call{
		putOf("g.a", "x", OK, 1, 0, 3), putOf("g.a", "y", OK, 2, 0, 3), over(1, putOf("g.a", "z", OK, 3, 0, 3)),
	}},
	"a condition that succeeds over a revision of another key": {rule: RuleOrder, evidence: 2, calls: []Call{
		putOf("g.b", "x", OK, 1, 0, 1), over(1, putOf("g.a", "z", OK, 2, 2, 3)),
	}},
	"a watch that does not rise": {rule: RuleOrder, evidence: 1, calls: []Call{
		putOf("g.a", "x", OK, 2, 0, 1), putOf("g.a", "y", OK, 3, 0, 1), watched(1, 3, 2, 3, Event{"g.a", "y", 3}, Event{"g.a", "x", 2}),
	}},
	"a watch that skips a put": {rule: RuleOrder, evidence: 2, calls: []Call{
		putOf("g.a", "x", OK, 2, 0, 1), putOf("g.a", "y", OK, 3, 0, 1), watched(1, 3, 2, 3, Event{"g.a", "y", 3}),
	}},
	"a watch that skips a put that had no answer but was read": {rule: RuleOrder, evidence: 2, calls: []Call{
		unclear(putOf("g.a", "x", OK, 0, 0, 0)), putOf("g.a", "y", OK, 3, 0, 1), watched(1, 3, 2, 3, Event{"g.a", "y", 3}),
		readOf("g.a", "x", 2, 0.1, 0.2),
	}},
	"a watch that skips a put at the end": {rule: RuleLost, evidence: 2, calls: []Call{
		putOf("g.a", "x", OK, 2, 0, 1), putOf("g.a", "y", OK, 3, 0, 1), final(watched(1, 3, 2, 3, Event{"g.a", "y", 3})),
	}},
	"a watch from an old revision": {rule: RuleStale, evidence: 2, calls: []Call{putOf("g.a", "x", OK, 2, 0, 1), watched(0, 1, 2, 3)}},
	"a read below an acknowledged put": {rule: RuleStale, evidence: 2, calls: []Call{
		putOf("g.a", "x", OK, 1, 0, 1), putOf("g.a", "y", OK, 2, 2, 3), readOf("g.a", "x", 1, 4, 5),
	}},
	"a read that does not find an acknowledged put": {rule: RuleStale, evidence: 2, calls: []Call{
		putOf("g.a", "x", OK, 1, 0, 1), readOf("g.a", "", 0, 4, 5),
	}},
	"a read below an earlier read": {rule: RuleStale, evidence: 2, calls: []Call{
		putOf("g.a", "x", OK, 1, 0, 1), unclear(putOf("g.a", "y", OK, 0, 2, 0)), readOf("g.a", "y", 2, 3, 4), readOf("g.a", "x", 1, 5, 6),
	}},
	"a read while a put is under way": {calls: []Call{
		putOf("g.a", "x", OK, 1, 0, 1), putOf("g.a", "y", OK, 2, 2, 6), readOf("g.a", "x", 1, 4, 5),
	}},
	"an acknowledged put that is lost": {rule: RuleLost, evidence: 2, calls: []Call{
		putOf("g.a", "x", OK, 1, 0, 1), final(readOf("g.a", "", 0, 4, 5)),
	}},
	"a value that nobody put": {rule: RuleMixed, evidence: 1, calls: []Call{putOf("g.a", "x", OK, 1, 0, 1), readOf("g.a", "y", 2, 4, 5)}},
	"a value of another key":  {rule: RuleMixed, evidence: 1, calls: []Call{putOf("g.a", "x", OK, 1, 0, 1), readOf("g.b", "x", 2, 4, 5)}},
	"a value before it was put": {rule: RuleMixed, evidence: 2, calls: []Call{
		putOf("g.a", "x", OK, 1, 3, 4), readOf("g.a", "x", 1, 0, 1),
	}},
	"a value under two revisions": {rule: RuleMixed, evidence: 2, calls: []Call{
		unclear(putOf("g.a", "x", OK, 0, 0, 0)), readOf("g.a", "x", 1, 1, 2), putOf("g.a", "x", OK, 2, 3, 4),
	}},
	"a mismatch with a revision of no put": {rule: RuleMixed, evidence: 1, calls: []Call{
		putOf("g.a", "x", OK, 1, 0, 1), over(1, putOf("g.a", "y", Mismatch, 5, 2, 3)),
	}},
	"a mismatch with a revision of another key": {rule: RuleMixed, evidence: 2, calls: []Call{
		putOf("g.b", "x", OK, 1, 0, 1), over(0, putOf("g.a", "y", Mismatch, 1, 2, 3)),
	}},
	"a mismatch with a put that had no answer": {calls: []Call{
		unclear(putOf("g.a", "x", OK, 0, 0, 0)), over(0, putOf("g.a", "y", Mismatch, 1, 2, 3)),
	}},
	"a mismatch below an acknowledged put": {rule: RuleStale, evidence: 2, calls: []Call{
		putOf("g.a", "x", OK, 1, 0, 1), putOf("g.a", "y", OK, 2, 0, 2), over(9, putOf("g.a", "z", Mismatch, 1, 3, 4)),
	}},
	"a mismatch with the revision that was expected": {rule: RuleRefused, evidence: 1, calls: []Call{
		putOf("g.a", "x", OK, 1, 0, 1), over(1, putOf("g.a", "y", Mismatch, 1, 2, 3)),
	}},
	"a value whose put found another revision": {rule: RuleRefused, evidence: 2, calls: []Call{
		over(3, putOf("g.a", "x", Mismatch, 0, 0, 1)), readOf("g.a", "x", 1, 2, 3),
	}},
	"a value whose put was refused": {rule: RuleRefused, evidence: 2, calls: []Call{
		putOf("g.a", "x", Refused, 0, 0, 1), watched(1, 2, 2, 3, Event{"g.a", "x", 2}),
	}},
	"a value whose put was refused after an attempt without an answer": {calls: []Call{
		unclear(putOf("g.a", "x", OK, 0, 0, 0)), putOf("g.a", "x", Refused, 0, 1, 2), readOf("g.a", "x", 1, 2, 3),
	}},
	"a revision that is not kept": {rule: RuleLost, evidence: 2, calls: []Call{
		watched(0, 3, 0, 1), answered(Call{Kind: Watch, Name: "g.", Caller: "w", After: 3}, Compacted, 5, 6),
	}},
	"a revision that is not kept any more": {calls: []Call{
		watched(0, 3, 0, 1), answered(Call{Kind: Watch, Name: "g.", Caller: "w", After: 3}, Compacted, 22, 23),
	}},
	"no answer at the end": {rule: RuleLost, evidence: 1, calls: []Call{
		numbered(1, 0, 1), final(answered(Call{Kind: Number, Name: "n"}, Refused, 2, 3)),
	}},
	"an answer after refusals at the end": {calls: []Call{
		numbered(1, 0, 1), final(answered(Call{Kind: Number, Name: "n"}, Refused, 2, 3)), final(numbered(2, 3, 4)),
	}},
}

func TestCheckFindsEachFaultAndNothingElse(t *testing.T) {
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			verdict := Check(test.calls, Options{Retention: retention})
			if test.rule == "" {
				require.True(t, verdict.Passed(), verdict.String())
				return
			}
			require.False(t, verdict.Passed())
			smallest := verdict.Smallest()
			assert.Equal(t, test.rule, smallest.Rule, verdict.String())
			assert.Len(t, smallest.Calls, test.evidence, verdict.String())
		})
	}
}

func TestVerdictDoesNotDependOnTheOrderOfTheCalls(t *testing.T) {
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			reversed := slices.Clone(test.calls)
			slices.Reverse(reversed)
			verdict := Check(reversed, Options{Retention: retention})
			assert.Equal(t, test.rule == "", verdict.Passed(), verdict.String())
		})
	}
}

func TestHistoriesOfOtherNamesDoNotMix(t *testing.T) {
	first := acquired("a", 1, 0, 0.1, 3)
	second := acquired("b", 1, 1, 1.1, 3)
	second.Name = "other"
	other := numbered(1, 2, 3)
	other.Name = "other"
	verdict := Check([]Call{first, second, numbered(1, 0, 1), other}, Options{})
	require.True(t, verdict.Passed(), verdict.String())
}
