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

// Obstacle is what keeps a replacement from being made.
type Obstacle uint8

// The obstacles.
const (
	NoRoom     Obstacle = iota + 1 // the rest cannot serve the demand
	LastServer                     // a zone would have no warm server of the service
	Voters                         // the voters would not bear the fault budget
	Replicas                       // the chain would not bear the fault budget
	NoPlace                        // no place for the replacement beside the old node
	NoTime                         // it would not be done within the window, or not at this hour
	NoOrder                        // it could be replaced next, but no order was found that goes on from there
	TooMany                        // a stage of a file that replaces more at once than it may
)

var obstacleNames = map[Obstacle]string{
	NoRoom:     "no room",
	LastServer: "last warm server of the zone",
	Voters:     "voters",
	Replicas:   "chain replicas",
	NoPlace:    "no place",
	NoTime:     "no time",
	NoOrder:    "no order was found",
	TooMany:    "too many at once",
}

func (o Obstacle) String() string { return obstacleNames[o] }

// Spare is a capacity that would make a plan possible.
type Spare struct {
	Count   int
	Kind    room.Kind
	Service string // of servers
	Zone    string
	// Place tells that replacements need room to run beside the old nodes; otherwise further nodes are needed
	// for good, like those that are there.
	Place bool
}

func (s *Spare) String() string {
	what := room.Group{Kind: s.Kind, Service: s.Service}.String()
	if s.Place {
		return fmt.Sprintf("%d more to run beside %s in %s", s.Count, what, s.Zone)
	}
	return fmt.Sprintf("%d more of %s in %s", s.Count, what, s.Zone)
}

// RefusalError tells that there is no safe order, and what is lacking where.
type RefusalError struct {
	Stage    int // number, from 1, of the stage that cannot be made; the ones before can
	Node     string
	Region   string // of the node
	Zone     string // of the node
	Obstacle Obstacle
	Shortage *room.Shortage // for NoRoom
	Lacking  int            // voters, replicas or places
	Spares   []Spare        // capacity that was found to be enough; empty: none was found
	Later    *time.Duration // the beginning of the first stage if there were no window; nil: none, or no window
}

func (e *RefusalError) Error() string {
	text := &strings.Builder{}
	fmt.Fprintf(text, "stage %d: %s in %s (%s) cannot be replaced: %s", e.Stage, e.Node, e.Zone, e.Region, e.Obstacle)
	if e.Shortage != nil {
		fmt.Fprintf(text, ": %s", e.Shortage)
	}
	if e.Lacking > 0 {
		fmt.Fprintf(text, ": %d lacking", e.Lacking)
	}
	for index := range e.Spares {
		fmt.Fprintf(text, "%s%s", []string{"; with ", " and "}[min(index, 1)], &e.Spares[index])
	}
	if len(e.Spares) > 0 {
		text.WriteString(" it could")
	}
	if e.Later != nil {
		fmt.Fprintf(text, "; beginning at %s it could", *e.Later)
	}
	return text.String()
}
