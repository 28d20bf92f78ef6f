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
	"fieldrelay/internal/shuffle"
)

// trickle is an answer's body that gives a byte at a time, each after a pause, and nothing more after the last.
type trickle struct {
	ctx   context.Context
	left  int
	pause time.Duration
	ends  bool
}

func (b *trickle) Read(into []byte) (int, error) {
	if b.left == 0 && b.ends {
		return 0, io.EOF
	}
	if b.left == 0 {
		<-b.ctx.Done()
		return 0, context.Cause(b.ctx)
	}
	select {
	case <-time.After(b.pause):
		b.left--
		into[0] = 'a'
		return 1, nil
	case <-b.ctx.Done():
		return 0, context.Cause(b.ctx)
	}
}

func (b *trickle) Close() error { return nil }

// readAnswer reads an answer that begins after a while, and returns what ended it.
func readAnswer(limit, silence time.Duration, body func(ctx context.Context) io.ReadCloser) (begun int, err error) {
	ctx, cancel := withResponseProgress(context.Background(), limit, func() { begun++ })
	defer cancel()
	select {
	case <-time.After(silence):
	case <-ctx.Done():
		return begun, stalledCause(ctx, ctx.Err())
	}
	noted := responseProgressOf(ctx)
	noted.received()
	_, err = io.ReadAll(&progressBody{ReadCloser: body(ctx), progress: noted})
	return begun, stalledCause(ctx, err)
}

func TestAnswersThatComeSlowlyAreReadToTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		begun, err := readAnswer(time.Second, time.Second/2, func(ctx context.Context) io.ReadCloser {
			return &trickle{ctx: ctx, left: 10, pause: time.Second, ends: true}
		})
		require.NoError(t, err)
		require.Equal(t, 1, begun, "it is told once that the answer comes")
		require.Equal(t, 10*time.Second+time.Second/2, time.Since(began))
	})
}

// A list that was on its way for long is older than its writer told.
func TestListsAgeWhileTheyAreOnTheirWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := withResponseProgress(context.Background(), time.Second, nil)
		defer cancel()
		noted := responseProgressOf(ctx)
		require.Zero(t, noted.sinceStart())
		noted.received()
		_, err := io.ReadAll(&progressBody{ReadCloser: &trickle{ctx: ctx, left: 3, pause: time.Second, ends: true}, progress: noted})
		require.NoError(t, err)
		list := &pb.ServerList{AgeMs: 200}
		addTransferTime(list, noted.sinceStart())
		require.EqualValues(t, 3200, list.GetAgeMs())
		addTransferTime(nil, noted.sinceStart())
	})
}

// A list of servers is as old as when it was written, however long its way took.
func TestListThatCameSlowlyIsNotTakenForYounger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const silence, pause = 300 * time.Millisecond, time.Second
		list := &pb.ServerList{Version: &pb.ListVersion{Epoch: 1, Revision: 1}, AgeMs: 200, Servers: []*pb.Server{{}}}
		body, err := proto.Marshal(&pb.WatchResponse{Authoritative: true, List: list})
		require.NoError(t, err)
		ends := make(chan event, 2)
		caller := newCaller(t.Context(), shuffle.Neighbour{}, "10.0.0.1:1", func(happened event) { ends <- happened })
		caller.client.Transport = progressTransport{roundTripFunc(func(request *http.Request) (*http.Response, error) {
			<-time.After(silence)
			return &http.Response{
				StatusCode: http.StatusOK,
				Header:     http.Header{"Content-Type": {"application/proto"}},
				Body:       io.NopCloser(io.MultiReader(bytes.NewReader(body[:4]), &slowReader{pause: pause}, bytes.NewReader(body[4:]))),
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

// slowReader gives nothing, after a pause.
type slowReader struct{ pause time.Duration }

func (r *slowReader) Read([]byte) (int, error) {
	<-time.After(r.pause)
	return 0, io.EOF
}

func TestCallsWithoutAnAnswerEndAtTheirLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		begun, err := readAnswer(time.Second, time.Minute, nil)
		var stalled *stalledError
		require.ErrorAs(t, err, &stalled)
		require.False(t, stalled.responseStarted)
		require.Zero(t, begun)
		require.Equal(t, time.Second, time.Since(began))
	})
}

func TestAnswersThatStallAreGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		_, err := readAnswer(time.Second, 0, func(ctx context.Context) io.ReadCloser {
			return &trickle{ctx: ctx, left: 3, pause: time.Second}
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
		_, err := readAnswer(time.Second, 0, func(ctx context.Context) io.ReadCloser {
			return &trickle{ctx: ctx, left: 1000, pause: time.Second}
		})
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Equal(t, maxCallDuration, time.Since(began))
	})
}

// What a transport reads counts as progress of its call.
func TestTransportNotesWhatComes(t *testing.T) {
	base := &http.Transport{}
	defer base.CloseIdleConnections()
	base.RegisterProtocol("test", roundTripFunc(func(request *http.Request) (*http.Response, error) {
		return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(make([]byte, 100)))}, nil
	}))
	begun := 0
	ctx, cancel := withResponseProgress(t.Context(), time.Minute, func() { begun++ })
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "test://control/", nil)
	require.NoError(t, err)
	response, err := progressTransport{base}.RoundTrip(request)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Len(t, body, 100)
	require.NoError(t, response.Body.Close())
	require.Equal(t, 1, begun)
}

type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(request *http.Request) (*http.Response, error) { return f(request) }
