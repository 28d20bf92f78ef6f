package agent

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/shuffle"
)

// slowBody is a response body that returns one byte per interval. After the last byte the body ends or stalls.
type slowBody struct {
	ctx       context.Context
	remaining int
	interval  time.Duration
	ends      bool
}

func (b *slowBody) Read(into []byte) (int, error) {
	if b.remaining == 0 && b.ends {
		return 0, io.EOF
	}
	if b.remaining == 0 {
		<-b.ctx.Done()
		return 0, context.Cause(b.ctx)
	}
	select {
	case <-time.After(b.interval):
		b.remaining--
		into[0] = 'a'
		return 1, nil
	case <-b.ctx.Done():
		return 0, context.Cause(b.ctx)
	}
}

func (b *slowBody) Close() error { return nil }

// startTimeout is the time within which the response in readResponse has to start.
const startTimeout = time.Second

// readResponse reads a response that starts after a delay. It returns how often the start of the response was reported,
// and the error that ended the call.
func readResponse(delay time.Duration, body func(ctx context.Context) io.ReadCloser) (starts int, err error) {
	ctx, cancel := withResponseProgress(context.Background(), startTimeout, func() { starts++ })
	defer cancel()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return starts, stalledCause(ctx, ctx.Err())
	}
	progress := responseProgressOf(ctx)
	progress.recordProgress()
	_, err = io.ReadAll(&progressBody{ReadCloser: body(ctx), progress: progress})
	return starts, stalledCause(ctx, err)
}

func TestSlowResponsesAreReadToTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		starts, err := readResponse(time.Second/2, func(ctx context.Context) io.ReadCloser {
			return &slowBody{ctx: ctx, remaining: 10, interval: time.Second, ends: true}
		})
		require.NoError(t, err)
		require.Equal(t, 1, starts, "the start is reported once")
		require.Equal(t, 10*time.Second+time.Second/2, time.Since(began))
	})
}

// The transfer time of a server list must be added to its age: the sender reports the age at the time of sending.
func TestListsAgeWhileTheyAreOnTheirWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := withResponseProgress(context.Background(), time.Second, nil)
		defer cancel()
		progress := responseProgressOf(ctx)
		require.Zero(t, progress.sinceStart())
		progress.recordProgress()
		_, err := io.ReadAll(&progressBody{ReadCloser: &slowBody{ctx: ctx, remaining: 3, interval: time.Second, ends: true}, progress: progress})
		require.NoError(t, err)
		list := &pb.ServerList{AgeMs: 200}
		addTransferTime(list, progress.sinceStart())
		require.EqualValues(t, 3200, list.GetAgeMs())
		addTransferTime(nil, progress.sinceStart())
	})
}

// As TestListsAgeWhileTheyAreOnTheirWay, through a call: a slowly transferred server list must not appear younger than
// it is.
func TestListThatCameSlowlyIsNotTakenForYounger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const silence, pause = 300 * time.Millisecond, time.Second
		list := &pb.ServerList{Version: &pb.ListVersion{Epoch: 1, Revision: 1}, AgeMs: 200, Servers: []*pb.Server{{}}}
		body, err := proto.Marshal(&pb.WatchResponse{Authoritative: true, List: list})
		require.NoError(t, err)
		ends := make(chan event, 2)
		caller := newCaller(t.Context(), shuffle.Neighbour{}, "10.0.0.1:1", func(received event) { ends <- received })
		caller.client.Transport = progressTransport{roundTripFunc(func(request *http.Request) (*http.Response, error) {
			<-time.After(silence)
			return &http.Response{
				StatusCode: http.StatusOK,
				Header:     http.Header{"Content-Type": {"application/proto"}},
				Body:       io.NopCloser(io.MultiReader(bytes.NewReader(body[:4]), &slowReader{delay: pause}, bytes.NewReader(body[4:]))),
			}, nil
		})}
		caller.start(watchCall{id: 1, address: "10.0.0.2:1", request: &pb.WatchRequest{}, dialTimeout: time.Minute, timeout: watchTimeout})
		require.Equal(t, watchResponseStarted{id: 1}, <-ends)
		done := (<-ends).(watchDone)
		require.NoError(t, done.err)
		require.EqualValues(t, 1200, done.response.GetList().GetAgeMs())
		caller.wait()
	})
}

// slowReader returns no bytes, and EOF after a delay.
type slowReader struct{ delay time.Duration }

func (r *slowReader) Read([]byte) (int, error) {
	<-time.After(r.delay)
	return 0, io.EOF
}

func TestCallsWithoutAResponseEndAtTheirTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		starts, err := readResponse(time.Minute, nil)
		var stalled *stalledError
		require.ErrorAs(t, err, &stalled)
		require.False(t, stalled.responseStarted)
		require.Zero(t, starts)
		require.Equal(t, startTimeout, time.Since(began))
	})
}

func TestStalledResponsesAreAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		_, err := readResponse(0, func(ctx context.Context) io.ReadCloser {
			return &slowBody{ctx: ctx, remaining: 3, interval: time.Second}
		})
		var stalled *stalledError
		require.ErrorAs(t, err, &stalled)
		require.True(t, stalled.responseStarted)
		require.Equal(t, 3*time.Second+stallTimeout, time.Since(began))
	})
}

func TestNoCallLastsLongerThanTheLongest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		_, err := readResponse(0, func(ctx context.Context) io.ReadCloser {
			return &slowBody{ctx: ctx, remaining: 1000, interval: time.Second}
		})
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Equal(t, maxCallDuration, time.Since(began))
	})
}

// The transport must record the bytes that it reads as progress of the call.
func TestTransportRecordsProgress(t *testing.T) {
	base := &http.Transport{}
	defer base.CloseIdleConnections()
	base.RegisterProtocol("test", roundTripFunc(func(request *http.Request) (*http.Response, error) {
		return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(make([]byte, 100)))}, nil
	}))
	starts := 0
	ctx, cancel := withResponseProgress(t.Context(), time.Minute, func() { starts++ })
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "test://control/", nil)
	require.NoError(t, err)
	response, err := progressTransport{base}.RoundTrip(request)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Len(t, body, 100)
	require.NoError(t, response.Body.Close())
	require.Equal(t, 1, starts)
}

type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(request *http.Request) (*http.Response, error) { return f(request) }
