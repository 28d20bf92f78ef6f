// Package manage is the management address: one command a connection, one
// line in, an answer that begins with ok or fail out. It decides nothing; what
// a command does is the Handler's.
package manage

import (
	"errors"
	"strings"
)

// Verb is a command's name.
type Verb string

// The commands.
const (
	Status   Verb = "STATUS"   // ok while the process takes clients
	Metrics  Verb = "METRICS"  // the figures, then a line eof
	Suspend  Verb = "SUSPEND"  // nothing new to execute node ID
	Restore  Verb = "RESTORE"  // execute node ID back
	Pause    Verb = "PAUSE"    // send clients away: /ready says no, kept connections end
	Resume   Verb = "RESUME"   // take clients again
	Peers    Verb = "PEERS"    // the members of the fleet, then a line eof
	Quotas   Verb = "QUOTAS"   // the limits of the fleet, then a line eof
	Verdicts Verb = "VERDICTS" // what the fleet says of execute nodes, then a line eof
	Rules    Verb = "RULES"    // the editions of rules, then a line eof
	Recover  Verb = "RECOVER"  // the majority of the fleet's voters is lost for good: begin anew with this one
)

// MaxLineBytes bounds a command line, in bytes with its end.
const MaxLineBytes = 512

// fleetKeyword behind the id of SUSPEND or RESTORE means the whole fleet.
const fleetKeyword = "fleet"

// maxIDBytes bounds an execute node's id, in bytes.
const maxIDBytes = 256

// Command is one line read.
type Command struct {
	Verb  Verb
	ID    string // of SUSPEND and RESTORE
	Fleet bool   // of those: for the whole fleet
}

var takesID = map[Verb]bool{Status: false, Metrics: false, Suspend: true, Restore: true, Pause: false, Resume: false, Peers: false, Quotas: false, Verdicts: false, Rules: false, Recover: false}

// Parse reads a line without its end. Verbs are taken in any case; an id is taken as it is written.
func Parse(line string) (Command, error) {
	fields := strings.Fields(line)
	if len(fields) == 0 {
		return Command{}, errors.New("empty line")
	}
	verb := Verb(strings.ToUpper(fields[0]))
	withID, known := takesID[verb]
	switch {
	case !known:
		return Command{}, errors.New("unknown command " + quote(fields[0]))
	case withID && len(fields) != 2 && (len(fields) != 3 || !strings.EqualFold(fields[2], fleetKeyword)):
		return Command{}, errors.New(string(verb) + " takes one id, and fleet behind it for the whole fleet")
	case !withID && len(fields) != 1:
		return Command{}, errors.New(string(verb) + " takes nothing more")
	case withID && len(fields[1]) > maxIDBytes:
		return Command{}, errors.New("id longer than 256 bytes")
	}
	c := Command{Verb: verb}
	if withID {
		c.ID, c.Fleet = fields[1], len(fields) == 3
	}
	return c, nil
}

// quote shows what was read without letting it break the answer's line.
func quote(s string) string {
	if len(s) > 32 {
		s = s[:32]
	}
	return strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, s)
}
