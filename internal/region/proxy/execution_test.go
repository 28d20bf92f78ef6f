package proxy

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fieldrelay/internal/region/proxy/upstream"
)

func TestExecutionOfError(t *testing.T) {
	require.Equal(t, unsent, executionOfError(&upstream.DialError{Err: io.EOF}))
	require.Equal(t, unsent, executionOfError(&upstream.SendError{Err: io.EOF}))
	require.Equal(t, possiblyExecuted, executionOfError(&upstream.SendError{Written: 1, Err: io.EOF}))
	require.Equal(t, possiblyExecuted, executionOfError(&upstream.ResponseError{Fault: upstream.FaultMismatched}))
	require.Equal(t, possiblyExecuted, executionOfError(io.EOF))
}

func TestExecutionOfResponse(t *testing.T) {
	sealed := http.Header{headerServerSeal: {"s"}}
	declined := http.Header{headerNotExecuted: {"1"}}
	cases := []struct {
		status int
		header http.Header
		want   executionState
	}{
		{200, sealed, executed},
		{200, nil, possiblyExecuted},
		{204, nil, possiblyExecuted},
		{404, nil, executed},
		{500, nil, executed},
		{504, nil, executed},
		{503, nil, possiblyExecuted},
		{429, nil, possiblyExecuted},
		{408, nil, possiblyExecuted},
		{421, nil, notExecuted},
		{503, declined, notExecuted},
		{429, declined, notExecuted},
		{400, declined, notExecuted},
		{504, declined, notExecuted},
	}
	for _, test := range cases {
		require.Equal(t, test.want, executionOfResponse(test.status, test.header), "%d %v", test.status, test.header)
	}
}

func TestAttemptLogDecisions(t *testing.T) {
	cases := map[string]struct {
		idempotent  bool
		maxAttempts int
		states      []executionState
		remaining   time.Duration
		retry       bool
		status      int
	}{
		"nothing yet":                  {false, 2, nil, time.Second, true, 503},
		"dial failed":                  {false, 1, []executionState{unsent}, time.Second, true, 503},
		"dials failed too often":       {false, 1, []executionState{0, 0, 0, 0}, time.Second, false, 503},
		"rejected":                     {false, 2, []executionState{notExecuted}, time.Second, true, 503},
		"rejected, no attempts left":   {false, 1, []executionState{notExecuted}, time.Second, false, 503},
		"rejected, no time left":       {false, 2, []executionState{notExecuted}, 0, false, 503},
		"unknown":                      {false, 2, []executionState{possiblyExecuted}, time.Second, false, 502},
		"unknown at the deadline":      {false, 2, []executionState{possiblyExecuted}, 0, false, 504},
		"unknown, then rejected":       {false, 9, []executionState{possiblyExecuted, notExecuted}, time.Second, false, 502},
		"ran":                          {false, 2, []executionState{executed}, time.Second, false, 502},
		"idempotent unknown":           {true, 2, []executionState{possiblyExecuted}, time.Second, true, 502},
		"idempotent ran":               {true, 3, []executionState{executed, possiblyExecuted}, time.Second, true, 502},
		"idempotent, no attempts left": {true, 2, []executionState{possiblyExecuted, possiblyExecuted}, time.Second, false, 502},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			l := attemptLog{idempotent: test.idempotent, maxAttempts: test.maxAttempts}
			for _, state := range test.states {
				l.record(state)
			}
			require.Equal(t, test.retry, l.mayRetry(test.remaining))
			require.Equal(t, test.status, l.finalStatus(test.remaining))
		})
	}
}

// A request that is not idempotent is never sent again after it may have run, and its final status then never says that it
// was not run. No request is sent to more servers than allowed.
func TestAttemptLogNeverAllowsASecondExecution(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := attemptLog{idempotent: rapid.Bool().Draw(t, "idempotent"), maxAttempts: rapid.IntRange(1, 4).Draw(t, "maxAttempts")}
		mayHaveRun, sent, attempts := false, 0, 0
		for l.mayRetry(time.Second) {
			attempts++
			if mayHaveRun && !l.idempotent {
				t.Fatal("sent again although it may have run")
			}
			state := executionState(rapid.IntRange(int(unsent), int(executed)).Draw(t, "state"))
			l.record(state)
			if state != unsent {
				sent++
			}
			mayHaveRun = mayHaveRun || state == possiblyExecuted || state == executed
		}
		require.LessOrEqual(t, sent, l.maxAttempts)
		require.LessOrEqual(t, attempts, l.maxAttempts+maxUnsentAttempts)
		remaining := time.Duration(rapid.IntRange(-1, 1).Draw(t, "remaining")) * time.Second
		require.Equal(t, !mayHaveRun, isRejectionStatus(l.finalStatus(remaining)))
	})
}
