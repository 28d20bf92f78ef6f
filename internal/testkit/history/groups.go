package history

// write is one logical write. Its put may be sent several times; all attempts together take effect at most once.
type write struct {
	key, value string
	attempts   []*Call
	// observedBy is the earliest answer that showed the write; nil: no answer did.
	observedBy *Call
	revision   uint64
}

type writeName struct{ key, value string }

// first returns the first attempt.
func (w *write) first() *Call { return w.attempts[0] }

// rejection returns the answer that shows that the write has not taken effect and never will; nil: there is none. If one
// attempt was refused, another one without a clear answer may still have succeeded; if one attempt found another revision,
// none can have succeeded.
func (w *write) rejection() *Call {
	var refused *Call
	isOpen := false
	for _, attempt := range w.attempts {
		switch attempt.Outcome {
		case Mismatch:
			return attempt
		case Refused:
			refused = attempt
		default:
			isOpen = true
		}
	}
	if isOpen {
		return nil
	}
	return refused
}

// group is the history of one group of keys.
type group struct {
	checker    *checker
	name       string
	calls      []*Call
	names      []writeName
	writes     map[writeName]*write
	byRevision map[uint64]*write
}

// checkGroups checks the puts, reads and watches of each group of keys.
func (c *checker) checkGroups(calls []*Call) {
	names, parts := partition(calls, func(call *Call) string {
		if call.Kind == Watch {
			return call.Name
		}
		return groupOf(call.Name)
	})
	for _, name := range names {
		checked := &group{
			checker:    c,
			name:       name,
			calls:      parts[name],
			writes:     make(map[writeName]*write),
			byRevision: make(map[uint64]*write),
		}
		checked.check()
	}
}

func (g *group) check() {
	g.collectWrites()
	g.collectObserved()
	g.checkWrites()
	g.checkConditions()
	g.checkReads()
	g.checkWatches()
}

func (g *group) collectWrites() {
	for _, call := range g.calls {
		if call.Kind != Put {
			continue
		}
		name := writeName{call.Name, call.Value}
		if g.writes[name] == nil {
			g.names = append(g.names, name)
			g.writes[name] = &write{key: call.Name, value: call.Value}
		}
		g.writes[name].attempts = append(g.writes[name].attempts, call)
	}
}

// collectObserved records which writes the answers show. It requires that each observed value was put to its key before it
// was observed, and that it has a single revision that no other write has.
func (g *group) collectObserved() {
	for _, call := range g.calls {
		switch {
		case call.Outcome != OK:
		case call.Kind == Put || call.Kind == Read:
			g.observe(call, Event{Key: call.Name, Value: call.Value, Revision: call.Revision})
		case call.Kind == Watch:
			for _, event := range call.Events {
				g.observe(call, event)
			}
		}
	}
}

func (g *group) observe(by *Call, event Event) {
	observed := g.writes[writeName{event.Key, event.Value}]
	if observed == nil {
		g.checker.report(RuleMixed, []*Call{by}, "value %q of key %s was observed but never put", event.Value, event.Key)
		return
	}
	if by.Answered < observed.first().Sent {
		g.checker.report(RuleMixed, []*Call{observed.first(), by}, "value %q of key %s was observed before it was put", event.Value, event.Key)
	}
	if rejection := observed.rejection(); rejection != nil {
		g.checker.report(RuleRefused, []*Call{rejection, by}, "value %q of key %s was observed although its put was rejected", event.Value, event.Key)
	}
	if observed.observedBy != nil && observed.revision != event.Revision {
		g.checker.report(RuleMixed, []*Call{observed.observedBy, by}, "value %q of key %s was observed with two revisions, %d and %d",
			event.Value, event.Key, observed.revision, event.Revision)
		return
	}
	if other := g.byRevision[event.Revision]; other != nil && other != observed {
		g.checker.report(RuleOrder, []*Call{other.observedBy, by}, "revision %d of group %s was assigned to two writes", event.Revision, g.name)
		return
	}
	if observed.observedBy == nil || by.Answered < observed.observedBy.Answered {
		observed.observedBy = by
	}
	observed.revision = event.Revision
	g.byRevision[event.Revision] = observed
}

