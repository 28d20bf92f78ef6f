package view

import (
	"slices"
)

// Voter is one of those who decide. Its number belongs to its state, not to its name: with the state it is lost.
type Voter struct {
	Name string `cbor:"1,keyasint"`
	ID   uint64 `cbor:"2,keyasint"`
}

// Group is who decides the views of an era.
type Group struct {
	Era    uint64  `cbor:"1,keyasint,omitempty"`
	Voters []Voter `cbor:"2,keyasint,omitempty"`
}

func (g Group) voter(id uint64) (Voter, bool) {
	for _, v := range g.Voters {
		if v.ID == id {
			return v, true
		}
	}
	return Voter{}, false
}

// hasVoter reports whether a member of that name votes.
func (g Group) hasVoter(name string) bool {
	return slices.ContainsFunc(g.Voters, func(v Voter) bool { return v.Name == name })
}
