package processfleet

import (
	"fmt"
	"time"

	"fieldrelay/internal/sidecar/fleet/settings"
	"fieldrelay/internal/sidecar/view"
)

// Agrees tells whether each process that runs believes that exactly those that run are there.
func (r *Fleet) Agrees() bool { return r.disagreement() == "" }

// Voters are the names of those who agree on views.
func (r *Fleet) Voters() (names []string) {
	n := 3
	if len(r.Sidecars) < 3 {
		n = 1
	}
	for _, s := range r.Sidecars[:n] {
		names = append(names, s.Name)
	}
	return names
}

// Bound is how long a view may be held after the next one was decided.
func (r *Fleet) Bound() time.Duration {
	defaults := settings.Defaults()
	return view.StalenessBound(r.opts.Lease, defaults.DriftFraction())
}

// Agreed tells whether each process that runs holds the same view, of as many as run.
func (r *Fleet) Agreed() bool { return r.dissent() == "" }

func (r *Fleet) dissent() string {
	up, id := 0, ""
	for _, s := range r.Sidecars {
		if there, _ := s.Running(); there {
			up++
		}
	}
	for _, s := range r.Sidecars {
		if _, runs := s.Running(); !runs {
			continue
		}
		v, members := s.View()
		if mode := s.Mode(); mode != "together" || members != up || id != "" && v != id {
			return fmt.Sprintf("%s is %s with view %s of %d, %d run", s.Name, mode, v, members, up)
		}
		id = v
	}
	return ""
}

// disagreement names one belief that is not so; empty: none.
func (r *Fleet) disagreement() string {
	for _, s := range r.Sidecars {
		if _, runs := s.Running(); !runs {
			continue
		}
		for _, p := range r.Sidecars {
			if p.Name == s.Name {
				continue
			}
			_, there := p.Running()
			state := s.Believes(p.Name)
			if present := state == "alive" || state == "suspect"; present != there {
				return fmt.Sprintf("%s believes %s %q", s.Name, p.Name, state)
			}
		}
	}
	return ""
}

// Until waits for a condition and tells how long that took.
func Until(bound time.Duration, cond func() bool) (time.Duration, bool) {
	from := time.Now()
	for !cond() {
		if time.Since(from) > bound {
			return time.Since(from), false
		}
		time.Sleep(2 * time.Millisecond)
	}
	return time.Since(from), true
}
