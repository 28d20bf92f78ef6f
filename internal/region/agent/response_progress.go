package agent

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// stallTimeout is the time without any received byte after which a response that has started is abandoned. A slow
	// response is read to its end: a second request would be as slow, and would take bandwidth from other transfers.
	stallTimeout = 1500 * time.Millisecond
	// maxCallDuration is the maximum duration of a call, whatever its progress.
	maxCallDuration = 20 * time.Second
)

// stalledError is the cause of the cancelation of a call whose response did not start in time, or made no progress.
type stalledError struct{ responseStarted bool }

func (e *stalledError) Error() string {
	if e.responseStarted {
		return "read the response: no progress within the timeout"
	}
	return "wait for the response: not started within the timeout"
}

// Timeout marks the error as a timeout, as [net.Error] does.
func (*stalledError) Timeout() bool { return true }

// responseProgress cancels a call whose response makes no progress. It is safe for concurrent use.
type responseProgress struct {
	cancel  context.CancelCauseFunc
	onStart func() // called once, when the response starts; may be nil

	mutex     sync.Mutex
	timer     *time.Timer // fires when the response has not started, or made no progress, in time
	started   bool
	ended     bool
	startedAt time.Time
}

type responseProgressKey struct{}

// withResponseProgress returns the context for a call. The context is canceled when the response to the call does not
// start within a timeout, or makes no progress after that. The returned function ends the call.
func withResponseProgress(parent context.Context, timeout time.Duration, onStart func()) (context.Context, context.CancelFunc) {
	bounded, release := context.WithTimeout(parent, maxCallDuration)
	ctx, cancel := context.WithCancelCause(bounded)
	progress := &responseProgress{cancel: cancel, onStart: onStart}
	progress.timer = time.AfterFunc(timeout, progress.handleTimeout)
	return context.WithValue(ctx, responseProgressKey{}, progress), func() {
		progress.end()
		cancel(nil)
		release()
	}
}

// responseProgressOf returns the progress of the call that a context belongs to; nil if the context belongs to none.
func responseProgressOf(ctx context.Context) *responseProgress {
	progress, _ := ctx.Value(responseProgressKey{}).(*responseProgress)
	return progress
}

// stalledCause returns the *stalledError that canceled the context of a failed call, or err if there is none.
func stalledCause(ctx context.Context, err error) error {
	var stalled *stalledError
	if err != nil && errors.As(context.Cause(ctx), &stalled) {
		return stalled
	}
	return err
}

// handleTimeout cancels the call with a *stalledError.
func (p *responseProgress) handleTimeout() {
	p.mutex.Lock()
	started := p.started
	p.mutex.Unlock()
	p.cancel(&stalledError{responseStarted: started})
}

// recordProgress records that a part of the response has arrived. It does nothing on a nil receiver.
func (p *responseProgress) recordProgress() {
	if p == nil {
		return
	}
	p.mutex.Lock()
	starts := !p.started && !p.ended
	if starts {
		p.startedAt = time.Now()
	}
	p.started = true
	if !p.ended {
		p.timer.Reset(stallTimeout)
	}
	p.mutex.Unlock()
	if starts && p.onStart != nil {
		p.onStart()
	}
}

// sinceStart returns the time since the response started, 0 if it has not started.
func (p *responseProgress) sinceStart() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.startedAt.IsZero() {
		return 0
	}
	return time.Since(p.startedAt)
}

// end stops the timer. Progress that is recorded later does not restart the timer.
func (p *responseProgress) end() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.ended = true
	p.timer.Stop()
}

// progressTransport is a [http.RoundTripper] that records the progress of the responses to its requests.
type progressTransport struct{ base http.RoundTripper }

// RoundTrip implements [http.RoundTripper].
func (t progressTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	progress := responseProgressOf(request.Context())
	progress.recordProgress()
	response.Body = &progressBody{ReadCloser: response.Body, progress: progress}
	return response, nil
}

// CloseIdleConnections closes the idle connections of the base transport. [http.Client] calls it.
func (t progressTransport) CloseIdleConnections() {
	if closer, closes := t.base.(interface{ CloseIdleConnections() }); closes {
		closer.CloseIdleConnections()
	}
}

// progressBody records the progress of reading a response body.
type progressBody struct {
	io.ReadCloser
	progress *responseProgress
}

func (b *progressBody) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer)
	if count > 0 {
		b.progress.recordProgress()
	}
	return count, err
}
