package coordinationapi

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"fieldrelay/api/coordination"
	pb "fieldrelay/api/fieldrelay/v1"
)

// recordedCalls is a fake of Calls that records each call and returns the result of the function answer.
type recordedCalls struct {
	mutex  sync.Mutex
	calls  []*pb.CoordinationCall
	answer func(ctx context.Context) *pb.CoordinationResult
}

func (r *recordedCalls) Call(ctx context.Context, call *pb.CoordinationCall) *pb.CoordinationResult {
	r.mutex.Lock()
	r.calls = append(r.calls, call)
	r.mutex.Unlock()
	return r.answer(ctx)
}

// answeringWith returns a fake that gives every call the same result.
func answeringWith(result *pb.CoordinationResult) *recordedCalls {
	return &recordedCalls{answer: func(context.Context) *pb.CoordinationResult { return result }}
}

func optionsWith(calls Calls) Options {
	return Options{
		Calls:        calls,
		Ready:        func() bool { return true },
		ShuttingDown: make(chan struct{}),
		Counters:     &Counters{},
	}
}

// send sends one request to a server and returns the response.
func send(server *Server, method, path string, body io.Reader) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	server.Handler().ServeHTTP(recorder, httptest.NewRequest(method, path, body))
	return recorder
}

// One request of each operation, with the bodies of the examples in the operators' documentation.
var (
	begin   = request{"POST", "/api/locks/l1f/begin", `{"holder":"a3.7","hold-ms":3000}`}
	renew   = request{"POST", "/api/locks/l1f/heartbeat", `{"holder":"a3.7","fence":41,"hold-ms":3000}`}
	finish  = request{"POST", "/api/locks/l1f/finish", `{"holder":"a3.7","fence":41}`}
	number  = request{"POST", "/api/numbers/n2", `{}`}
	replace = request{"POST", "/api/cells/g1.2d/replace", `{"val":"5c0e7a21d94b36f8","enabled":907}`}
	read    = request{"GET", "/api/cells/g1.2d/read", ""}
	watch   = request{"GET", "/api/watch/g1.?after=930&wait-ms=2000", ""}
)

var allRequests = []request{begin, renew, finish, number, replace, read, watch}

type request struct{ method, path, body string }

func (r request) to(server *Server) *httptest.ResponseRecorder {
	return send(server, r.method, r.path, strings.NewReader(r.body))
}

func (r request) with(body string) request { return request{r.method, r.path, body} }

func (r request) at(path string) request { return request{r.method, path, r.body} }

func pointerTo[T any](value T) *T { return &value }

// putCall returns the call that replace becomes with an expected revision; nil: without one.
func putCall(expected *uint64) *pb.CoordinationCall {
	return &pb.CoordinationCall{Operation: &pb.CoordinationCall_Put{Put: &pb.PutKey{
		Name: "g1.2d", Value: "5c0e7a21d94b36f8", ExpectedRevision: expected,
	}}}
}

// acquireCall returns the call that begin becomes.
func acquireCall() *pb.CoordinationCall {
	return &pb.CoordinationCall{Operation: &pb.CoordinationCall_Acquire{Acquire: &pb.AcquireLock{
		Name: "l1f", Holder: "a3.7", HoldMs: 3000,
	}}}
}

func renewCall(fence uint64) *pb.CoordinationCall {
	return &pb.CoordinationCall{Operation: &pb.CoordinationCall_Renew{Renew: &pb.RenewLock{
		Name: "l1f", Holder: "a3.7", Fence: fence, HoldMs: 3000,
	}}}
}

func watchCall(after uint64, waitMS uint32) *pb.CoordinationCall {
	return &pb.CoordinationCall{Operation: &pb.CoordinationCall_Watch{Watch: &pb.WatchGroup{
		Group: "g1.", After: after, WaitMs: waitMS,
	}}}
}

