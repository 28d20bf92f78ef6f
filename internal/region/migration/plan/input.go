package plan

// checkInput checks that the input is consistent. The error is an *InputError.
func checkInput(input *Input) error {
	present := make(map[string]bool)
	for index := range input.Nodes {
		id := input.Nodes[index].ID
		if present[id] {
			return &InputError{Node: id, Reason: "is listed twice"}
		}
		present[id] = true
	}
	if len(input.Replacements) > maxReplacements {
		return &InputError{Node: input.Replacements[maxReplacements].Old.ID, Reason: "exceeds the limit of 255 replacements"}
	}
	used := make(map[string]bool)
	for index := range input.Replacements {
		if err := checkReplacement(&input.Replacements[index], present, used); err != nil {
			return err
		}
	}
	return nil
}

// checkReplacement checks one replacement, given the IDs of the present nodes and of the nodes in earlier replacements.
func checkReplacement(replacement *Replacement, present, used map[string]bool) error {
	old, next := &replacement.Old, &replacement.New
	switch {
	case !present[old.ID]:
		return &InputError{Node: old.ID, Reason: "is to be replaced, but does not exist"}
	case present[next.ID]:
		return &InputError{Node: next.ID, Reason: "is a new node, but already exists"}
	case used[old.ID]:
		return &InputError{Node: old.ID, Reason: "is replaced twice"}
	case used[next.ID]:
		return &InputError{Node: next.ID, Reason: "replaces two nodes"}
	case old.Group() != next.Group():
		return &InputError{Node: next.ID, Reason: "is of another kind or service than " + old.ID}
	case !replacement.Surge && old.Zone != next.Zone:
		return &InputError{Node: next.ID, Reason: "replaces a node of another zone in place"}
	case replacement.Times.Total() <= 0:
		return &InputError{Node: next.ID, Reason: "has no expected replacement time"}
	}
	used[old.ID], used[next.ID] = true, true
	return nil
}
