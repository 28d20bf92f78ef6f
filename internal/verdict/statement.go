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
	MaxStatements  = 256 // nodes spoken of
	MaxNodeBytes   = 256 // bytes of a node's name
	maxAuthorBytes = 64
)

// Statement is what is said of one node.
type Statement struct {
	Node      string `cbor:"1,keyasint" json:"node"`
	Version   uint64 `cbor:"2,keyasint" json:"count"`
	Author    string `cbor:"3,keyasint" json:"by"`
	Suspended bool   `cbor:"4,keyasint,omitempty" json:"suspended,omitempty"` // or draining
	// Since is the start of the node that a word on draining is of: one on a later start holds.
	Since time.Duration `cbor:"5,keyasint,omitempty" json:"since,omitempty"`
}

// over tells whether a word holds against another one of the same node.
func (w Statement) supersedes(v Statement) bool {
	switch {
	case w.Since != v.Since:
		return w.Since > v.Since
	case w.Version != v.Version:
		return w.Version > v.Version
	case w.Suspended != v.Suspended: // said on two sides of a cut: the careful one holds
		return w.Suspended
	}
	return w.Author > v.Author
}

func (w Statement) valid() bool {
	return w.Node != "" && len(w.Node) <= MaxNodeBytes && len(w.Author) <= maxAuthorBytes && w.Version > 0
}

func (w Statement) older(v Statement) bool {
	return w.Version < v.Version || w.Version == v.Version && w.Node < v.Node
}

// ErrFull tells that no further node can be spoken of.
var ErrFull = errors.New("verdict: as many execute nodes are spoken of as can be")

// Table is what one member knows. The zero Table knows nothing.
type Table struct {
	// EvictsOldest has the oldest word make room, whatever it says. Without it only a node that is not suspended does.
	EvictsOldest bool
	statements   map[string]Statement
	highest      uint64
}

// Declare adds a word of this member's.
func (t *Table) Declare(node, by string, suspended bool) (Statement, error) {
	return t.declare(Statement{Node: node, Author: by, Suspended: suspended})
}

// DeclareDraining adds a word of this member's on a node that started at a time, if it says something new.
func (t *Table) DeclareDraining(node, by string, since time.Duration, drains bool) (Statement, bool) {
	was, known := t.statements[node]
	if known && (was.Since > since || was.Since == since && was.Suspended == drains) || !known && !drains {
		return Statement{}, false
	}
	w, err := t.declare(Statement{Node: node, Author: by, Suspended: drains, Since: since})
	return w, err == nil
}

func (t *Table) declare(w Statement) (Statement, error) {
	w.Version = t.highest + 1
	if !w.valid() {
		return w, errors.New("verdict: no name of an execute node")
	}
	if len(t.Merge([]Statement{w})) == 0 {
		return w, ErrFull
	}
	return w, nil
}

// Merge takes in what others say and gives what was new. Restored nodes make room where it is short, the oldest word
// first: whoever still has the suspension before it would bring that back, so that it is only done in need.
func (t *Table) Merge(statements []Statement) (updates []Statement) {
	if t.statements == nil {
		t.statements = map[string]Statement{}
	}
	for _, w := range statements {
		was, known := t.statements[w.Node]
		if !w.valid() || known && !w.supersedes(was) {
			continue
		}
		if !known && len(t.statements) >= MaxStatements && !t.evict(w) {
			continue
		}
		t.statements[w.Node] = w
		t.highest = max(t.highest, w.Version)
		updates = append(updates, w)
	}
	return updates
}

func (t *Table) evict(next Statement) bool {
	oldest, found := Statement{}, false
	for _, w := range t.statements {
		if (!w.Suspended || t.EvictsOldest) && (!found || w.older(oldest)) {
			oldest, found = w, true
		}
	}
	if !found || t.EvictsOldest && !oldest.older(next) { // all who roll keep the same ones
		return false
	}
	delete(t.statements, oldest.Node)
	return true
}

// All are the words, by node.
func (t *Table) All() []Statement {
	return slices.SortedFunc(maps.Values(t.statements), func(a, b Statement) int { return cmp.Compare(a.Node, b.Node) })
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
	for _, w := range t.statements {
		s := (w.Version + uint64(w.Since)<<20) * 0x9e3779b97f4a7c15
		if w.Suspended {
			s++
		}
		h := (xxhash.Sum64String(w.Node) ^ s ^ xxhash.Sum64String(w.Author)<<1) * 0xff51afd7ed558ccd
		sum ^= h ^ h>>33
	}
	return sum
}