// observedRevision returns the highest revision of the group that an answer shows; 0: none.
func observedRevision(call *Call) uint64 {
	switch call.Outcome {
	case OK, Mismatch:
		return call.Revision
	default:
		return 0
	}
}

// checkWrites requires that the revision of a write is above all revisions that were observed before its first attempt.
func (g *group) checkWrites() {
	earlier := newHighest(g.calls, observedRevision)
	for _, name := range g.names {
		wrote := g.writes[name]
		if wrote.observedBy == nil {
			continue
		}
		before := earlier.before(wrote.first())
		if before != nil && wrote.revision <= observedRevision(before) {
			g.checker.report(RuleOrder, []*Call{before, wrote.first(), wrote.observedBy},
				"revision %d of group %s is not above %d, which was observed before the put was sent", wrote.revision, g.name, observedRevision(before))
		}
	}
}

// checkConditions requires that a successful conditional put directly followed the expected revision of its key.
func (g *group) checkConditions() {
	for _, name := range g.names {
		wrote := g.writes[name]
		if wrote.observedBy == nil || wrote.first().Expected == nil {
			continue
		}
		expected := *wrote.first().Expected
		if replaced := g.byRevision[expected]; replaced != nil && replaced.key != wrote.key {
			g.checker.report(RuleOrder, []*Call{replaced.observedBy, wrote.first(), wrote.observedBy},
				"a put to key %s succeeded with expected revision %d, which belongs to key %s", wrote.key, expected, replaced.key)
		}
		for _, otherName := range g.names {
			other := g.writes[otherName]
			isBetween := other.observedBy != nil && other.key == wrote.key && expected < other.revision && other.revision < wrote.revision
			if isBetween {
				g.checker.report(RuleOrder, []*Call{other.observedBy, wrote.first(), wrote.observedBy},
					"a put to key %s with expected revision %d succeeded with revision %d, although revision %d of the key lies between", wrote.key, expected, wrote.revision, other.revision)
				break
			}
		}
	}
}

// checkReads requires that an answer about a key is not older than any revision of the key that was observed before the call
// was sent.
func (g *group) checkReads() {
	ofKeys := make([]*Call, 0, len(g.calls))
	for _, call := range g.calls {
		if call.Kind != Watch {
			ofKeys = append(ofKeys, call)
		}
	}
	keys, parts := partition(ofKeys, nameOf)
	for _, key := range keys {
		earlier := newHighest(parts[key], observedRevision)
		for _, call := range parts[key] {
			isAnswer := call.Outcome == Mismatch || call.Kind == Read && (call.Outcome == OK || call.Outcome == NotFound)
			if !isAnswer {
				continue
			}
			if before := earlier.before(call); before != nil && observedRevision(call) < observedRevision(before) {
				g.checker.report(ruleOf(call, RuleStale), []*Call{before, call}, "revision %d of key %s is below %d, which was observed before the call was sent",
					observedRevision(call), key, observedRevision(before))
			}
			if call.Outcome == Mismatch {
				g.checkMismatch(call)
			}
		}
	}
}

// checkMismatch requires that the rejection of a conditional put names a revision of the key other than the expected one.
func (g *group) checkMismatch(call *Call) {
	if call.Expected != nil && *call.Expected == call.Revision {
		g.checker.report(RuleRefused, []*Call{call}, "a put to key %s was rejected although the reported revision is the expected one", call.Name)
	}
	if call.Revision == 0 {
		return
	}
	named := g.byRevision[call.Revision]
	switch {
	case named != nil && named.key != call.Name:
		g.checker.report(RuleMixed, []*Call{named.observedBy, call}, "revision %d was reported for key %s but belongs to key %s", call.Revision, call.Name, named.key)
	case named == nil && !g.mayHaveRevision(call.Name):
		g.checker.report(RuleMixed, []*Call{call}, "no put can have given key %s the reported revision %d", call.Name, call.Revision)
	}
}

// mayHaveRevision reports whether there is a put to a key that may have taken effect with a revision that no answer showed.
func (g *group) mayHaveRevision(key string) bool {
	for _, name := range g.names {
		wrote := g.writes[name]
		if wrote.key == key && wrote.observedBy == nil && wrote.rejection() == nil {
			return true
		}
	}
	return false
}