func TestCallsArePassedOnAsTheyWereSent(t *testing.T) {
	cases := map[string]struct {
		sent request
		want *pb.CoordinationCall
	}{
		"begin": {begin, acquireCall()},
		"renew": {renew, renewCall(41)},
		"finish": {finish, &pb.CoordinationCall{Operation: &pb.CoordinationCall_Release{Release: &pb.ReleaseLock{
			Name: "l1f", Holder: "a3.7", Fence: 41,
		}}}},
		"number":               {number, &pb.CoordinationCall{Operation: &pb.CoordinationCall_NextNumber{NextNumber: &pb.NextNumber{Name: "n2"}}}},
		"number without body":  {number.with(""), &pb.CoordinationCall{Operation: &pb.CoordinationCall_NextNumber{NextNumber: &pb.NextNumber{Name: "n2"}}}},
		"replace":              {replace, putCall(pointerTo(uint64(907)))},
		"replace of no key":    {replace.with(`{"val":"5c0e7a21d94b36f8","enabled":0}`), putCall(pointerTo(uint64(0)))},
		"replace of any":       {replace.with(`{"val":"5c0e7a21d94b36f8"}`), putCall(nil)},
		"read":                 {read, &pb.CoordinationCall{Operation: &pb.CoordinationCall_Read{Read: &pb.ReadKey{Name: "g1.2d"}}}},
		"watch":                {watch, watchCall(930, 2000)},
		"watch from the start": {watch.at("/api/watch/g1."), watchCall(0, 0)},
		"watch for too long":   {watch.at("/api/watch/g1.?after=1&wait-ms=1e9"), watchCall(1, 60_000)},

		"unknown members":            {begin.with(`{"holder":"a3.7","hold-ms":3000,"else":[{}]}`), acquireCall()},
		"a whole number as a float":  {begin.with(`{"holder":"a3.7","hold-ms":3000.0}`), acquireCall()},
		"a fraction is rounded up":   {begin.with(`{"holder":"a3.7","hold-ms":2999.2}`), acquireCall()},
		"a fence as a float":         {renew.with(`{"holder":"a3.7","fence":41.0,"hold-ms":3e3}`), renewCall(41)},
		"a revision as a float":      {replace.with(`{"val":"5c0e7a21d94b36f8","enabled":9.07e2}`), putCall(pointerTo(uint64(907)))},
		"a fence beyond exact float": {renew.with(`{"holder":"a3.7","fence":9007199254740993,"hold-ms":3000}`), renewCall(1<<53 + 1)},
		"escaped names": {read.at("/api/cells/g1.%2Fa%20b,c/read"), &pb.CoordinationCall{
			Operation: &pb.CoordinationCall_Read{Read: &pb.ReadKey{Name: "g1./a b,c"}},
		}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			calls := answeringWith(&pb.CoordinationResult{Outcome: pb.CoordinationResult_OUTCOME_OK})
			recorder := test.sent.to(New(optionsWith(calls)))
			require.Equal(t, http.StatusOK, recorder.Code, recorder.Body.String())
			require.Len(t, calls.calls, 1)
			require.Equal(t, test.want.String(), calls.calls[0].String())
		})
	}
}

func TestResponsesAreThoseOfThePage(t *testing.T) {
	event := &pb.KeyEvent{Name: "g1.2d", Value: "5c0e7a21d94b36f8", Revision: 931}
	cases := map[string]struct {
		sent   request
		result *pb.CoordinationResult
		body   string
	}{
		"begin":   {begin, &pb.CoordinationResult{Fence: 41}, `{"fence":41}`},
		"renew":   {renew, &pb.CoordinationResult{Fence: 41}, `{}`},
		"finish":  {finish, &pb.CoordinationResult{}, `{}`},
		"number":  {number, &pb.CoordinationResult{Number: 5120}, `{"val":5120}`},
		"replace": {replace, &pb.CoordinationResult{Revision: 931}, `{"revision":931}`},
		"read":    {read, &pb.CoordinationResult{Value: "5c0e7a21d94b36f8", Revision: 931}, `{"revision":931,"val":"5c0e7a21d94b36f8"}`},
		"watch": {
			watch, &pb.CoordinationResult{Revision: 934, Events: []*pb.KeyEvent{event}},
			`{"events":[{"name":"g1.2d","revision":931,"val":"5c0e7a21d94b36f8"}],"revision":934}`,
		},
		"watch without events": {watch, &pb.CoordinationResult{Revision: 930}, `{"events":[],"revision":930}`},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			test.result.Outcome = pb.CoordinationResult_OUTCOME_OK
			options := optionsWith(answeringWith(test.result))
			recorder := test.sent.to(New(options))
			require.Equal(t, http.StatusOK, recorder.Code)
			require.Equal(t, test.body, recorder.Body.String())
			require.Equal(t, "application/json", recorder.Header().Get("Content-Type"))
			require.EqualValues(t, 1, options.Counters.Executed.Load())
		})
	}
}

// detailOf returns the error in a response.
func detailOf(t *testing.T, recorder *httptest.ResponseRecorder) coordination.RefusalDetail {
	t.Helper()
	require.Equal(t, "application/json", recorder.Header().Get("Content-Type"))
	var refusal coordination.Refusal
	require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &refusal), recorder.Body.String())
	return refusal.Error
}

