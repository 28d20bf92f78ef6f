package placement

// maxCachedPrefixes is the most parts that are remembered for one server.
const maxCachedPrefixes = 64

// keeper remembers which parts of prompts this proxy sent to which servers lately, and so which of them the
// servers may still keep. For each server it is an LRU, bounded by tokens and by number.
type prefixCacheIndex struct {
	entries map[prefixHash][]*cachedPrefix
}

// cachedPrefix is a part, with all before it, at a server.
type cachedPrefix struct {
	prefix       prefixHash
	server       *server
	tokens       int // of this part alone
	newer, older *cachedPrefix
}

// lruList is a server's parts, from the newest to the oldest.
type lruList struct {
	newest, oldest *cachedPrefix
	length         int
	tokens         int
}

func newPrefixCacheIndex() prefixCacheIndex {
	return prefixCacheIndex{entries: map[prefixHash][]*cachedPrefix{}}
}

// add notes that a prompt was sent to a server that this proxy may count on for a number of kept tokens.
func (k *prefixCacheIndex) insert(to *server, p *prompt, capacity int) {
	for i := len(p.prefixes) - 1; i >= 0; i-- { // the first part last: it is of use for longest
		row := p.prefixes[i]
		part := k.find(to, row)
		if part == nil {
			part = &cachedPrefix{prefix: row, server: to, tokens: p.chunkTokens(i)}
			k.entries[row] = append(k.entries[row], part)
		} else {
			to.cachedPrefixes.remove(part)
		}
		to.cachedPrefixes.pushFront(part)
	}
	for to.cachedPrefixes.length > maxCachedPrefixes || (to.cachedPrefixes.tokens > capacity && to.cachedPrefixes.length > len(p.prefixes)) {
		k.remove(to.cachedPrefixes.oldest)
	}
}

func (k *prefixCacheIndex) find(at *server, row prefixHash) *cachedPrefix {
	for _, part := range k.entries[row] {
		if part.server == at {
			return part
		}
	}
	return nil
}

// forget drops all parts of a server that is gone.
func (k *prefixCacheIndex) removeServer(gone *server) {
	for gone.cachedPrefixes.oldest != nil {
		k.remove(gone.cachedPrefixes.oldest)
	}
}

func (k *prefixCacheIndex) remove(part *cachedPrefix) {
	part.server.cachedPrefixes.remove(part)
	holders := k.entries[part.prefix]
	for i, other := range holders {
		if other == part {
			holders[i] = holders[len(holders)-1]
			holders = holders[:len(holders)-1]
			break
		}
	}
	if len(holders) == 0 {
		delete(k.entries, part.prefix)
		return
	}
	k.entries[part.prefix] = holders
}

// mark writes to each server how many tokens from the start of a prompt it keeps, under the pick's number.
func (k *prefixCacheIndex) match(p *prompt, pick uint64) {
	for i, row := range p.prefixes {
		for _, part := range k.entries[row] {
			holder := part.server
			if holder.matchedPick != pick {
				holder.matchedPick, holder.matchedChunks, holder.matchedTokens = pick, 0, 0
			}
			if holder.matchedChunks == i {
				holder.matchedChunks, holder.matchedTokens = i+1, p.cumulativeTokens[i]
			}
		}
	}
}

func (l *lruList) pushFront(part *cachedPrefix) {
	part.older, part.newer = l.newest, nil
	if l.newest != nil {
		l.newest.newer = part
	} else {
		l.oldest = part
	}
	l.newest = part
	l.length++
	l.tokens += part.tokens
}

func (l *lruList) remove(part *cachedPrefix) {
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
	l.length--
	l.tokens -= part.tokens
}
