package relay

import "maps"

// SetEjected makes the module see the execute nodes of these names as draining until the next call, whatever the list says
// meanwhile; those of the last call that are not among them come back as they were. It takes effect only as long as
// another node is ready.
func (r *Relay) SetEjected(names []string) {
	r.mailbox.Put(func() {
		next := make(map[string]bool, len(names))
		for _, name := range names {
			next[name] = true
		}
		was := r.ejected
		r.ejected = next
		for name := range next {
			if !was[name] {
				r.refreshNamed(name)
			}
		}
		for name := range was {
			if !next[name] {
				r.refreshNamed(name)
			}
		}
		r.restoreIfNoneReady()
	})
}

// restoreIfNoneReady gives up all avoiding, also of what drains by the word of others alone, where nothing else is ready.
func (r *Relay) restoreIfNoneReady() {
	if len(r.ejected)+len(r.reportedDrains) == 0 || r.ready.Load() {
		return
	}
	was := maps.Clone(r.ejected)
	if was == nil {
		was = map[string]bool{}
	}
	for name := range r.reportedDrains {
		was[name] = true
	}
	r.ejected, r.reportedDrains = nil, nil
	for name := range was {
		r.refreshNamed(name)
	}
	r.log.Warn().Int("nodes", len(was)).Msg("nothing else is ready: the fleet's verdicts are not followed")
}
