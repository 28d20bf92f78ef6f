package plan

import (
	"fmt"
	"strings"
	"time"

	"fieldrelay/internal/region/migration/capacity"
)

// InputError reports that the input contradicts itself, so that no plan can be made from it.
type InputError struct {
	Node   string // id
	Reason string
}

// Error names the node and what is wrong with it.
func (e *InputError) Error() string { return fmt.Sprintf("node %q %s", e.Node, e.Reason) }

// Constraint is a condition that every stage of a plan must meet.
type Constraint uint8

// The constraints.
const (
	ConstraintCapacity   Constraint = iota + 1 // the rest must have the capacity for the demand
	ConstraintLastServer                       // a zone must keep a warm server of each service
	ConstraintMajority                         // the voters must keep a majority under the fault budget
	ConstraintReplicas                         // the chain must keep a replica under the fault budget
	ConstraintSurge                            // new nodes beside old ones must have a place to run
	ConstraintTime                             // the plan must end within its window, a stage of a file at its time
	ConstraintOrder                            // another stage must follow; reported if the search found none
	ConstraintBatchSize                        // a stage of a file must not replace more nodes than a plan may
)

// constraintNames are texts for operators.
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

// String returns what an operator reads if the constraint is violated.
func (c Constraint) String() string { return constraintNames[c] }

// Spare is additional capacity that would make a plan feasible.
type Spare struct {
	Count   int
	Kind    capacity.Kind
	Service string // of servers
	Zone    string
	// Surge means places in which new nodes can run beside old ones for the time of their replacement. Otherwise
	// Count further nodes are needed for good, like those that are there.
	Surge bool
}

// String returns a phrase for an operator.
func (s *Spare) String() string {
	what := capacity.Group{Kind: s.Kind, Service: s.Service}.String()
	if s.Surge {
		return fmt.Sprintf("%d more to run beside %s in %s", s.Count, what, s.Zone)
	}
	return fmt.Sprintf("%d more of %s in %s", s.Count, what, s.Zone)
}

// InfeasibleError reports that no order of stages meets the constraints: the stage and node at which the best attempt
// ended, the constraint that is violated there, and what is missing.
type InfeasibleError struct {
	Stage         int // number, from 1, of the stage that is infeasible; those before it are feasible
	Node          string
	Region        string // of the node
	Zone          string // of the node
	Violated      Constraint
	Shortage      *capacity.Shortage // for ConstraintCapacity
	Missing       int                // number of voters, replicas, servers or places; 0 for other constraints
	Spares        []Spare            // with which a plan was found; empty: none was found
	FeasibleBegin *time.Duration     // of the first stage if the window were unlimited; nil: infeasible then too, or no window
}

// Error returns one line for an operator with all that is known.
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