func TestOutcomesWithoutAValue(t *testing.T) {
	cases := map[pb.CoordinationResult_Outcome]struct {
		status  int
		code    string
		counter func(*Counters) int64
	}{
		pb.CoordinationResult_OUTCOME_HELD_BY_OTHER: {409, "lock_held", func(c *Counters) int64 { return c.Refused.Load() }},
		pb.CoordinationResult_OUTCOME_NOT_FOUND:     {404, "not_found", func(c *Counters) int64 { return c.Refused.Load() }},
		pb.CoordinationResult_OUTCOME_COMPACTED:     {410, "compacted", func(c *Counters) int64 { return c.Refused.Load() }},
		pb.CoordinationResult_OUTCOME_BUSY:          {429, "busy_name", func(c *Counters) int64 { return c.NotExecuted.Load() }},
		pb.CoordinationResult_OUTCOME_UNAVAILABLE:   {503, "unavailable", func(c *Counters) int64 { return c.NotExecuted.Load() }},
		pb.CoordinationResult_OUTCOME_UNKNOWN:       {504, "unknown_outcome", func(c *Counters) int64 { return c.Unknown.Load() }},
		pb.CoordinationResult_OUTCOME_UNSPECIFIED:   {504, "unknown_outcome", func(c *Counters) int64 { return c.Unknown.Load() }},
	}
	for outcome, want := range cases {
		t.Run(outcome.String(), func(t *testing.T) {
			options := optionsWith(answeringWith(&pb.CoordinationResult{Outcome: outcome}))
			recorder := begin.to(New(options))
			require.Equal(t, want.status, recorder.Code)
			require.Equal(t, want.code, detailOf(t, recorder).Code)
			isNotExecuted := want.status == 429 || want.status == 503
			require.Equal(t, isNotExecuted, recorder.Header().Get("Retry-After") != "")
			require.EqualValues(t, 1, want.counter(options.Counters))
		})
	}
}

func TestAPutOnAnotherRevisionNamesThePresentOne(t *testing.T) {
	result := &pb.CoordinationResult{Outcome: pb.CoordinationResult_OUTCOME_REVISION_MISMATCH, Revision: 922}
	recorder := replace.to(New(optionsWith(answeringWith(result))))
	require.Equal(t, 412, recorder.Code)
	require.Equal(t, `{"revision":922}`, recorder.Body.String())
}

