package placement

// keptMost is the most parts that are remembered for one server.
const keptMost = 64

// keeper remembers which parts of prompts this proxy sent to which servers lately, and so which of them the
// servers may still keep. For each server it is an LRU, bounded by tokens and by number.
type keeper struct {
	holders map[chain][]*keptPart
}

// keptPart is a part, with all before it, at a server.
type keptPart struct {
	row          chain
	server       *server
	tokens       int // of this part alone
	newer, older *keptPart
}

// keptList is a server's parts, from the newest to the oldest.
type keptList struct {
	newest, oldest *keptPart
	parts          int
	tokens         int
}

func newKeeper() keeper { return keeper{holders: map[chain][]*keptPart{}} }

// add notes that a prompt was sent to a server that this proxy may count on for a number of kept tokens.
func (k *keeper) add(to *server, p *prompt, capacity int) {
	for i := len(p.chains) - 1; i >= 0; i-- { // the first part last: it is of use for longest
		row := p.chains[i]
		part := k.find(to, row)
		if part == nil {
			part = &keptPart{row: row, server: to, tokens: p.partTokens(i)}
			k.holders[row] = append(k.holders[row], part)
		} else {
			to.kept.take(part)
		}
		to.kept.push(part)
	}
	for to.kept.parts > keptMost || (to.kept.tokens > capacity && to.kept.parts > len(p.chains)) {
		k.drop(to.kept.oldest)
	}
}

func (k *keeper) find(at *server, row chain) *keptPart {
	for _, part := range k.holders[row] {
		if part.server == at {
			return part
		}
	}
	return nil
}

// forget drops all parts of a server that is gone.
func (k *keeper) forget(gone *server) {
	for gone.kept.oldest != nil {
		k.drop(gone.kept.oldest)
	}
}

func (k *keeper) drop(part *keptPart) {
	part.server.kept.take(part)
	holders := k.holders[part.row]
	for i, other := range holders {
		if other == part {
			holders[i] = holders[len(holders)-1]
			holders = holders[:len(holders)-1]
			break
		}
	}
	if len(holders) == 0 {
		delete(k.holders, part.row)
		return
	}
	k.holders[part.row] = holders
}

// mark writes to each server how many tokens from the start of a prompt it keeps, under the pick's number.
func (k *keeper) mark(p *prompt, pick uint64) {
	for i, row := range p.chains {
		for _, part := range k.holders[row] {
			holder := part.server
			if holder.markedBy != pick {
				holder.markedBy, holder.markedParts, holder.markedTokens = pick, 0, 0
			}
			if holder.markedParts == i {
				holder.markedParts, holder.markedTokens = i+1, p.tokens[i]
			}
		}
	}
}

func (l *keptList) push(part *keptPart) {
	part.older, part.newer = l.newest, nil
	if l.newest != nil {
		l.newest.newer = part
	} else {
		l.oldest = part
	}
	l.newest = part
	l.parts++
	l.tokens += part.tokens
}

func (l *keptList) take(part *keptPart) {
	if part.newer != nil {
		part.newer.older = part.older
	} else {
		l.newest = part.older
	}
	if part.older != nil {
		part.older.newer = part.newer
	} else {
		l.oldest = part.newer
	}
	part.newer, part.older = nil, nil
	l.parts--
	l.tokens -= part.tokens
}
