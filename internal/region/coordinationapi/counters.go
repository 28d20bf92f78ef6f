package coordinationapi

import (
	"net/http"
	"sync/atomic"
)

// Counters count calls since the start of the process, by response. They are safe for concurrent use.
type Counters struct {
	Executed    atomic.Int64 // calls answered with 2xx
	Refused     atomic.Int64 // calls answered with 4xx other than 429
	NotExecuted atomic.Int64 // calls answered with 429 or 503
	Unknown     atomic.Int64 // calls answered with 5xx other than 503
}

func (c *Counters) count(status int) {
	switch {
	case status < http.StatusMultipleChoices:
		c.Executed.Add(1)
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		c.NotExecuted.Add(1)
	case status < http.StatusInternalServerError:
		c.Refused.Add(1)
	default:
		c.Unknown.Add(1)
	}
}
