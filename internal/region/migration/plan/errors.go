package plan

import (
	"fmt"
	"strings"
	"time"

	"fieldrelay/internal/region/migration/capacity"
)

// InputError reports that the input is inconsistent, so that no plan can be made from it.
type InputError struct {
	Node   string // ID of the node
	Reason string
}

// Error returns the node and the reason.
func (e *InputError) Error() string { return fmt.Sprintf("node %q %s", e.Node, e.Reason) }

// Constraint is a condition that every stage of a plan must meet.
type Constraint uint8

// The constraints.
const (
	ConstraintCapacity   Constraint = iota + 1 // the remaining nodes must have the capacity for the demand
	ConstraintLastServer                       // a zone must keep a warm server of each service
	ConstraintMajority                         // the voters must keep a majority under the fault budget
	ConstraintReplicas                         // the chain must keep a replica under the fault budget
	ConstraintSurge                            // there must be surge capacity for the new nodes of surge replacements
	ConstraintTime                             // the plan must end within its window, also with the begins of a plan file
	ConstraintOrder                            // another stage must follow; reported if the search found none
	ConstraintBatchSize                        // a stage of a plan file must not exceed the batch size of a pool
)

// constraintNames are the descriptions of violated constraints, as operators read them.
var constraintNames = map[Constraint]string{
	ConstraintCapacity:   "insufficient capacity",
	ConstraintLastServer: "last warm server of the zone",
	ConstraintMajority:   "too few voters",
	ConstraintReplicas:   "too few chain replicas",
	ConstraintSurge:      "no surge capacity",
	ConstraintTime:       "does not fit into the time window",
	ConstraintOrder:      "no feasible order was found",
	ConstraintBatchSize:  "too many replacements in one stage",
}

// String returns the description of the violated constraint, for operators.
func (c Constraint) String() string { return constraintNames[c] }

// Spare is additional capacity that would make a plan feasible.
type Spare struct {
	Count   int
	Kind    capacity.Kind
	Service string // service of the servers; empty for machines
	Zone    string
	// Surge means surge capacity: Count new nodes can run beside old ones during their replacement. Otherwise Count
	// further nodes, like the present ones, are needed permanently.
	Surge bool
}

// String returns a description for operators.
func (s *Spare) String() string {
	what := capacity.Group{Kind: s.Kind, Service: s.Service}.String()
	if s.Surge {
		return fmt.Sprintf("surge capacity for %d more of %s in %s", s.Count, what, s.Zone)
	}
	return fmt.Sprintf("%d more of %s in %s", s.Count, what, s.Zone)
}

// InfeasibleError reports that no order of stages was found that meets the constraints. It has the stage and the node at
// which the best attempt ended, the constraint that is violated there, and what is missing.
type InfeasibleError struct {
	Stage         int    // number, from 1, of the infeasible stage; the stages before it are feasible
	Node          string // ID of the old node
	Region        string // region of the node
	Zone          string // zone of the node
	Violated      Constraint
	Shortage      *capacity.Shortage // shortage that violates ConstraintCapacity
	Missing       int                // missing number of voters, replicas, servers or surge nodes; 0 for other constraints
	Spares        []Spare            // spare capacity with which a plan was found; empty: no such plan was found
	FeasibleBegin *time.Duration     // begin of the first stage without the window; nil: still infeasible, or no window
}

// Error returns all fields in one line, for operators.
func (e *InfeasibleError) Error() string {
	text := &strings.Builder{}
	fmt.Fprintf(text, "stage %d: %s in %s (%s) cannot be replaced: %s", e.Stage, e.Node, e.Zone, e.Region, e.Violated)
	if e.Shortage != nil {
		fmt.Fprintf(text, ": %s", e.Shortage)
	}
	if e.Missing > 0 {
		fmt.Fprintf(text, ": %d missing", e.Missing)
	}
	for index := range e.Spares {
		fmt.Fprintf(text, "%s%s", []string{"; with ", " and "}[min(index, 1)], &e.Spares[index])
	}
	if len(e.Spares) > 0 {
		text.WriteString(" it could be replaced")
	}
	if e.FeasibleBegin != nil {
		fmt.Fprintf(text, "; without the time window the plan could begin at %s", *e.FeasibleBegin)
	}
	return text.String()
}
