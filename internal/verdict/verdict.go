// Package verdict holds what a fleet of sidecars says of execute nodes: so far
// which ones are suspended by hand for all of them. It is plain data without
// I/O or clock; words merge the same way in any order, twice or once.
package verdict

import (
	"cmp"
	"errors"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Bounds.
const (
	MostWords = 256 // nodes spoken of
	MostNode  = 256 // bytes of a node's name
	mostBy    = 64
)

// Word is what is said of one node.
type Word struct {
	Node      string `cbor:"1,keyasint" json:"node"`
	Count     uint64 `cbor:"2,keyasint" json:"count"`
	By        string `cbor:"3,keyasint" json:"by"`
	Suspended bool   `cbor:"4,keyasint,omitempty" json:"suspended,omitempty"`
}

// over tells whether a word holds against another one of the same node.
func (w Word) over(v Word) bool {
	switch {
	case w.Count != v.Count:
		return w.Count > v.Count
	case w.Suspended != v.Suspended: // said on two sides of a cut: the careful one holds
		return w.Suspended
	}
	return w.By > v.By
}

func (w Word) valid() bool {
	return w.Node != "" && len(w.Node) <= MostNode && len(w.By) <= mostBy && w.Count > 0
}

// ErrFull tells that no further node can be spoken of.
var ErrFull = errors.New("verdict: as many execute nodes are spoken of as can be")

// Table is what one member knows. The zero Table knows nothing.
type Table struct {
	words map[string]Word
	high  uint64
}

// Say adds a word of this member's.
func (t *Table) Say(node, by string, suspended bool) (Word, error) {
	w := Word{Node: node, Count: t.high + 1, By: by, Suspended: suspended}
	if !w.valid() {
		return w, errors.New("verdict: no name of an execute node")
	}
	if len(t.Merge([]Word{w})) == 0 {
		return w, ErrFull
	}
	return w, nil
}

// Merge takes in what others say and gives what was new. Restored nodes make room where it is short, the oldest word
// first: whoever still has the suspension before it would bring that back, so that it is only done in need.
func (t *Table) Merge(words []Word) (news []Word) {
	if t.words == nil {
		t.words = map[string]Word{}
	}
	for _, w := range words {
		was, known := t.words[w.Node]
		if !w.valid() || known && !w.over(was) {
			continue
		}
		if !known && len(t.words) >= MostWords && !t.makeRoom() {
			continue
		}
		t.words[w.Node] = w
		t.high = max(t.high, w.Count)
		news = append(news, w)
	}
	return news
}

func (t *Table) makeRoom() bool {
	oldest, found := Word{}, false
	for _, w := range t.words {
		if !w.Suspended && (!found || w.Count < oldest.Count || w.Count == oldest.Count && w.Node < oldest.Node) {
			oldest, found = w, true
		}
	}
	delete(t.words, oldest.Node)
	return found
}

// All are the words, by node.
func (t *Table) All() []Word {
	return slices.SortedFunc(maps.Values(t.words), func(a, b Word) int { return cmp.Compare(a.Node, b.Node) })
}

// Suspended are the nodes that are suspended now.
func (t *Table) Suspended() (nodes []string) {
	for _, w := range t.All() {
		if w.Suspended {
			nodes = append(nodes, w.Node)
		}
	}
	return nodes
}

// Digest is the same where the words are; 0: there are none.
func (t *Table) Digest() (sum uint64) {
	for _, w := range t.words {
		s := w.Count * 0x9e3779b97f4a7c15
		if w.Suspended {
			s++
		}
		h := (xxhash.Sum64String(w.Node) ^ s ^ xxhash.Sum64String(w.By)<<1) * 0xff51afd7ed558ccd
		sum ^= h ^ h>>33
	}
	return sum
}