// The JSON decoder alone would accept some of these calls with other values than those sent.
func TestInvalidCallsAreRejectedWithFieldOrOffset(t *testing.T) {
	long := strings.Repeat("x", maxNameBytes+1)
	cases := map[string]struct {
		sent   request
		fields []string // names of the faulty members; none: the body is malformed
		text   string   // substring of the message
	}{
		"no body":                 {begin.with(""), nil, "at byte 0"},
		"not JSON":                {begin.with(`{"holder":"a",}`), nil, "at byte 15"},
		"cut short":               {begin.with(`{"holder":"a","hold-ms":30`), nil, "at byte 26"},
		"a second document":       {begin.with(begin.body + "{}"), nil, "at byte 33"},
		"no object":               {begin.with(`[1]`), nil, "no object"},
		"not UTF-8":               {begin.with("{\"holder\":\"a\xff\",\"hold-ms\":3000}"), nil, "at byte 12: it is not UTF-8"},
		"value not UTF-8":         {replace.with("{\"val\":\"\xc3\x28\"}"), nil, "at byte 8: it is not UTF-8"},
		"null":                    {begin.with("null"), []string{"hold-ms", "holder"}, "is missing"},
		"no members":              {begin.with("{}"), []string{"hold-ms", "holder"}, "is missing"},
		"no fence":                {renew.with(`{"holder":"a","hold-ms":3000}`), []string{"fence"}, "is missing"},
		"no value":                {replace.with(`{"enabled":0}`), []string{"val"}, "is missing"},
		"null for a member":       {replace.with(`{"val":null}`), []string{"val"}, "is missing"},
		"empty holder":            {begin.with(`{"holder":"","hold-ms":3000}`), []string{"holder"}, "blank"},
		"holder is a number":      {begin.with(`{"holder":7,"hold-ms":3000}`), []string{"holder"}, "number"},
		"long holder":             {begin.with(`{"holder":"` + long + `","hold-ms":3000}`), []string{"holder"}, "256"},
		"time is text":            {begin.with(`{"holder":"a","hold-ms":"3000"}`), []string{"hold-ms"}, "string"},
		"no time":                 {begin.with(`{"holder":"a","hold-ms":0}`), []string{"hold-ms"}, "no less than 1"},
		"negative time":           {begin.with(`{"holder":"a","hold-ms":-5}`), []string{"hold-ms"}, "no less than 1"},
		"time beyond any":         {begin.with(`{"holder":"a","hold-ms":1e300}`), []string{"hold-ms"}, "no greater"},
		"several faults":          {begin.with(`{"holder":"","hold-ms":0}`), []string{"hold-ms", "holder"}, "no less than 1"},
		"fraction of a fence":     {renew.with(`{"holder":"a","fence":41.5,"hold-ms":3000}`), []string{"fence"}, "41.5"},
		"negative revision":       {replace.with(`{"val":"v","enabled":-1}`), []string{"enabled"}, "-1"},
		"revision is text":        {replace.with(`{"val":"v","enabled":"907"}`), []string{"enabled"}, "907"},
		"long value":              {replace.with(`{"val":"` + strings.Repeat("x", maxValueBytes+1) + `"}`), []string{"val"}, "65536"},
		"long name":               {begin.at("/api/locks/" + long + "/begin"), []string{"id"}, "256"},
		"name is not UTF-8":       {number.at("/api/numbers/%ff"), []string{"id"}, "UTF-8"},
		"long key":                {read.at("/api/cells/" + long + "/read"), []string{"id"}, "256"},
		"watch of a key":          {watch.at("/api/watch/g1.2d?after=930"), []string{"id"}, "first dot"},
		"watch from no revision":  {watch.at("/api/watch/g1.?after=x"), []string{"after"}, "x"},
		"watch from below 0":      {watch.at("/api/watch/g1.?after=-1"), []string{"after"}, "-1"},
		"watch for no time":       {watch.at("/api/watch/g1.?after=1&wait-ms=x"), []string{"wait-ms"}, "x"},
		"watch for negative time": {watch.at("/api/watch/g1.?after=1&wait-ms=-1"), []string{"wait-ms"}, "no less than 0"},
		"watch for NaN":           {watch.at("/api/watch/g1.?after=1&wait-ms=NaN"), []string{"wait-ms"}, "no less than 0"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			calls := answeringWith(&pb.CoordinationResult{Outcome: pb.CoordinationResult_OUTCOME_OK})
			recorder := test.sent.to(New(optionsWith(calls)))
			require.Equal(t, http.StatusBadRequest, recorder.Code, recorder.Body.String())
			require.Empty(t, calls.calls)
			detail := detailOf(t, recorder)
			require.Contains(t, detail.Message, test.text)
			if len(test.fields) == 0 {
				require.Equal(t, "malformed_body", detail.Code)
				return
			}
			require.Equal(t, "invalid_call", detail.Code)
			var fields []string
			for _, fault := range *detail.Faults {
				fields = append(fields, *fault.Field)
				require.NotEmpty(t, fault.Message)
			}
			require.Equal(t, test.fields, fields)
		})
	}
}

func TestBodiesThatDoNotArriveWholeExecuteNothing(t *testing.T) {
	calls := answeringWith(&pb.CoordinationResult{Outcome: pb.CoordinationResult_OUTCOME_OK})
	server := New(optionsWith(calls))
	broken := send(server, begin.method, begin.path, iotest.ErrReader(io.ErrUnexpectedEOF))
	require.Equal(t, http.StatusRequestTimeout, broken.Code)
	large := send(server, replace.method, replace.path, strings.NewReader(strings.Repeat("x", maxBodyBytes+1)))
	require.Equal(t, http.StatusRequestEntityTooLarge, large.Code)
	require.Empty(t, calls.calls)
}

func TestTheLargestValueIsAcceptedHoweverItIsEscaped(t *testing.T) {
	calls := answeringWith(&pb.CoordinationResult{Outcome: pb.CoordinationResult_OUTCOME_OK})
	body := `{"val":"` + strings.Repeat(`\u0078`, maxValueBytes) + `"}`
	recorder := replace.with(body).to(New(optionsWith(calls)))
	require.Equal(t, http.StatusOK, recorder.Code, recorder.Body.String())
	require.Len(t, calls.calls[0].GetPut().GetValue(), maxValueBytes)
}

