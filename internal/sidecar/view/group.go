package view

import (
	"slices"
)

// Voter is a member that decides views. Its ID belongs to its stored state, not to its name: a voter that loses its state loses
// its ID with it.
type Voter struct {
	Name string `cbor:"1,keyasint"`
	ID   uint64 `cbor:"2,keyasint"`
}

// Group is the set of voters that decide the views of an era.
type Group struct {
	Era    uint64  `cbor:"1,keyasint,omitempty"`
	Voters []Voter `cbor:"2,keyasint,omitempty"`
}

// voter returns the voter with the given ID, and whether the group has one.
func (g Group) voter(id uint64) (Voter, bool) {
	for _, v := range g.Voters {
		if v.ID == id {
			return v, true
		}
	}
	return Voter{}, false
}

// hasVoter reports whether a member with the given name is a voter of the group.
func (g Group) hasVoter(name string) bool {
	return slices.ContainsFunc(g.Voters, func(v Voter) bool { return v.Name == name })
}
