package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// plantedFault is a fault that a wrapper adds to the correct handler.
type plantedFault struct {
	name    string
	wrap    func(*handler) http.Handler
	faults  []fault // trials among which it must be found
	finding string  // substring of an expected finding
}

func plantedFaults() []plantedFault {
	wellBehaved := []fault{repeatsResponseLater}
	return []plantedFault{
		{"each request is forwarded twice", sendTwice, wellBehaved, "ran 2 times"},
		{"a mutating request is treated as idempotent", changeTargets("/long/m/", "/long/i/"), []fault{resetsConnection}, "ran 2 times"},
		{"a stream that is not resumable is resumed", changeTargets("/long/s/", "/long/r/"), []fault{resetsConnection}, "ran 2 times"},
		{"bodies are changed", changeBodies, wellBehaved, "that no client sent"},
		{"a truncated response is ended properly", hideAborts, []fault{resetsConnection}, "looks complete after"},
		{"a request that may have run gets 503", reportFailuresAsUnavailable, []fault{resetsConnection}, "got status 503 but ran"},
		{"responses go to the next client", delayResponses(), wellBehaved, "got the response to"},
		{"responses lack a byte", shortenResponses, wellBehaved, "as a complete response"},
		{"a client's disconnection is ignored", ignoreCancellation, []fault{clientDisconnects}, "did not become idle"},
	}
}

// For each rule of the trials there is a planted fault that violates it, and the trials must find the violation.
func TestTrialsFindPlantedFaults(t *testing.T) {
	lengths := newTrialWorker(t, unwrapped).lengths
	for _, fault := range plantedFaults() {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			all := slices.DeleteFunc(allTrials(trialStride, lengths), func(tr trial) bool {
				return !slices.Contains(fault.faults, tr.fault)
			})
			found := strings.Join(runTrials(t, all, plantedTimeout, fault.wrap).found, "\n")
			require.Contains(t, found, fault.finding)
		})
	}
}

// cloneRequest returns the request with another target or body.
func cloneRequest(request *http.Request, target string, body []byte) *http.Request {
	changed := request.Clone(request.Context())
	changed.RequestURI = target
	changed.Body = io.NopCloser(bytes.NewReader(body))
	return changed
}

// serveAborted serves a request and recovers from the panic that aborts its response. cut reports whether there was one.
func serveAborted(h http.Handler, writer http.ResponseWriter, request *http.Request) (cut bool) {
	defer func() { cut = recover() != nil }()
	h.ServeHTTP(writer, request)
	return false
}

func sendTwice(h *handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		serveAborted(h, httptest.NewRecorder(), cloneRequest(request, request.RequestURI, body))
		h.ServeHTTP(writer, cloneRequest(request, request.RequestURI, body))
	})
}

func changeTargets(from, to string) func(*handler) http.Handler {
	return func(h *handler) http.Handler {
		return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			request.RequestURI = strings.Replace(request.RequestURI, from, to, 1)
			h.ServeHTTP(writer, request)
		})
	}
}

func changeBodies(h *handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		body[len(body)/2]++
		h.ServeHTTP(writer, cloneRequest(request, request.RequestURI, body))
	})
}

func hideAborts(h *handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) { serveAborted(h, writer, request) })
}

func ignoreCancellation(h *handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		// The time-out ends the request, since otherwise the test would not end.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(request.Context()), 2*plantedTimeout)
		defer cancel()
		h.ServeHTTP(writer, request.WithContext(ctx))
	})
}

// plantedTimeout is how long trials of planted faults wait for the proxy and the servers to become idle.
const plantedTimeout = 300 * time.Millisecond

// recordResponse serves a request and returns the response; cut reports whether it was aborted.
func recordResponse(h http.Handler, request *http.Request) (answer *httptest.ResponseRecorder, cut bool) {
	answer = httptest.NewRecorder()
	cut = serveAborted(h, answer, request)
	return answer, cut
}

// write sends a response with the given status, headers and body.
func write(writer http.ResponseWriter, status int, header http.Header, body []byte) {
	for name, values := range header {
		if name != "Content-Length" {
			writer.Header()[name] = values
		}
	}
	writer.WriteHeader(status)
	_, _ = writer.Write(body)
}

func reportFailuresAsUnavailable(h *handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		answer, cut := recordResponse(h, request)
		if cut {
			panic(http.ErrAbortHandler)
		}
		if answer.Code == http.StatusBadGateway {
			answer.Code = http.StatusServiceUnavailable
		}
		write(writer, answer.Code, answer.Header(), answer.Body.Bytes())
	})
}

func shortenResponses(h *handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		answer, cut := recordResponse(h, request)
		if cut {
			panic(http.ErrAbortHandler)
		}
		body := answer.Body.Bytes()
		write(writer, answer.Code, answer.Header(), body[:max(len(body)-1, 0)])
	})
}

// delayResponses sends each client the response to the previous request.
func delayResponses() func(*handler) http.Handler {
	return func(h *handler) http.Handler {
		var mu sync.Mutex
		var last *httptest.ResponseRecorder
		return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			answer, cut := recordResponse(h, request)
			if cut {
				panic(http.ErrAbortHandler)
			}
			mu.Lock()
			given := last
			last = answer
			mu.Unlock()
			if given == nil {
				given = answer
			}
			write(writer, given.Code, given.Header(), given.Body.Bytes())
		})
	}
}
