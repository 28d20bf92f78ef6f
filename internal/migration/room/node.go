package room

import "slices"

// Kind is what a node is.
type Kind string

// The kinds of nodes.
const (
	Server Kind = "server" // of a service: a model server, or a plain one
	Edge   Kind = "edge"   // a machine with a proxy and an agent
	Core   Kind = "core"   // a machine with a replica of the control state
)

// Group is a set of nodes that can stand in for each other: all servers of a service, or all edge machines.
type Group struct {
	Kind    Kind
	Service string // of servers; empty for machines
}

func (g Group) String() string {
	if g.Service == "" {
		return string(g.Kind)
	}
	return g.Service
}

// Node is one node with what it can bear when it is warm.
type Node struct {
	ID       string // incarnation of a server, host of a machine
	Kind     Kind
	Zone     string
	Region   string
	Service  string   // of a server
	Models   []string // that it holds, sorted; empty: not told
	Capacity Amount
}

// Group is the group that the node belongs to.
func (n *Node) Group() Group { return Group{Kind: n.Kind, Service: n.Service} }

// holds reports whether the node serves a model; the empty name is any.
func (n *Node) servesModel(model string) bool {
	return model == "" || len(n.Models) == 0 || slices.Contains(n.Models, model)
}

// alike reports whether demand sees no difference between two nodes of a group.
func interchangeable(a, b *Node) bool {
	return a.Zone == b.Zone && a.Region == b.Region && a.Capacity == b.Capacity && slices.Equal(a.Models, b.Models)
}

// Load is what is asked of a group by the clients of one region.
type Load struct {
	Region      string // of the clients
	Group       Group
	Model       string   // empty: any
	HomeRegions []string // regions that may serve it; empty: any
	Required    Amount   // at the same time, or a second
	// CachedPrefill are the prompt tokens a second that need no reading, because they are kept at servers. When a server
	// retires, what it kept is read anew.
	CachedPrefill float64
}

// serves reports whether a region may serve the load.
func (l *Load) allowsRegion(region string) bool {
	return len(l.HomeRegions) == 0 || slices.Contains(l.HomeRegions, region)
}
