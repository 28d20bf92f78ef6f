package soak

import (
	"context"
	"fmt"
	"strings"
	"time"

	callhistory "fieldrelay/internal/testkit/history"
)

const (
	putAgainFor   = 3 * time.Second // a put without a clear answer is sent again
	putAgainPause = 50 * time.Millisecond
	repeatedPuts  = 10 // percent of the acknowledged ones, sent once more
	// largeValues are percent of the values in runs with large ones, and largestValue is their greatest size in bytes.
	largeValues  = 50
	largestValue = 32 << 10
	// resumable is the age up to which watches resume from a saved revision, below the retention of revisions.
	resumable    = 15 * time.Second
	longestBreak = 6 * time.Second // of a watcher
)

// putter writes keys, with an expected revision or without one, and sends again what had no clear answer.
type putter struct {
	*caller
	known  map[string]uint64 // by key
	values int
}

func (p *putter) work(ctx context.Context) {
	defer p.client.CloseIdleConnections()
	for p.pause(ctx, p.pace) {
		p.put(ctx, p.draw())
	}
}

func (p *putter) draw() callhistory.Call {
	p.values++
	put := callhistory.Call{Kind: callhistory.Put, Name: p.someKey(), Value: fmt.Sprintf("%s-%d", p.name, p.values)}
	if p.applications.largeValues && p.chance(largeValues) {
		put.Value += strings.Repeat(".", p.random.IntN(largestValue))
	}
	if p.chance(60) {
		expected := p.known[put.Name]
		if p.chance(5) {
			expected++
		}
		put.Expected = &expected
	}
	return put
}

// put sends a put until it has a clear answer.
func (p *putter) put(ctx context.Context, wanted callhistory.Call) {
	for until := p.now() + putAgainFor; ; {
		call := p.call(wanted)
		switch call.Outcome {
		case callhistory.OK:
			p.known[call.Name] = call.Revision
			if p.chance(repeatedPuts) {
				p.call(wanted)
			}
			return
		case callhistory.Mismatch:
			p.known[call.Name] = call.Revision
			return
		}
		if p.now() >= until || !p.pause(ctx, putAgainPause) {
			return
		}
	}
}

// givenRevision is a revision that a watch was given.
type givenRevision struct {
	revision uint64
	at       moment
}

// watcher resumes from the revision that it was given last, or from an older one that it saved.
type watcher struct {
	*caller
	group string
	saved []givenRevision // oldest first
}

// after is the newest saved revision; 0: there is none.
func (w *watcher) after() uint64 {
	if len(w.saved) == 0 {
		return 0
	}
	return w.saved[len(w.saved)-1].revision
}

func (w *watcher) work(ctx context.Context) {
	defer w.client.CloseIdleConnections()
	for w.pause(ctx, w.pace) {
		w.watch()
		if w.chance(5) {
			w.pause(ctx, longestBreak)
		}
	}
}

func (w *watcher) watch() {
	after := w.after()
	if w.chance(10) {
		after = w.olderRevision(after)
	}
	call := w.call(callhistory.Call{Kind: callhistory.Watch, Name: w.group, After: after})
	switch call.Outcome {
	case callhistory.OK:
		w.saved = append(w.saved, givenRevision{revision: call.Revision, at: call.Answered})
	case callhistory.Compacted:
		w.saved = nil
	}
}

// olderRevision is one of the saved revisions that may still be resumed.
func (w *watcher) olderRevision(otherwise uint64) uint64 {
	for len(w.saved) > 0 && w.saved[0].at < w.now()-resumable {
		w.saved = w.saved[1:]
	}
	if len(w.saved) == 0 {
		return otherwise
	}
	return w.saved[w.random.IntN(len(w.saved))].revision
}
