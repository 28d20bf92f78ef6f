// Package verdict holds what a fleet of sidecars says of execute nodes: which
// are suspended by hand for all of them, which one member's list has as
// draining (Table: words that merge the same way in any order, twice or once),
// and which most of them see failing (Judge). It has no I/O and no clock.
package verdict

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

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
	Suspended bool   `cbor:"4,keyasint,omitempty" json:"suspended,omitempty"` // or draining
	// Since is the start of the node that a word on draining is of: one on a later start holds.
	Since time.Duration `cbor:"5,keyasint,omitempty" json:"since,omitempty"`
}

// over tells whether a word holds against another one of the same node.
func (w Word) over(v Word) bool {
	switch {
	case w.Since != v.Since:
		return w.Since > v.Since
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
	// Rolls has the oldest word make room, whatever it says. Without it only a node that is not suspended does.
	Rolls bool
	words map[string]Word
	high  uint64
}

// Say adds a word of this member's.
func (t *Table) Say(node, by string, suspended bool) (Word, error) {
	return t.say(Word{Node: node, By: by, Suspended: suspended})
}

// SayDrains adds a word of this member's on a node that started at a time, if it says something new.
func (t *Table) SayDrains(node, by string, since time.Duration, drains bool) (Word, bool) {
	was, known := t.words[node]
	if known && (was.Since > since || was.Since == since && was.Suspended == drains) || !known && !drains {
		return Word{}, false
	}
	w, err := t.say(Word{Node: node, By: by, Suspended: drains, Since: since})
	return w, err == nil
}

func (t *Table) say(w Word) (Word, error) {
	w.Count = t.high + 1
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
		if !known && len(t.words) >= MostWords && !t.makeRoom(w) {
			continue
		}
		t.words[w.Node] = w
		t.high = max(t.high, w.Count)
		news = append(news, w)
	}
	return news
}

func (t *Table) makeRoom(next Word) bool {
	oldest, found := Word{}, false
	for _, w := range t.words {
		if (!w.Suspended || t.Rolls) && (!found || w.older(oldest)) {
			oldest, found = w, true
		}
	}
	if !found || t.Rolls && !oldest.older(next) { // all who roll keep the same ones
		return false
	}
	delete(t.words, oldest.Node)
	return true
}

func (w Word) older(v Word) bool { return w.Count < v.Count || w.Count == v.Count && w.Node < v.Node }

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
		s := (w.Count + uint64(w.Since)<<20) * 0x9e3779b97f4a7c15
		if w.Suspended {
			s++
		}
		h := (xxhash.Sum64String(w.Node) ^ s ^ xxhash.Sum64String(w.By)<<1) * 0xff51afd7ed558ccd
		sum ^= h ^ h>>33
	}
	return sum
}
