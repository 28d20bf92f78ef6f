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
	// stallTimeout ends a call whose answer has begun to come, once nothing more of it came for so long. An answer that
	// comes slowly is not given up: asked for again, it would come as slowly, and take from others what the link carries.
	stallTimeout = 1500 * time.Millisecond
	// maxCallDuration ends a call in any case.
	maxCallDuration = 20 * time.Second
)

// stalledError tells that a call was ended because no answer came, or no more of it.
type stalledError struct{ responseStarted bool }

func (e *stalledError) Error() string {
	if e.responseStarted {
		return "no more of the answer came"
	}
	return "no answer came in time"
}

// Timeout marks the error as that of a limit of time.
func (*stalledError) Timeout() bool { return true }

// progress ends a call that makes none. It is safe for concurrent use.
type responseProgress struct {
	cancel  context.CancelCauseFunc
	onStart func() // called when the answer begins to come; nil: nobody wants to know

	mutex     sync.Mutex
	timer     *time.Timer
	started   bool
	ended     bool
	startedAt time.Time // when the answer began to come
}

type responseProgressKey struct{}

// withResponseProgress gives a context for a call that ends when its answer has not begun within a limit, or stalls after that.
func withResponseProgress(parent context.Context, limit time.Duration, onStart func()) (context.Context, context.CancelFunc) {
	bounded, release := context.WithTimeout(parent, maxCallDuration)
	ctx, cancel := context.WithCancelCause(bounded)
	progress := &responseProgress{cancel: cancel, onStart: onStart}
	progress.timer = time.AfterFunc(limit, progress.handleTimeout)
	return context.WithValue(ctx, responseProgressKey{}, progress), func() {
		progress.end()
		cancel(nil)
		release()
	}
}

// stalledCause is the *stalledError that ended a call's context, or the call's own error.
func stalledCause(ctx context.Context, err error) error {
	var stalled *stalledError
	if err != nil && errors.As(context.Cause(ctx), &stalled) {
		return stalled
	}
	return err
}

func responseProgressOf(ctx context.Context) *responseProgress {
	found, _ := ctx.Value(responseProgressKey{}).(*responseProgress)
	return found
}

func (p *responseProgress) handleTimeout() {
	p.mutex.Lock()
	begun := p.started
	p.mutex.Unlock()
	p.cancel(&stalledError{responseStarted: begun})
}

// note tells that something of the answer has come.
func (p *responseProgress) received() {
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

// coming is for how long the answer has been coming; 0 before it began.
func (p *responseProgress) sinceStart() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.startedAt.IsZero() {
		return 0
	}
	return time.Since(p.startedAt)
}

func (p *responseProgress) end() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.ended = true
	p.timer.Stop()
}

// progressTransport notes the progress of the answers to its requests.
type progressTransport struct{ base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t progressTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	noted := responseProgressOf(request.Context())
	noted.received()
	response.Body = &progressBody{ReadCloser: response.Body, progress: noted}
	return response, nil
}

// CloseIdleConnections lets http.Client close them.
func (t progressTransport) CloseIdleConnections() {
	if closer, closes := t.base.(interface{ CloseIdleConnections() }); closes {
		closer.CloseIdleConnections()
	}
}

// progressBody is the body of an answer.
type progressBody struct {
	io.ReadCloser
	progress *responseProgress
}

func (b *progressBody) Read(into []byte) (int, error) {
	read, err := b.ReadCloser.Read(into)
	if read > 0 {
		b.progress.received()
	}
	return read, err
}
