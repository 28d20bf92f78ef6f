package checker

import (
	"fmt"
	"time"
)

// sidecarView is what a sidecar holds by its own word.
type sidecarView struct {
	view     string // empty: none
	together bool
	stopped  time.Duration // since when it stands still; -1: it does not
	resumed  time.Duration // when it last went on
}

// checkViews looks for two views of one number, a view that nobody decided, and one held too long after the next was
// decided. A process that stands still holds nothing: it finds out before it acts.
func checkViews(entries []Entry, bound time.Duration) []string {
	j := viewChecker{
		bound:    bound,
		sums:     map[string]string{},
		decided:  map[string]time.Duration{},
		after:    map[string]string{},
		sidecars: map[string]*sidecarView{},
	}
	for _, e := range entries {
		j.add(e)
		for name, h := range j.sidecars {
			j.checkOverdue(h, name, e.At)
		}
	}
	return j.broken
}

// viewChecker follows which views were decided, and who holds which.
type viewChecker struct {
	bound    time.Duration            // how long a view may be held after the next one was decided; 0: that is not judged
	sums     map[string]string        // of what each view holds, by its number
	decided  map[string]time.Duration // when
	after    map[string]string        // the view decided next
	last     string                   // decided
	sidecars map[string]*sidecarView  // by sidecar
	broken   []string
}

// add takes in an entry.
func (j *viewChecker) add(e Entry) {
	h := j.sidecars[e.Sidecar]
	if h == nil {
		h = &sidecarView{stopped: -1}
		j.sidecars[e.Sidecar] = h
	}
	switch e.Kind {
	case View:
		j.addView(h, e)
	case Mode:
		j.checkOverdue(h, e.Sidecar, e.At)
		h.together = e.State == "together"
	case Ended:
		*h = sidecarView{stopped: -1}
	case Strike:
		switch e.State { // of one process
		case "stop":
			j.checkOverdue(h, e.Sidecar, e.At)
			h.stopped = e.At
		case "stop ends":
			h.stopped, h.resumed = -1, e.At
		}
	}
}

// addView takes in a view that a sidecar has adopted or, as a voter, decided.
func (j *viewChecker) addView(h *sidecarView, e Entry) {
	if was, ok := j.sums[e.ID]; ok && was != e.Key {
		j.broken = append(j.broken, fmt.Sprintf("%v: %s has another view %s than was known", e.At, e.Sidecar, e.ID))
	}
	j.sums[e.ID] = e.Key
	if e.State == "adopted" {
		j.checkOverdue(h, e.Sidecar, e.At)
		h.view = e.ID
		return
	}
	if _, known := j.decided[e.ID]; known {
		return
	}
	j.decided[e.ID] = e.At
	if j.last != "" {
		j.after[j.last] = e.ID
	}
	j.last = e.ID
}

// checkOverdue reports a sidecar that still goes by a view though the next one was decided too long ago.
func (j *viewChecker) checkOverdue(h *sidecarView, name string, at time.Duration) {
	if j.bound == 0 || !h.together || h.view == "" || h.stopped >= 0 {
		return
	}
	next, decided := j.after[h.view]
	if !decided || at <= max(j.decided[next]+j.bound, h.resumed)+slack {
		return
	}
	j.broken = append(j.broken, fmt.Sprintf("%v: %s holds view %s, %v after %s was decided", at, name, h.view, at-j.decided[next], next))
	h.view = "" // once is enough
}
