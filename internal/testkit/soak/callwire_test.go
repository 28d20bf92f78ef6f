package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"fieldrelay/api/coordination"
	callhistory "fieldrelay/internal/testkit/history"
)

// watchWait is how long a watch waits for a put.
const watchWait = 800 * time.Millisecond

// callRequest is the request that carries a call.
func callRequest(ctx context.Context, call *callhistory.Call, address string) (*http.Request, error) {
	path, content, err := callContent(call)
	if err != nil {
		return nil, err
	}
	if content == nil {
		return http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	}
	body, err := json.Marshal(content)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// callContent is the path of a call and what its body says; nil: it has none.
func callContent(call *callhistory.Call) (path string, content any, err error) {
	holdMs := float64(call.Hold.Milliseconds())
	fence := coordination.WholeNumber(call.Fence)
	switch call.Kind {
	case callhistory.Acquire:
		return "/api/locks/" + call.Name + "/begin", coordination.LockAcquisition{Holder: call.Caller, HoldMs: holdMs}, nil
	case callhistory.Renew:
		return "/api/locks/" + call.Name + "/heartbeat", coordination.LockRenewal{Holder: call.Caller, Fence: fence, HoldMs: holdMs}, nil
	case callhistory.Release:
		return "/api/locks/" + call.Name + "/finish", coordination.LockRelease{Holder: call.Caller, Fence: fence}, nil
	case callhistory.Number:
		return "/api/numbers/" + call.Name, struct{}{}, nil
	case callhistory.Put:
		put := coordination.KeyPut{Val: call.Value, Enabled: (*coordination.WholeNumber)(call.Expected)}
		return "/api/cells/" + call.Name + "/replace", put, nil
	case callhistory.Read:
		return "/api/cells/" + call.Name + "/read", nil, nil
	case callhistory.Watch:
		return fmt.Sprintf("/api/watch/%s?after=%d&wait-ms=%d", call.Name, call.After, watchWait.Milliseconds()), nil, nil
	default:
		return "", nil, errors.Newf("unknown kind of call %q", call.Kind)
	}
}

// takeAnswer notes what an answer says of a call; an error says that no such answer is allowed.
func takeAnswer(call *callhistory.Call, status int, body []byte) error {
	isOfLock := call.Kind == callhistory.Acquire || call.Kind == callhistory.Renew
	switch {
	case status == http.StatusOK:
		call.Outcome = callhistory.OK
		return takeContent(call, body)
	case status == http.StatusConflict && isOfLock:
		call.Outcome = callhistory.Held
	case status == http.StatusPreconditionFailed && call.Kind == callhistory.Put:
		call.Outcome = callhistory.Mismatch
		return takeContent(call, body)
	case status == http.StatusNotFound && call.Kind == callhistory.Read:
		call.Outcome = callhistory.NotFound
	case status == http.StatusGone && call.Kind == callhistory.Watch:
		call.Outcome = callhistory.Compacted
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		call.Outcome = callhistory.Refused
	case status != 0 && status < http.StatusInternalServerError:
		return errors.New("answered with an improper status")
	}
	return nil
}

// takeContent reads the body of an answer.
func takeContent(call *callhistory.Call, body []byte) error {
	switch call.Kind {
	case callhistory.Acquire:
		var answer coordination.LockGrant
		err := json.Unmarshal(body, &answer)
		call.Fence = answer.Fence
		return err
	case callhistory.Number:
		var answer coordination.Number
		err := json.Unmarshal(body, &answer)
		call.Number = answer.Val
		return err
	case callhistory.Put:
		var answer coordination.Revision
		err := json.Unmarshal(body, &answer)
		call.Revision = answer.Revision
		return err
	case callhistory.Read:
		var answer coordination.KeyValue
		err := json.Unmarshal(body, &answer)
		call.Value, call.Revision = answer.Val, answer.Revision
		return err
	case callhistory.Watch:
		var answer coordination.WatchAnswer
		err := json.Unmarshal(body, &answer)
		call.Revision = answer.Revision
		for _, event := range answer.Events {
			call.Events = append(call.Events, callhistory.Event{Key: event.Name, Value: event.Val, Revision: event.Revision})
		}
		return err
	default:
		return nil
	}
}
