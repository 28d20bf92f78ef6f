package operatorapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/api/operator"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/operatorapi/rejection"
)

// recordedOrders is a fake of Orders that records each order and returns the result of the function answer.
type recordedOrders struct {
	mutex  sync.Mutex
	orders []*pb.Order
	answer func(ctx context.Context, order *pb.Order) *pb.OrderResult
}

func (r *recordedOrders) Submit(ctx context.Context, order *pb.Order) *pb.OrderResult {
	r.mutex.Lock()
	r.orders = append(r.orders, order)
	r.mutex.Unlock()
	return r.answer(ctx, order)
}

// answeringWith returns a fake that gives every order the same result.
func answeringWith(status uint32, body string) *recordedOrders {
	return &recordedOrders{answer: func(context.Context, *pb.Order) *pb.OrderResult {
		return &pb.OrderResult{Status: status, Body: []byte(body)}
	}}
}

func optionsWith(orders Orders) Options {
	return Options{
		Orders:            orders,
		Ready:             func() bool { return true },
		Authoritative:     func() bool { return true },
		ZoneKnown:         func(zone string) bool { return zone == "brno-hala" },
		Endpoints:         func(host, region, zone string) []string { return []string{host + "/" + region + "/" + zone} },
		EndpointsLifetime: func() time.Duration { return time.Second },
		Counters:          &Counters{},
	}
}

var allServices = Services{Operator: true, Directory: true}

// call sends one request to a new server with the given options and returns the response.
func call(options Options, method, path, base string, body io.Reader) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, body)
	request = request.WithContext(ConnContext(request.Context(), nil))
	if base != "" {
		request.Header.Set("X-Fieldrelay-Base-Rev", base)
	}
	recorder := httptest.NewRecorder()
	New(options).Handler(allServices).ServeHTTP(recorder, request)
	return recorder
}

func rejectionIn(t *testing.T, recorder *httptest.ResponseRecorder) operator.RefusalDetail {
	t.Helper()
	require.Equal(t, "application/json", recorder.Header().Get("Content-Type"))
	var refusal operator.Refusal
	require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &refusal), recorder.Body.String())
	return refusal.Error
}

func TestOrdersAreSubmitted(t *testing.T) {
	cases := map[string]struct {
		method, path, base, body string
		want                     *pb.Order
	}{
		"replace": {"POST", "/api/conf/replace", "5", `{"gen":7}`, &pb.Order{Kind: pb.Order_KIND_REPLACE, Base: 5, Body: []byte(`{"gen":7}`)}},
		"amend":   {"POST", "/api/conf/amend", "0", `{"gen":9}`, &pb.Order{Kind: pb.Order_KIND_AMEND, Body: []byte(`{"gen":9}`)}},
		"read":    {"GET", "/api/conf/read", "", "", &pb.Order{Kind: pb.Order_KIND_READ}},
		"begin":   {"POST", "/api/drain/brno-hala/begin", "", "", &pb.Order{Kind: pb.Order_KIND_EVACUATE_BEGIN, Zone: "brno-hala"}},
		"finish":  {"POST", "/api/drain/brno-hala/finish", "", "", &pb.Order{Kind: pb.Order_KIND_EVACUATE_FINISH, Zone: "brno-hala"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			orders := answeringWith(200, `{"gen":7}`)
			recorder := call(optionsWith(orders), test.method, test.path, test.base, strings.NewReader(test.body))
			require.Equal(t, 200, recorder.Code)
			require.Equal(t, `{"gen":7}`, recorder.Body.String())
			require.Len(t, orders.orders, 1)
			require.Equal(t, test.want.String(), orders.orders[0].String())
		})
	}
}

func TestResultsBecomeResponses(t *testing.T) {
	for _, status := range []uint32{400, 409, 412, 413, 422, 503} {
		withBody := call(optionsWith(answeringWith(status, `{"error":{}}`)), "GET", "/api/conf/read", "", nil)
		require.Equal(t, int(status), withBody.Code)
		require.Equal(t, `{"error":{}}`, withBody.Body.String())
		require.Equal(t, status == 503, withBody.Header().Get("Retry-After") != "")

		withoutBody := call(optionsWith(answeringWith(status, "")), "GET", "/api/conf/read", "", nil)
		require.Equal(t, int(status), withoutBody.Code)
		require.NotEmpty(t, rejectionIn(t, withoutBody).Code)
	}
	require.Equal(t, "{}", call(optionsWith(answeringWith(200, "")), "GET", "/api/conf/read", "", nil).Body.String())
	require.Equal(t, 503, call(optionsWith(answeringWith(0, "")), "GET", "/api/conf/read", "", nil).Code)
	require.Equal(t, 503, call(optionsWith(answeringWith(99999, "x")), "GET", "/api/conf/read", "", nil).Code)
}

