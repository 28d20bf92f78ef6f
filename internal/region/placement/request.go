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
	Arrived         time.Duration // when the client's request was read
	Remaining       time.Duration // time to the deadline of the client or the route; ignored if not positive
	IsRetry         bool          // the request appears to be a client's retry of one that was rejected or failed
	Excluded        []string      // ids of servers to which the request was already sent and must not be sent again
}
