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
	// stallTimeout is the time without a byte after which a response that has started is given up. A slow one
	// is read to its end: requested again it would be as slow, and take bandwidth from others.
	stallTimeout = 1500 * time.Millisecond
	// maxCallDuration bounds a call in any case.
	maxCallDuration = 20 * time.Second
)

// stalledError is the cause of a call's cancelation when its response did not start in time, or made no progress.
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
	onStart func() // called once, when the response starts; nil: nothing is called

	mutex     sync.Mutex
	timer     *time.Timer // until the response has to start, or to make progress
	started   bool
	ended     bool
	startedAt time.Time
}

type responseProgressKey struct{}

// withResponseProgress returns the context of a call that is canceled when its response doesn't start within a timeout,
// or makes no progress after that. The function that it returns ends the call.
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

// responseProgressOf returns the progress of a call by its context, nil if that has none.
func responseProgressOf(ctx context.Context) *responseProgress {
	progress, _ := ctx.Value(responseProgressKey{}).(*responseProgress)
	return progress
}

// stalledCause returns the *stalledError that canceled a call's context, or else the call's own error.
func stalledCause(ctx context.Context, err error) error {
	var stalled *stalledError
	if err != nil && errors.As(context.Cause(ctx), &stalled) {
		return stalled
	}
	return err
}

// handleTimeout cancels the call.
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

// sinceStart returns the time since the response started, 0 before that.
func (p *responseProgress) sinceStart() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.startedAt.IsZero() {
		return 0
	}
	return time.Since(p.startedAt)
}

// end stops the timer. What arrives later doesn't start it again.
func (p *responseProgress) end() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.ended = true
	p.timer.Stop()
}

// progressTransport records the progress of the responses to its requests.
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

// CloseIdleConnections closes the idle connections of the base. [http.Client] calls it.
func (t progressTransport) CloseIdleConnections() {
	if closer, closes := t.base.(interface{ CloseIdleConnections() }); closes {
		closer.CloseIdleConnections()
	}
}

// progressBody records the progress of reading a response's body.
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
