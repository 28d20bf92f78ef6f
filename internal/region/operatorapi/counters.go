package operatorapi

import (
	"net/http"
	"sync/atomic"
)

// Counters count calls since the start of the process, by response. They are safe for concurrent use.
type Counters struct {
	Acknowledged atomic.Int64 // orders and reads answered with 2xx
	Rejected     atomic.Int64 // calls answered with 4xx
	Unavailable  atomic.Int64 // calls answered with 5xx
	Lookups      atomic.Int64 // lookups answered with addresses
}

// count counts a response by its HTTP status.
func (c *Counters) count(status int) {
	switch {
	case status < http.StatusMultipleChoices:
		c.Acknowledged.Add(1)
	case status < http.StatusInternalServerError:
		c.Rejected.Add(1)
	default:
		c.Unavailable.Add(1)
	}
}
