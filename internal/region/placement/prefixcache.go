package placement

// maxCachedPrefixes is the maximum number of prefixes in the LRU list of one server.
const maxCachedPrefixes = 64

// prefixCacheIndex records which prompt prefixes this proxy recently sent to which servers, and thus which prefixes the
// servers are expected to have in their KV caches. Each server has an LRU list that is bounded by tokens and by length.
// The servers are never queried: the index is a prediction.
type prefixCacheIndex struct {
	entries map[prefixHash][]*cachedPrefix // entries by prefix, one for each server expected to have the prefix cached
}

// cachedPrefix is a prefix at a server, an element of the server's LRU list.
type cachedPrefix struct {
	prefix       prefixHash
	server       *server
	tokens       int // number of tokens of the prefix's last chunk only
	newer, older *cachedPrefix
}

// lruList is a doubly linked list of the prefixes at one server, ordered by their last use.
type lruList struct {
	newest, oldest *cachedPrefix
	length         int
	tokens         int // total number of tokens of the entries
}

func newPrefixCacheIndex() prefixCacheIndex {
	return prefixCacheIndex{entries: map[prefixHash][]*cachedPrefix{}}
}

// insert records that a prompt was sent to a server that caches up to capacity tokens for this proxy. It evicts the
// least recently used prefixes, but no prefix of this prompt if only capacity is exceeded.
func (x *prefixCacheIndex) insert(to *server, p *prompt, capacity int) {
	for i := len(p.prefixes) - 1; i >= 0; i-- { // the shortest prefix last, since it is the most reusable one
		prefix := p.prefixes[i]
		entry := x.find(to, prefix)
		if entry == nil {
			entry = &cachedPrefix{prefix: prefix, server: to, tokens: p.chunkTokens(i)}
			x.entries[prefix] = append(x.entries[prefix], entry)
		} else {
			to.cachedPrefixes.remove(entry)
		}
		to.cachedPrefixes.pushFront(entry)
	}
	list := &to.cachedPrefixes
	for list.length > maxCachedPrefixes || (list.tokens > capacity && list.length > len(p.prefixes)) {
		x.remove(list.oldest)
	}
}

// find returns the entry of a prefix at a server, or nil if there is none.
func (x *prefixCacheIndex) find(at *server, prefix prefixHash) *cachedPrefix {
	for _, entry := range x.entries[prefix] {
		if entry.server == at {
			return entry
		}
	}
	return nil
}

// removeServer removes all entries of a server.
func (x *prefixCacheIndex) removeServer(removed *server) {
	for removed.cachedPrefixes.oldest != nil {
		x.remove(removed.cachedPrefixes.oldest)
	}
}

// remove removes an entry from the index and from its server's list.
func (x *prefixCacheIndex) remove(entry *cachedPrefix) {
	entry.server.cachedPrefixes.remove(entry)
	entries := x.entries[entry.prefix]
	for i, other := range entries {
		if other == entry {
			entries[i] = entries[len(entries)-1]
			entries = entries[:len(entries)-1]
			break
		}
	}
	if len(entries) == 0 {
		delete(x.entries, entry.prefix)
		return
	}
	x.entries[entry.prefix] = entries
}

// match records the length of the longest cached prefix of a prompt in each server that has such a prefix, together with
// the number of the pick. The lengths are valid only for the pick with that number, so that they need no reset.
func (x *prefixCacheIndex) match(p *prompt, pickNumber uint64) {
	for i, prefix := range p.prefixes {
		for _, entry := range x.entries[prefix] {
			s := entry.server
			if s.matchedPick != pickNumber {
				s.matchedPick, s.matchedChunks, s.matchedTokens = pickNumber, 0, 0
			}
			if s.matchedChunks == i { // all earlier chunks are cached as well
				s.matchedChunks, s.matchedTokens = i+1, p.cumulativeTokens[i]
			}
		}
	}
}

// pushFront inserts an entry as the most recently used one.
func (l *lruList) pushFront(entry *cachedPrefix) {
	entry.older, entry.newer = l.newest, nil
	if l.newest != nil {
		l.newest.newer = entry
	} else {
		l.oldest = entry
	}
	l.newest = entry
	l.length++
	l.tokens += entry.tokens
}

// remove unlinks an entry from the list.
func (l *lruList) remove(entry *cachedPrefix) {
	if entry.newer != nil {
		entry.newer.older = entry.older
	} else {
		l.newest = entry.older
	}
	if entry.older != nil {
		entry.older.newer = entry.newer
	} else {
		l.oldest = entry.newer
	}
	entry.newer, entry.older = nil, nil
	l.length--
	l.tokens -= entry.tokens
}
