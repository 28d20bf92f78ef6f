package capacity

import "slices"

// Kind is the kind of a node. The values are those of the plan file.
type Kind string

// The kinds of nodes.
const (
	Server Kind = "server" // a server of a service, with or without models
	Edge   Kind = "edge"   // a machine with a proxy and an agent
	Core   Kind = "core"   // a control machine, which has a replica of the control state
)

// Group is a set of nodes that can take over each other's requests: all servers of a service, or all edge machines.
type Group struct {
	Kind    Kind
	Service string // service of the servers; empty for machines
}

// String returns the service of servers, or the kind of machines.
func (g Group) String() string {
	if g.Service == "" {
		return string(g.Kind)
	}
	return g.Service
}

// Node is a node with its capacity when it has warmed up.
type Node struct {
	ID       string // incarnation of a server, or host of a machine
	Kind     Kind
	Zone     string
	Region   string
	Service  string   // service of a server; empty for machines
	Models   []string // models that the node serves, sorted; empty: unknown, treated as any model
	Capacity Amount
}

// Group returns the group that the node belongs to.
func (n *Node) Group() Group { return Group{Kind: n.Kind, Service: n.Service} }

// InterchangeableWith reports whether two nodes of a group are equal in all that matters to demand.
func (n *Node) InterchangeableWith(other *Node) bool {
	return n.Zone == other.Zone && n.Region == other.Region && n.Capacity == other.Capacity &&
		slices.Equal(n.Models, other.Models)
}

// servesModel reports whether the node serves a model; the empty name means any model.
func (n *Node) servesModel(model string) bool {
	return model == "" || len(n.Models) == 0 || slices.Contains(n.Models, model)
}
