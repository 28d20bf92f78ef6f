package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"fieldrelay/api/operator"
	"fieldrelay/internal/testkit/localcluster"
)

const (
	host = "lm.example"
	path = "/v1/generate"

	// retryInterval is the wait before a failed call is sent again.
	retryInterval = 100 * time.Millisecond

	// callLimit is the timeout of a single call.
	callLimit = 5 * time.Second
)

// StatusError reports that a call was answered with a status other than 200.
type StatusError struct {
	Call   string
	Status int
	Body   string
}

// Error names the call, the status and the body of the answer.
func (e *StatusError) Error() string { return fmt.Sprintf("%s: %d %s", e.Call, e.Status, e.Body) }

// configuration returns a configuration that routes all paths under /v1/ to the stub model servers.
func configuration() operator.Configuration {
	kind := operator.RouteRouteKind("streaming")
	target, tries := int64(800), 2
	split := []operator.SplitPart{{Backend: service, Share: 1}}
	return operator.Configuration{
		Gen:      1,
		Backends: &[]operator.Backend{{Name: service}},
		Routes: &[]operator.Route{{
			Name: "generate", Vhost: host, PathPrefix: "/v1/", RouteKind: &kind,
			DeadlineMs: 5000, TargetMs: &target, Tries: &tries, Split: &split,
		}},
	}
}

// putConfiguration sends the first configuration repeatedly until it is acknowledged: the control machines may still be
// bootstrapping the cluster.
func putConfiguration(ctx context.Context, control string) (generation int64, err error) {
	sent := configuration()
	body, err := json.Marshal(sent)
	if err != nil {
		return 0, errors.Wrap(err, "write the configuration as JSON")
	}
	_, err = retryUntilOK(ctx, func() (*http.Request, error) {
		request, err := http.NewRequest(http.MethodPost, "http://"+control+"/api/conf/replace", bytes.NewReader(body))
		if err == nil {
			request.Header.Set("X-Fieldrelay-Base-Rev", "0")
			request.Header.Set("Content-Type", "application/json")
		}
		return request, err
	})
	return sent.Gen, errors.Wrap(err, "send the configuration to the control machine")
}

// lookUp queries the directory until it answers with the proxies for a client and returns the first of them.
func lookUp(ctx context.Context, directory string) (edge string, err error) {
	url := "http://" + directory + "/api/lookup?name=" + host + "&geo=" + localcluster.Zones[localcluster.ZoneNames[0]] + "&az=" + localcluster.ZoneNames[0]
	answer, err := retryUntilOK(ctx, func() (*http.Request, error) { return http.NewRequest(http.MethodGet, url, nil) })
	if err != nil {
		return "", errors.Wrap(err, "query the directory")
	}
	var endpoints operator.Endpoints
	if err := json.Unmarshal(answer, &endpoints); err != nil || len(endpoints.Endpoints) == 0 {
		return "", errors.Newf("the directory answered without an endpoint: %s", answer)
	}
	return endpoints.Endpoints[0], nil
}

// retryUntilOK sends a call repeatedly until it is answered with 200 and returns the body of the answer. The argument
// call creates the request of each attempt.
func retryUntilOK(ctx context.Context, call func() (*http.Request, error)) ([]byte, error) {
	for {
		request, err := call()
		if err != nil {
			return nil, err
		}
		body, err := sendOnce(ctx, request)
		if err == nil {
			return body, nil
		}
		select {
		case <-ctx.Done():
			return nil, errors.CombineErrors(err, ctx.Err())
		case <-time.After(retryInterval):
		}
	}
}

// sendOnce sends a request once, within callLimit, and returns the body of the answer.
func sendOnce(ctx context.Context, request *http.Request) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	response, err := http.DefaultClient.Do(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = &StatusError{Call: request.URL.Path, Status: response.StatusCode, Body: string(body)}
	}
	return body, err
}

// stream sends one request to a proxy and prints each event of the answer as it arrives.
func stream(ctx context.Context, edge string, output io.Writer) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+edge+path, strings.NewReader("a prompt"))
	if err != nil {
		return err
	}
	request.Host = host
	request.Header.Set("X-Fieldrelay-Attempt-Id", "9c41d07be2a35f68")
	request.Header.Set("X-Fieldrelay-Deadline-Ms", "5000")
	request.Header.Set("X-Fieldrelay-Model", model)
	request.Header.Set("X-Fieldrelay-Token-Count", "20,5")
	began := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "send the streamed request to the proxy")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(response.Body) // after a read error, the part that was read is reported
		return &StatusError{Call: path, Status: response.StatusCode, Body: string(body)}
	}
	if _, err := fmt.Fprintf(output, "request %s: 200 after %s, seal %s\n", request.Header.Get("X-Fieldrelay-Attempt-Id"),
		time.Since(began).Round(time.Millisecond), response.Header.Get("X-Fieldrelay-Server-Seal")); err != nil {
		return errors.Wrap(err, "print the status of the answer")
	}
	return printEvents(response.Body, output)
}

// printEvents prints the data of each event and checks that the answer has all events.
func printEvents(body io.Reader, output io.Writer) error {
	seen := 0
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if data, found := strings.CutPrefix(lines.Text(), "data: "); found {
			seen++
			if _, err := fmt.Fprintf(output, "  event: %s\n", data); err != nil {
				return errors.Wrap(err, "print an event")
			}
		}
	}
	if err := lines.Err(); err != nil {
		return errors.Wrap(err, "read the events")
	}
	if seen != events {
		return errors.Newf("answer cut short: %d of %d events received", seen, events)
	}
	return nil
}
