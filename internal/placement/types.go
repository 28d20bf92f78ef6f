// Package placement decides which server gets an attempt of a request: the design (aged speed estimates,
// softmax by the best, slack with temperature and walk) over the servers that the rules leave. It is pure:
// the time comes with every call, randomness from a seed, and nothing is sent.
package placement

import (
	"time"

	"fieldrelay/internal/limits"
	"fieldrelay/internal/policy"
	"fieldrelay/internal/route"
)

// Config is what a Placer is told once.
type Config struct {
	Host      string            // of this machine
	Zone      string            // of this machine
	Regions   map[string]string // region of each zone
	Seed      uint64
	SlowStart limits.SlowStartConfig
	Off       policy.Switches // mechanisms that are switched off
}

// PromptChunk is one part of a prompt. Parts are shared between requests, but for the last one of a request, which
// belongs to the request itself or to its session.
type PromptChunk struct {
	ID     uint64 // hash of the part's name
	Tokens int
}

// Request is what placement needs to know of a request.
type Request struct {
	Route     *route.Route
	Service   string        // picked from the route's split
	Model     string        // X-Fieldrelay-Model
	Chunks    []PromptChunk // X-Fieldrelay-Prompt-Prefix, in order
	Prompt    int           // tokens of the whole prompt (X-Fieldrelay-Token-Count, first figure); 0: not told
	Generate  int           // most tokens that it generates (second figure); 0: not told
	Arrived   time.Duration // when the client's request was read
	Remaining time.Duration // until the client or the route gives up
	Returned  bool          // it seems to be the try after one that was refused or failed
	Excluded  []string      // servers (ids) that may not get it, because they had it
}

// AttemptID names an attempt that Pick opened, until Finished.
type AttemptID uint64

// Decision is where an attempt is to go.
type Decision struct {
	Attempt        AttemptID
	ServerID       string
	Address        string
	Zone           string
	Region         string
	Expected       time.Duration // predicted time to the first event or byte
	PrefillTokens  int           // tokens of the prompt that the server is expected to have to read
	Announce       Announcement  // what the other proxies of the region are to be told once it is sent
	MaxConnections int           // most connections that this proxy may have open to the server
}

// Outcome tells how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	Done        Outcome = iota // a whole answer (any status of the server's own that is no failure)
	Refused                    // the server did not run it: full, or too late for it
	Misdirected                // 421: the address belongs to another server now
	Failed                     // 5xx of the server, or bytes that form no answer
	Reset                      // the connection could not be opened, was reset or closed early
	TimedOut                   // no answer within the time that was given
	Unreachable                // its machine gave no sign of itself: it is down or cut off
	ClientGone                 // called off because the client left: says nothing of the server
	NotSent                    // nothing was sent: as if it had not been picked
)
