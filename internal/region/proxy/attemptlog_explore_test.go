package proxy

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"fieldrelay/internal/testkit/explore"
)

// attemptLogSteps are the methods of an attempt log as functions, so that a test can replace one by a faulty one.
type attemptLogSteps struct {
	record      func(*attemptLog, executionState)
	mayRetry    func(*attemptLog, time.Duration) bool
	finalStatus func(*attemptLog, time.Duration) int
}

func unmodifiedSteps() attemptLogSteps {
	return attemptLogSteps{record: (*attemptLog).record, mayRetry: (*attemptLog).mayRetry, finalStatus: (*attemptLog).finalStatus}
}

// exploredRequest is the model of a request: its attempt log, and what really happened at the servers.
type exploredRequest struct {
	steps     attemptLogSteps
	log       attemptLog
	remaining time.Duration
	runs      int // actual executions
	unknown   int // attempts for which the proxy can't know whether they ran
	sent      int
	attempts  int
	answer    int  // status of the client's response; 0 if there is none yet
	own       bool // the response is the proxy's own
}

// attemptEnd is a way in which an attempt can end.
type attemptEnd struct {
	name    string
	state   executionState
	ran     bool // the server ran the request, regardless of state
	success bool // the response is usable and forwarded
}

var attemptEnds = []attemptEnd{
	{name: "was not sent", state: unsent},
	{name: "was rejected without execution", state: notExecuted},
	{name: "was lost after execution", state: possiblyExecuted, ran: true},
	{name: "was lost before execution", state: possiblyExecuted},
	{name: "was executed and interrupted", state: executed, ran: true},
	{name: "was executed and answered", state: executed, ran: true, success: true},
}

func (r *exploredRequest) isOngoing() bool {
	return r.answer == 0 && (r.attempts == 0 || r.steps.mayRetry(&r.log, r.remaining))
}

// Events implements explore.System.
func (r *exploredRequest) Events() []string {
	if r.answer != 0 {
		return nil
	}
	names := []string{"the proxy responds itself"}
	if r.remaining > 0 {
		names = append(names, "the deadline passes")
	}
	if r.isOngoing() {
		for _, end := range attemptEnds {
			names = append(names, end.name)
		}
	}
	return names
}

// Do implements explore.System.
func (r *exploredRequest) Do(event int) {
	switch names := r.Events(); names[event] {
	case "the proxy responds itself":
		r.answer, r.own = r.steps.finalStatus(&r.log, r.remaining), true
	case "the deadline passes":
		r.remaining = 0
	default:
		r.attempt(attemptEnds[event-(len(names)-len(attemptEnds))])
	}
}

func (r *exploredRequest) attempt(end attemptEnd) {
	r.attempts++
	r.steps.record(&r.log, end.state)
	if end.state != unsent {
		r.sent++
	}
	if end.ran {
		r.runs++
	}
	if end.state == possiblyExecuted {
		r.unknown++
	}
	if end.success {
		r.answer = http.StatusOK
	}
}

// Hash implements explore.System.
func (r *exploredRequest) Hash() uint64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%+v %v %d %d %d %d %d %v", r.log, r.remaining, r.runs, r.unknown, r.sent, r.attempts, r.answer, r.own)
	return hash.Sum64()
}

// Check implements explore.System.
func (r *exploredRequest) Check() error {
	mayHaveRun := r.runs > 0 || r.unknown > 0
	switch {
	case !r.log.idempotent && r.runs > 1:
		return errors.Newf("ran %d times", r.runs)
	case r.sent > r.log.maxAttempts:
		return errors.Newf("was sent to %d servers, allowed are %d", r.sent, r.log.maxAttempts)
	case r.attempts > r.log.maxAttempts+maxUnsentAttempts:
		return errors.Newf("%d attempts", r.attempts)
	case r.own && isRejectionStatus(r.answer) && mayHaveRun:
		return errors.Newf("%d says that it has not run, but it may have", r.answer)
	case r.own && !isRejectionStatus(r.answer) && !mayHaveRun:
		return errors.Newf("%d although it has not run", r.answer)
	case r.own && r.answer == http.StatusGatewayTimeout && r.remaining > 0:
		return errors.New("504 before the deadline")
	}
	return nil
}

// exploreAttemptLog explores all orders of a request's events.
func exploreAttemptLog(steps attemptLogSteps, idempotent bool, maxAttempts int) (explore.Result, error) {
	return explore.All(func() explore.System {
		return &exploredRequest{steps: steps, log: attemptLog{idempotent: idempotent, maxAttempts: maxAttempts}, remaining: time.Second}
	}, maxAttempts+maxUnsentAttempts+3, 200_000)
}

func TestAttemptLogInAllOrders(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		for maxAttempts := 1; maxAttempts <= 3; maxAttempts++ {
			result, err := exploreAttemptLog(unmodifiedSteps(), idempotent, maxAttempts)
			require.NoError(t, err)
			require.True(t, result.Full)
			t.Logf("idempotent %v, %d attempts: %+v", idempotent, maxAttempts, result)
		}
	}
}

func TestExplorationFindsFaultsOfTheAttemptLog(t *testing.T) {
	faults := map[string]struct {
		plant   func(*attemptLogSteps)
		finding string
	}{
		"a lost attempt is recorded as not executed": {func(s *attemptLogSteps) {
			s.record = func(l *attemptLog, f executionState) {
				if f == possiblyExecuted {
					f = notExecuted
				}
				l.record(f)
			}
		}, "says that it has not run, but it may have"},
		"a rejection resets possiblyExecuted": {func(s *attemptLogSteps) {
			s.record = func(l *attemptLog, f executionState) {
				l.record(f)
				l.possiblyExecuted = l.possiblyExecuted && f != notExecuted
			}
		}, "says that it has not run, but it may have"},
		"all requests are retried": {func(s *attemptLogSteps) {
			s.mayRetry = func(l *attemptLog, left time.Duration) bool {
				changed := *l
				changed.idempotent = true
				return changed.mayRetry(left)
			}
		}, "ran 2 times"},
		"sent attempts are not counted": {func(s *attemptLogSteps) {
			s.mayRetry = func(l *attemptLog, left time.Duration) bool {
				changed := *l
				changed.sent = 0
				return changed.mayRetry(left)
			}
		}, "servers, allowed are"},
		"unsent attempts are not counted": {func(s *attemptLogSteps) {
			s.mayRetry = func(l *attemptLog, left time.Duration) bool {
				changed := *l
				changed.unsent = 0
				return changed.mayRetry(left)
			}
		}, "attempts"},
		"the final status is always 503": {func(s *attemptLogSteps) {
			s.finalStatus = func(*attemptLog, time.Duration) int { return http.StatusServiceUnavailable }
		}, "says that it has not run, but it may have"},
		"the final status is never 503": {func(s *attemptLogSteps) {
			s.finalStatus = func(*attemptLog, time.Duration) int { return http.StatusBadGateway }
		}, "although it has not run"},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			steps := unmodifiedSteps()
			fault.plant(&steps)
			var found error
			for _, idempotent := range []bool{false, true} {
				_, err := exploreAttemptLog(steps, idempotent, 2)
				found = errors.CombineErrors(found, err)
			}
			require.ErrorContains(t, found, fault.finding)
		})
	}
}