func TestPlainReasonsBecomeStructuredRejections(t *testing.T) {
	recorder := call(optionsWith(answeringWith(412, `{"error":"the order builds on 3"}`)), "GET", "/api/conf/read", "", nil)
	require.Equal(t, 412, recorder.Code)
	require.Equal(t, operator.RefusalDetail{Code: "wrong_base", Message: "the order builds on 3"}, rejectionIn(t, recorder))
}

func TestRejectionBodyNamesItemAndField(t *testing.T) {
	_, err := catalog.PrepareReplace(catalog.Empty(), 0, []byte(`{"gen":1,"routes":[{"name":"r","vhost":"h","path-prefix":"/a/","deadline-ms":0,"backend":"s"}],"backends":[{"name":"s"}]}`))
	refusal, refused := errors.AsType[catalog.OrderError](err)
	require.True(t, refused)
	var body operator.Refusal
	require.NoError(t, json.Unmarshal(rejection.Body(refusal), &body))
	require.Equal(t, "invalid", body.Error.Code)
	require.Len(t, *body.Error.Faults, 1)
	fault := (*body.Error.Faults)[0]
	require.Equal(t, "routes/r", *fault.Item)
	require.Equal(t, "deadline-ms", *fault.Field)
	require.NotEmpty(t, fault.Message)

	require.NoError(t, json.Unmarshal(rejection.Body(&catalog.ConflictError{Base: 3, Current: 5}), &body))
	require.Equal(t, "wrong_base", body.Error.Code)
	require.Equal(t, int64(5), *body.Error.Gen)
}

func TestRejectionsBeforeAnOrderIsSubmitted(t *testing.T) {
	notReady := func(options *Options) { options.Ready = func() bool { return false } }
	small := func(options *Options) { options.MaxBodyBytes = 10 }
	unchanged := func(*Options) {}
	cases := map[string]struct {
		change             func(*Options)
		method, path, base string
		body               io.Reader
		status             int
		code               string
	}{
		"no base":          {unchanged, "POST", "/api/conf/replace", "", strings.NewReader("{}"), 400, "missing_base"},
		"malformed base":   {unchanged, "POST", "/api/conf/replace", "x", strings.NewReader("{}"), 400, "bad_parameter"},
		"negative base":    {unchanged, "POST", "/api/conf/amend", "-1", strings.NewReader("{}"), 400, "bad_parameter"},
		"too large":        {small, "POST", "/api/conf/replace", "1", strings.NewReader(strings.Repeat("x", 11)), 413, "body_too_large"},
		"too large, chunk": {small, "POST", "/api/conf/replace", "1", io.MultiReader(strings.NewReader(strings.Repeat("x", 11))), 413, "body_too_large"},
		"broken body":      {unchanged, "POST", "/api/conf/replace", "1", iotest.ErrReader(io.ErrUnexpectedEOF), 408, "body_broken"},
		"unknown zone":     {unchanged, "POST", "/api/drain/nowhere/begin", "", nil, 404, "unknown_zone"},
		"not ready":        {notReady, "POST", "/api/conf/replace", "1", strings.NewReader("{}"), 503, "not_ready"},
		"not ready, read":  {notReady, "GET", "/api/conf/read", "", nil, 503, "not_ready"},
		"not ready, drain": {notReady, "POST", "/api/drain/brno-hala/begin", "", nil, 503, "not_ready"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			orders := answeringWith(200, "")
			options := optionsWith(orders)
			test.change(&options)
			recorder := call(options, test.method, test.path, test.base, test.body)
			require.Equal(t, test.status, recorder.Code, recorder.Body.String())
			refusal := rejectionIn(t, recorder)
			require.Equal(t, test.code, refusal.Code)
			require.NotEmpty(t, refusal.Message)
			require.Empty(t, orders.orders)
		})
	}
}

func TestLookup(t *testing.T) {
	options := optionsWith(answeringWith(200, ""))
	recorder := call(options, "GET", "/api/lookup?name=ficu95.example&geo=cz-morava&az=brno-hala", "", nil)
	require.Equal(t, 200, recorder.Code)
	require.JSONEq(t, `{"endpoints":["ficu95.example/cz-morava/brno-hala"],"ttl-s":1}`, recorder.Body.String())
	require.Equal(t, 200, call(options, "GET", "/api/lookup", "", nil).Code)

	options.Endpoints = func(string, string, string) []string { return nil }
	recorder = call(options, "GET", "/api/lookup?name=x", "", nil)
	require.Equal(t, 503, recorder.Code)
	require.Equal(t, "no_endpoints", rejectionIn(t, recorder).Code)
}

