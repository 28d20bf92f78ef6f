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
	// longestCall ends a call in any case.
	longestCall = 20 * time.Second
)

// stalledError tells that a call was ended because no answer came, or no more of it.
type stalledError struct{ begun bool }

func (e *stalledError) Error() string {
	if e.begun {
		return "no more of the answer came"
	}
	return "no answer came in time"
}

// Timeout marks the error as that of a limit of time.
func (*stalledError) Timeout() bool { return true }

// progress ends a call that makes none. It is safe for concurrent use.
type progress struct {
	cancel context.CancelCauseFunc
	begins func() // called when the answer begins to come; nil: nobody wants to know

	mutex sync.Mutex
	timer *time.Timer
	begun bool
	ended bool
	since time.Time // when the answer began to come
}

type progressKey struct{}

// withProgress gives a context for a call that ends when its answer has not begun within a limit, or stalls after that.
func withProgress(parent context.Context, limit time.Duration, begins func()) (context.Context, context.CancelFunc) {
	bounded, release := context.WithTimeout(parent, longestCall)
	ctx, cancel := context.WithCancelCause(bounded)
	made := &progress{cancel: cancel, begins: begins}
	made.timer = time.AfterFunc(limit, made.stalled)
	return context.WithValue(ctx, progressKey{}, made), func() {
		made.end()
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

func progressOf(ctx context.Context) *progress {
	found, _ := ctx.Value(progressKey{}).(*progress)
	return found
}

func (p *progress) stalled() {
	p.mutex.Lock()
	begun := p.begun
	p.mutex.Unlock()
	p.cancel(&stalledError{begun: begun})
}

// note tells that something of the answer has come.
func (p *progress) note() {
	if p == nil {
		return
	}
	p.mutex.Lock()
	first := !p.begun && !p.ended
	if first {
		p.since = time.Now()
	}
	p.begun = true
	if !p.ended {
		p.timer.Reset(stallTimeout)
	}
	p.mutex.Unlock()
	if first && p.begins != nil {
		p.begins()
	}
}

// coming is for how long the answer has been coming; 0 before it began.
func (p *progress) coming() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.since.IsZero() {
		return 0
	}
	return time.Since(p.since)
}

func (p *progress) end() {
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
	noted := progressOf(request.Context())
	noted.note()
	response.Body = &notedBody{ReadCloser: response.Body, progress: noted}
	return response, nil
}

// CloseIdleConnections lets http.Client close them.
func (t progressTransport) CloseIdleConnections() {
	if closer, closes := t.base.(interface{ CloseIdleConnections() }); closes {
		closer.CloseIdleConnections()
	}
}

// notedBody is the body of an answer.
type notedBody struct {
	io.ReadCloser
	progress *progress
}

func (b *notedBody) Read(into []byte) (int, error) {
	read, err := b.ReadCloser.Read(into)
	if read > 0 {
		b.progress.note()
	}
	return read, err
}
