package relay

import "maps"

// SetEjected presents the servers of these names to the module as draining until the next call, whatever the
// list says. Servers of the previous call that are not in names return to their listed state, without slow
// start. Ejections take effect only while another server is ready.
func (r *Relay) SetEjected(names []string) {
	r.mailbox.Put(func() {
		next := make(map[string]bool, len(names))
		for _, name := range names {
			next[name] = true
		}
		previous := r.ejected
		r.ejected = next
		r.refreshMissing(next, previous)
		r.refreshMissing(previous, next)
		r.restoreIfNoneReady()
	})
}

// refreshMissing refreshes the servers named in one set and not in the other.
func (r *Relay) refreshMissing(names, others map[string]bool) {
	for name := range names {
		if !others[name] {
			r.refreshNamed(name)
		}
	}
}

// restoreIfNoneReady drops all ejections and reported drains if no other server is ready: a server that may
// fail is better than none.
func (r *Relay) restoreIfNoneReady() {
	if len(r.ejected)+len(r.reportedDraining) == 0 || r.ready.Load() {
		return
	}
	dropped := maps.Clone(r.ejected)
	if dropped == nil {
		dropped = map[string]bool{}
	}
	for name := range r.reportedDraining {
		dropped[name] = true
	}
	r.ejected, r.reportedDraining = nil, nil
	for name := range dropped {
		r.refreshNamed(name)
	}
	r.log.Warn().Int("servers", len(dropped)).Msg("dropped ejections and reported drains: no other server is ready")
}