func TestNothingIsExecutedBeforeAViewIsKnown(t *testing.T) {
	calls := answeringWith(&pb.CoordinationResult{Outcome: pb.CoordinationResult_OUTCOME_OK})
	options := optionsWith(calls)
	options.Ready = func() bool { return false }
	for _, request := range allRequests {
		recorder := request.to(New(options))
		require.Equal(t, http.StatusServiceUnavailable, recorder.Code, request.path)
		require.Equal(t, "not_ready", detailOf(t, recorder).Code)
		require.NotEmpty(t, recorder.Header().Get("Retry-After"))
	}
	require.Empty(t, calls.calls)
}

// waitingCalls returns a fake whose calls wait until proceed is closed or their context ends.
func waitingCalls(proceed <-chan struct{}) *recordedCalls {
	return &recordedCalls{answer: func(ctx context.Context) *pb.CoordinationResult {
		select {
		case <-proceed:
			return &pb.CoordinationResult{Outcome: pb.CoordinationResult_OUTCOME_OK}
		case <-ctx.Done():
			return &pb.CoordinationResult{Outcome: pb.CoordinationResult_OUTCOME_UNKNOWN}
		}
	}}
}

func TestOpenCallsAndOpenWatchesAreBoundedSeparately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		proceed := make(chan struct{})
		server := New(optionsWith(waitingCalls(proceed)))
		var open sync.WaitGroup
		fill := func(call request, count int) {
			for range count {
				open.Go(func() { require.Equal(t, http.StatusOK, call.to(server).Code) })
			}
			synctest.Wait()
			recorder := call.to(server)
			require.Equal(t, http.StatusTooManyRequests, recorder.Code)
			require.Equal(t, "busy", detailOf(t, recorder).Code)
			require.NotEmpty(t, recorder.Header().Get("Retry-After"))
		}
		fill(watch, maxConcurrentWatches)
		fill(number, maxConcurrentCalls)
		close(proceed)
		open.Wait()
		require.Equal(t, http.StatusOK, number.to(server).Code, "the slots are free again")
		require.Equal(t, http.StatusOK, watch.to(server).Code)
	})
}

func TestOpenWatchesDoNotHoldUpAShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shuttingDown := make(chan struct{})
		options := optionsWith(waitingCalls(nil))
		options.ShuttingDown = shuttingDown
		server := New(options)
		answered := make(chan *httptest.ResponseRecorder, 1)
		go func() { answered <- watch.to(server) }()
		synctest.Wait()
		require.Empty(t, answered)
		close(shuttingDown)
		recorder := <-answered
		require.Equal(t, http.StatusServiceUnavailable, recorder.Code)
		require.Equal(t, "unavailable", detailOf(t, recorder).Code)
	})
}

func TestOtherPathsAreLeftToTheOperatorsAPI(t *testing.T) {
	for _, request := range allRequests {
		require.True(t, Serves(request.path), request.path)
	}
	for _, path := range []string{"/", "/api/conf/read", "/api/drain/z/begin", "/api/lookup", "/api/locksmith/x"} {
		require.False(t, Serves(path), path)
	}
}

func TestMembersWithOtherCaseOfLettersAreIgnored(t *testing.T) {
	calls := answeringWith(&pb.CoordinationResult{Outcome: pb.CoordinationResult_OUTCOME_OK})
	body := `{"val":"5c0e7a21d94b36f8","enabled":907,"Val":"other","ENABLED":1}`
	require.Equal(t, http.StatusOK, replace.with(body).to(New(optionsWith(calls))).Code)
	require.Len(t, calls.calls, 1)
	require.Equal(t, "5c0e7a21d94b36f8", calls.calls[0].GetPut().GetValue())
	require.EqualValues(t, 907, calls.calls[0].GetPut().GetExpectedRevision())
}

func TestLoneSurrogatesAreRejected(t *testing.T) {
	calls := answeringWith(&pb.CoordinationResult{Outcome: pb.CoordinationResult_OUTCOME_OK})
	server := New(optionsWith(calls))
	for _, value := range []string{`\ud800`, `a\udc00b`, `\ud800\u0041`, `\uD83D\n`, `\\\ud83d`} {
		response := replace.with(`{"val":"` + value + `"}`).to(server)
		require.Equal(t, http.StatusBadRequest, response.Code, value)
	}
	require.Empty(t, calls.calls)
	for _, value := range []string{`\ud83d\ude00`, `\\ud800`, `\ufffd`} {
		require.Equal(t, http.StatusOK, replace.with(`{"val":"`+value+`"}`).to(server).Code, value)
	}
}
