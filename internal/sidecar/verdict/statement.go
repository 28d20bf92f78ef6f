package verdict

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of a Table.
const (
	MaxStatements  = 256 // maximum number of nodes with a statement
	MaxNodeBytes   = 256 // maximum length of a node's name, in bytes
	maxAuthorBytes = 64  // maximum length of an author's name, in bytes
)

// Statement is a member's declaration that a node is suspended or draining, or no longer is.
type Statement struct {
	Node      string `cbor:"1,keyasint" json:"node"`
	Version   uint64 `cbor:"2,keyasint" json:"count"` // a Lamport clock
	Author    string `cbor:"3,keyasint" json:"by"`
	Suspended bool   `cbor:"4,keyasint,omitempty" json:"suspended,omitempty"` // the node is suspended or draining
	// Since is the start time of the draining node. A statement about a later process of the node supersedes this one.
	Since time.Duration `cbor:"5,keyasint,omitempty" json:"since,omitempty"`
}

// supersedes reports whether s replaces another statement about the same node.
func (s Statement) supersedes(other Statement) bool {
	switch {
	case s.Since != other.Since:
		return s.Since > other.Since
	case s.Version != other.Version:
		return s.Version > other.Version
	case s.Suspended != other.Suspended: // made on two sides of a network partition: the suspension wins, as the safe choice
		return s.Suspended
	}
	return s.Author > other.Author
}

// valid reports whether the statement is well-formed.
func (s Statement) valid() bool {
	return s.Node != "" && len(s.Node) <= MaxNodeBytes && len(s.Author) <= maxAuthorBytes && s.Version > 0
}

// older reports whether s sorts before another statement, by version, then by node.
func (s Statement) older(other Statement) bool {
	return s.Version < other.Version || s.Version == other.Version && s.Node < other.Node
}

// ErrFull reports that a table cannot hold a statement about another node.
var ErrFull = errors.New("verdict: statement table full: no room for another execute node")

// Table holds the statements that a member knows, one per node: a map of last-writer-wins registers. The zero Table is empty.
// It is not safe for concurrent use.
type Table struct {
	// EvictsOldest lets a full table evict its oldest statement, whatever it declares. If it is false, only a statement that
	// a node is not suspended is evicted.
	EvictsOldest bool
	statements   map[string]Statement
	highest      uint64 // highest version seen
}

// Declare adds a statement by the author, which is this member, that a node is suspended, or no longer is.
func (t *Table) Declare(node, author string, suspended bool) (Statement, error) {
	return t.declare(Statement{Node: node, Author: author, Suspended: suspended})
}

// DeclareDraining adds a statement by the author, which is this member, that the node process started at since is draining,
// or no longer is. It reports whether the statement is new and was added.
func (t *Table) DeclareDraining(node, author string, since time.Duration, drains bool) (Statement, bool) {
	was, known := t.statements[node]
	if known && (was.Since > since || was.Since == since && was.Suspended == drains) || !known && !drains {
		return Statement{}, false
	}
	s, err := t.declare(Statement{Node: node, Author: author, Suspended: drains, Since: since})
	return s, err == nil
}

// declare adds a statement with a version higher than that of any known statement.
func (t *Table) declare(s Statement) (Statement, error) {
	s.Version = t.highest + 1
	if !s.valid() {
		return s, errors.New("verdict: execute node's name is empty or too long, or author's name is too long")
	}
	if len(t.Merge([]Statement{s})) == 0 {
		return s, ErrFull
	}
	return s, nil
}

// Merge adds statements of other members and returns those that were new. A full table evicts its oldest statement that a
// node is not suspended. No such statement is dropped earlier, because a member that still has the suspension that it
// supersedes would reintroduce that suspension.
func (t *Table) Merge(statements []Statement) (updates []Statement) {
	if t.statements == nil {
		t.statements = make(map[string]Statement)
	}
	for _, s := range statements {
		was, known := t.statements[s.Node]
		if !s.valid() || known && !s.supersedes(was) {
			continue
		}
		if !known && len(t.statements) >= MaxStatements && !t.evict(s) {
			continue
		}
		t.statements[s.Node] = s
		t.highest = max(t.highest, s.Version)
		updates = append(updates, s)
	}
	return updates
}

// evict removes a statement to make room for next, and reports whether it could.
func (t *Table) evict(next Statement) bool {
	oldest, found := Statement{}, false
	for _, s := range t.statements {
		if (!s.Suspended || t.EvictsOldest) && (!found || s.older(oldest)) {
			oldest, found = s, true
		}
	}
	if !found || t.EvictsOldest && !oldest.older(next) { // next is the oldest: dropping it keeps all members' tables the same
		return false
	}
	delete(t.statements, oldest.Node)
	return true
}

// All returns the statements, sorted by node.
func (t *Table) All() []Statement {
	return slices.SortedFunc(maps.Values(t.statements), func(a, b Statement) int { return cmp.Compare(a.Node, b.Node) })
}

// Suspended returns the nodes that are suspended or draining, sorted.
func (t *Table) Suspended() (nodes []string) {
	for _, s := range t.All() {
		if s.Suspended {
			nodes = append(nodes, s.Node)
		}
	}
	return nodes
}

// Digest returns a hash of the statements that does not depend on their order, 0 if there are none. Members exchange and
// compare it over the wire.
func (t *Table) Digest() (sum uint64) {
	for _, s := range t.statements {
		state := (s.Version + uint64(s.Since)<<20) * 0x9e3779b97f4a7c15
		if s.Suspended {
			state++
		}
		h := (xxhash.Sum64String(s.Node) ^ state ^ xxhash.Sum64String(s.Author)<<1) * 0xff51afd7ed558ccd
		sum ^= h ^ h>>33
	}
	return sum
}
