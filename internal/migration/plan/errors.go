package plan

import (
	"fmt"
	"strings"
	"time"

	"fieldrelay/internal/migration/room"
)

// InputError tells that no plan can be made because the input contradicts itself.
type InputError struct {
	Node   string // id
	Reason string
}

func (e *InputError) Error() string { return fmt.Sprintf("node %q %s", e.Node, e.Reason) }

// Constraint is what keeps a replacement from being made.
type Constraint uint8

// The obstacles.
const (
	ConstraintCapacity   Constraint = iota + 1 // the rest cannot serve the demand
	ConstraintLastServer                       // a zone would have no warm server of the service
	ConstraintMajority                         // the voters would not bear the fault budget
	ConstraintReplicas                         // the chain would not bear the fault budget
	ConstraintSurge                            // no place for the replacement beside the old node
	ConstraintTime                             // it would not be done within the window, or not at this hour
	ConstraintOrder                            // it could be replaced next, but no order was found that goes on from there
	ConstraintBatchSize                        // a stage of a file that replaces more at once than it may
)

var constraintNames = map[Constraint]string{
	ConstraintCapacity:   "no room",
	ConstraintLastServer: "last warm server of the zone",
	ConstraintMajority:   "voters",
	ConstraintReplicas:   "chain replicas",
	ConstraintSurge:      "no place",
	ConstraintTime:       "no time",
	ConstraintOrder:      "no order was found",
	ConstraintBatchSize:  "too many at once",
}

func (o Constraint) String() string { return constraintNames[o] }

// Spare is a capacity that would make a plan possible.
type Spare struct {
	Count   int
	Kind    room.Kind
	Service string // of servers
	Zone    string
	// Surge tells that replacements need room to run beside the old nodes; otherwise further nodes are needed
	// for good, like those that are there.
	Surge bool
}

func (s *Spare) String() string {
	what := room.Group{Kind: s.Kind, Service: s.Service}.String()
	if s.Surge {
		return fmt.Sprintf("%d more to run beside %s in %s", s.Count, what, s.Zone)
	}
	return fmt.Sprintf("%d more of %s in %s", s.Count, what, s.Zone)
}

// InfeasibleError tells that there is no safe order, and what is lacking where.
type InfeasibleError struct {
	Stage         int // number, from 1, of the stage that cannot be made; the ones before can
	Node          string
	Region        string // of the node
	Zone          string // of the node
	Violated      Constraint
	Shortage      *room.Shortage // for ConstraintCapacity
	Missing       int            // voters, replicas or places
	Spares        []Spare        // capacity that was found to be enough; empty: none was found
	FeasibleBegin *time.Duration // the beginning of the first stage if there were no window; nil: none, or no window
}

func (e *InfeasibleError) Error() string {
	text := &strings.Builder{}
	fmt.Fprintf(text, "stage %d: %s in %s (%s) cannot be replaced: %s", e.Stage, e.Node, e.Zone, e.Region, e.Violated)
	if e.Shortage != nil {
		fmt.Fprintf(text, ": %s", e.Shortage)
	}
	if e.Missing > 0 {
		fmt.Fprintf(text, ": %d lacking", e.Missing)
	}
	for index := range e.Spares {
		fmt.Fprintf(text, "%s%s", []string{"; with ", " and "}[min(index, 1)], &e.Spares[index])
	}
	if len(e.Spares) > 0 {
		text.WriteString(" it could")
	}
	if e.FeasibleBegin != nil {
		fmt.Fprintf(text, "; beginning at %s it could", *e.FeasibleBegin)
	}
	return text.String()
}
