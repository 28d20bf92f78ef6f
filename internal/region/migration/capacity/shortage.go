package capacity

import (
	"fmt"
	"strings"
)

// Shortage is a load for which there is too little capacity.
type Shortage struct {
	Region   string // region of the clients
	Group    Group
	Model    string   // requested model; empty: any
	Resource Resource // scarcest resource
	Required float64  // amount of the resource that the whole load requires, including the margin
	Missing  float64  // amount of the resource that is missing
	Fraction float64  // fraction of the load that cannot be served, above 0 and up to 1
	Lost     []string // nodes, zones or regions whose failure causes the shortage; empty: it exists without a failure
}

// String returns one line for operators. Errors of the planner and the progress of a run contain it.
func (s *Shortage) String() string {
	text := fmt.Sprintf("%s in %s lacks %.4g of %.4g %s", s.Group, s.Region, s.Missing, s.Required, s.Resource)
	if s.Model != "" {
		text += " for model " + s.Model
	}
	if len(s.Lost) > 0 {
		text += " if " + strings.Join(s.Lost, " and ") + " is lost"
	}
	return text
}
