package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	callhistory "fieldrelay/internal/testkit/history"
)

// answeredCall is a call of one second that was answered.
func answeredCall(call callhistory.Call, sent moment) callhistory.Call {
	call.Outcome, call.Sent, call.Answered = callhistory.OK, sent, sent+time.Second
	return call
}

func acquiredBy(caller string, fence uint64, sent moment) callhistory.Call {
	return answeredCall(callhistory.Call{Kind: callhistory.Acquire, Name: "l1", Caller: caller, Fence: fence, Hold: 3 * time.Second}, sent)
}

func numberGiven(number uint64, sent moment) callhistory.Call {
	return answeredCall(callhistory.Call{Kind: callhistory.Number, Name: "n1", Caller: "numberer", Number: number}, sent)
}

func putGiven(value string, revision uint64, sent moment) callhistory.Call {
	return answeredCall(callhistory.Call{Kind: callhistory.Put, Name: "g.a", Caller: "putter", Value: value, Revision: revision}, sent)
}

func keyRead(value string, revision uint64, sent moment) callhistory.Call {
	return answeredCall(callhistory.Call{Kind: callhistory.Read, Name: "g.a", Caller: "reader", Value: value, Revision: revision}, sent)
}

// soundCalls break no rule.
func soundCalls() []callhistory.Call {
	return []callhistory.Call{
		acquiredBy("locker0", 1, 0), acquiredBy("locker1", 2, 4*time.Second),
		numberGiven(1, 0), numberGiven(3, 2*time.Second),
		putGiven("x", 1, 0), putGiven("y", 2, 2*time.Second), keyRead("y", 2, 4*time.Second),
	}
}

func TestPlantedFaultsOfCallsAreFound(t *testing.T) {
	late := 20 * time.Second
	lastRead := keyRead("x", 1, late)
	lastRead.Final = true
	rejected := putGiven("z", 0, 5*time.Second)
	rejected.Outcome = callhistory.Refused
	for name, planted := range map[string]struct {
		rule string
		call callhistory.Call
	}{
		"two holders at one moment":             {"ONE", acquiredBy("locker2", 3, 5*time.Second)},
		"a number given twice":                  {"ORDER", numberGiven(3, late)},
		"a read of an older value":              {"STALE", keyRead("x", 1, late)},
		"a value that nobody put":               {"MIXED", keyRead("w", 3, late)},
		"a value whose put was rejected":        {"REFUSED", keyRead("z", 3, late)},
		"a last read of an older value":         {"LOST", lastRead},
		"a number that an earlier one exceeded": {"ORDER", numberGiven(2, late)},
	} {
		t.Run(name, func(t *testing.T) {
			h := soundHistory()
			h.calls = append(soundCalls(), rejected)
			require.Empty(t, judged(h))
			h.calls = append(h.calls, planted.call)
			broken := judged(h)
			require.NotEmpty(t, broken)
			require.True(t, strings.HasPrefix(broken[0], planted.rule+":"), broken)
		})
	}
}

func TestCallsWithImproperAnswersAreFound(t *testing.T) {
	for status, body := range map[int]string{200: `{"val":`, 400: `{}`, 409: `{}`, 412: `{}`, 410: `{}`, 404: `{}`} {
		call := callhistory.Call{Kind: callhistory.Number, Name: "n1"}
		require.Error(t, takeAnswer(&call, status, []byte(body)), status)
	}
	for _, status := range []int{429, 503, 504, 0} {
		call := callhistory.Call{Kind: callhistory.Number, Name: "n1"}
		require.NoError(t, takeAnswer(&call, status, nil), status)
	}
}
