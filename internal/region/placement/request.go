package placement

import (
	"time"

	"fieldrelay/internal/region/route"
)

// Request holds the properties of a client's request that placement uses.
type Request struct {
	Route           *route.Route
	Service         string        // picked by the weights of the route's split
	Model           string        // X-Fieldrelay-Model
	Chunks          []PromptChunk // X-Fieldrelay-Prompt-Prefix, in order
	PromptTokens    int           // tokens of the whole prompt (X-Fieldrelay-Token-Count, first number); 0: unknown
	MaxOutputTokens int           // maximum number of tokens to generate (X-Fieldrelay-Token-Count, second number); 0: unknown
	Deadline        time.Duration // when the client or the route stops waiting for the answer's end; 0: never
	// FirstEventDeadline is when the client of a stream gives up if it has received no event until then; 0: never.
	FirstEventDeadline time.Duration
	Excluded           []string // ids of servers to which the request was already sent and must not be sent again
}

// rank returns the rank that the operator gives the request's route. 0 is the highest, and that of a request without a
// route.
func (r *Request) rank() int {
	if r.Route == nil {
		return 0
	}
	return r.Route.Priority
}

// isLastAttempt reports whether the route allows no further attempt after the next one.
func (r *Request) isLastAttempt() bool {
	return r.Route != nil && len(r.Excluded)+1 >= r.Route.MaxAttempts
}