func TestOnlyChosenServicesAreServed(t *testing.T) {
	server := New(optionsWith(answeringWith(200, "")))
	served := func(services Services, path string) int {
		recorder := httptest.NewRecorder()
		server.Handler(services).ServeHTTP(recorder, httptest.NewRequest("GET", path, nil))
		return recorder.Code
	}
	operatorOnly, directoryOnly := Services{Operator: true}, Services{Directory: true}
	require.Equal(t, 200, served(operatorOnly, "/api/conf/read"))
	require.Equal(t, 404, served(operatorOnly, "/api/lookup"))
	require.Equal(t, 200, served(directoryOnly, "/api/lookup"))
	require.Equal(t, 404, served(directoryOnly, "/api/conf/read"))
	require.Equal(t, 404, served(allServices, "/"))
	require.Equal(t, 404, served(allServices, "/api/conf/else"))
	require.Equal(t, 405, served(allServices, "/api/conf/replace"))
}

func TestTheWaitForAResultIsBounded(t *testing.T) {
	waiting := &recordedOrders{answer: func(ctx context.Context, _ *pb.Order) *pb.OrderResult {
		<-ctx.Done()
		return &pb.OrderResult{Status: 503}
	}}
	cases := map[int]time.Duration{
		100:       submitTimeout,
		300 << 10: submitTimeout + 236*time.Millisecond,
		15 << 20:  maxSubmitTimeout,
	}
	for size, want := range cases {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			recorder := call(optionsWith(waiting), "POST", "/api/conf/replace", "1", bytes.NewReader(make([]byte, size)))
			require.Equal(t, 503, recorder.Code)
			require.Equal(t, want, time.Since(began))
		})
	}
}

func TestOrdersUnderWayAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		finish := make(chan struct{})
		blocked := &recordedOrders{answer: func(context.Context, *pb.Order) *pb.OrderResult {
			<-finish
			return &pb.OrderResult{Status: 200}
		}}
		handler := New(optionsWith(blocked)).Handler(allServices)
		statuses := make(chan int, maxConcurrentOrders+5)
		for range maxConcurrentOrders + 5 {
			go func() {
				recorder := httptest.NewRecorder()
				handler.ServeHTTP(recorder, httptest.NewRequest("GET", "/api/conf/read", nil))
				statuses <- recorder.Code
			}()
		}
		synctest.Wait()
		for range 5 {
			require.Equal(t, http.StatusServiceUnavailable, <-statuses)
		}
		close(finish)
		for range maxConcurrentOrders {
			require.Equal(t, http.StatusOK, <-statuses)
		}
	})
}

// While the maximum number of large bodies is in memory, another large body is rejected and a small one is accepted,
// whether its length is known or not.
func TestLargeBodiesUnderWayLeaveRoomForSmallOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		finish := make(chan struct{})
		server := New(optionsWith(&recordedOrders{answer: func(_ context.Context, order *pb.Order) *pb.OrderResult {
			if len(order.GetBody()) > smallBodyBytes {
				<-finish
			}
			return &pb.OrderResult{Status: 200}
		}}))
		send := func(bytes int, sized bool) int {
			var body io.Reader = strings.NewReader(strings.Repeat("x", bytes))
			if !sized {
				body = io.MultiReader(body)
			}
			request := httptest.NewRequest("POST", "/api/conf/replace", body)
			request.Header.Set("X-Fieldrelay-Base-Rev", "1")
			recorder := httptest.NewRecorder()
			server.Handler(allServices).ServeHTTP(recorder, request)
			return recorder.Code
		}
		for index := range maxConcurrentLargeBodies {
			go send(smallBodyBytes+1, index%2 == 0)
		}
		synctest.Wait()
		for _, sized := range []bool{true, false} {
			require.Equal(t, 503, send(smallBodyBytes+1, sized))
			require.Equal(t, 200, send(smallBodyBytes, sized))
			require.Equal(t, 200, send(0, sized))
		}
		close(finish)
		synctest.Wait()
		require.Equal(t, 200, send(2*smallBodyBytes, false), "the slots are free again")
		require.Empty(t, server.largeBodySlots)
	})
}

func TestCountersFollowResponses(t *testing.T) {
	counters := &Counters{}
	for _, status := range []uint32{200, 200, 412, 503} {
		options := optionsWith(answeringWith(status, "{}"))
		options.Counters = counters
		call(options, "GET", "/api/conf/read", "", nil)
		call(options, "GET", "/api/lookup", "", nil)
	}
	require.Equal(t, int64(2), counters.Acknowledged.Load())
	require.Equal(t, int64(1), counters.Rejected.Load())
	require.Equal(t, int64(1), counters.Unavailable.Load())
	require.Equal(t, int64(4), counters.Lookups.Load())
}
