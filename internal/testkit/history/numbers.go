package history

// checkNumbers requires that a counter returns no number twice, and that each number is above all numbers that the counter
// returned before the call was sent.
func (c *checker) checkNumbers(calls []*Call) {
	names, parts := partition(calls, nameOf)
	for _, name := range names {
		givenBy := make(map[uint64]*Call)
		var given []*Call
		for _, call := range parts[name] {
			if call.Outcome != OK {
				continue
			}
			if other := givenBy[call.Number]; other != nil {
				c.report(ruleOf(call, RuleOrder), []*Call{other, call}, "number %d of counter %s was returned twice", call.Number, name)
			}
			givenBy[call.Number] = call
			given = append(given, call)
		}
		c.requireRise(given, given, numberOf, RuleOrder, "number")
	}
}

func numberOf(call *Call) uint64 { return call.Number }

// requireRise requires that each call of later returns more than every call of earlier that was answered before it was sent.
func (c *checker) requireRise(earlier, later []*Call, returned func(*Call) uint64, rule Rule, what string) {
	highest := newHighest(earlier, returned)
	for _, call := range later {
		if before := highest.before(call); before != nil && returned(call) <= returned(before) {
			c.report(ruleOf(call, rule), []*Call{before, call}, "%s %d is not above %d, which was returned before the call was sent",
				what, returned(call), returned(before))
		}
	}
}
