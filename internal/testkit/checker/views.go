package checker

import (
	"fmt"
	"time"
)

// sidecarView is the view that a sidecar uses, according to its own reports.
type sidecarView struct {
	view     string        // number of the adopted view; empty: none
	together bool          // whether the sidecar is in mode "together"
	stopped  time.Duration // time since which the process is stopped; -1: it runs
	resumed  time.Duration // time at which the process was last resumed
}

// checkViews reports views that have the same number but other content, and views that are used too long after the next one
// was decided. A stopped process uses no view: once resumed, it detects that its view is outdated before it acts.
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

// viewChecker tracks which views were decided, and which one each sidecar uses.
type viewChecker struct {
	bound    time.Duration            // longest time for which a view may be used after the next one was decided; 0: not checked
	sums     map[string]string        // content checksum of each view, by the number of the view
	decided  map[string]time.Duration // time at which each view was decided, by the number of the view
	after    map[string]string        // number of the view decided next, by the number of the view
	last     string                   // number of the view decided last
	sidecars map[string]*sidecarView  // views in use, by the name of the sidecar
	broken   []string
}

// add processes one entry.
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
		switch e.State { // only the fault "stop" affects the use of views: it stops one process
		case "stop":
			j.checkOverdue(h, e.Sidecar, e.At)
			h.stopped = e.At
		case "stop ends":
			h.stopped, h.resumed = -1, e.At
		}
	}
}

// addView processes a view that a sidecar has adopted or, as a voter, decided.
func (j *viewChecker) addView(h *sidecarView, e Entry) {
	if was, ok := j.sums[e.ID]; ok && was != e.Key {
		j.broken = append(j.broken, fmt.Sprintf("%v: %s reports a view %s whose content differs from an earlier report", e.At, e.Sidecar, e.ID))
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

// checkOverdue reports a sidecar that still uses a view although the next one was decided more than the bound ago.
func (j *viewChecker) checkOverdue(h *sidecarView, name string, at time.Duration) {
	if j.bound == 0 || !h.together || h.view == "" || h.stopped >= 0 {
		return
	}
	next, decided := j.after[h.view]
	if !decided || at <= max(j.decided[next]+j.bound, h.resumed)+slack {
		return
	}
	j.broken = append(j.broken, fmt.Sprintf("%v: %s still uses view %s, %v after view %s was decided", at, name, h.view, at-j.decided[next], next))
	h.view = "" // report each violation once
}
