// Package manage serves the management address: a client sends one command
// line per connection, and receives an answer that begins with ok or fail. A
// Handler carries out the commands.
package manage

import (
	"errors"
	"strings"
)

// Verb is a command's name.
type Verb string

// The commands.
const (
	Status   Verb = "STATUS"   // ok while the process is ready for clients
	Metrics  Verb = "METRICS"  // the metrics, then a line eof
	Suspend  Verb = "SUSPEND"  // send no new requests to execute node ID
	Restore  Verb = "RESTORE"  // end the suspension of execute node ID
	Pause    Verb = "PAUSE"    // /ready answers not ready, and idle connections are closed
	Resume   Verb = "RESUME"   // end PAUSE
	Peers    Verb = "PEERS"    // the members of the fleet, then a line eof
	Quotas   Verb = "QUOTAS"   // the limits of the fleet, then a line eof
	Verdicts Verb = "VERDICTS" // the fleet's decisions on the health of execute nodes, then a line eof
	Rules    Verb = "RULES"    // the rules in force and those being distributed, then a line eof
	Recover  Verb = "RECOVER"  // restart the voter group from this process, after the permanent loss of its majority
)

// MaxLineBytes bounds a command line in bytes, including its line end.
const MaxLineBytes = 512

// fleetKeyword after the id of SUSPEND or RESTORE applies the command to the whole fleet.
const fleetKeyword = "fleet"

// maxIDBytes bounds an execute node's id, in bytes.
const maxIDBytes = 256

// Command is a parsed command line.
type Command struct {
	Verb  Verb
	ID    string // id of the execute node, for SUSPEND and RESTORE
	Fleet bool   // SUSPEND or RESTORE applies to the whole fleet
}

var takesID = map[Verb]bool{Status: false, Metrics: false, Suspend: true, Restore: true, Pause: false, Resume: false, Peers: false, Quotas: false, Verdicts: false, Rules: false, Recover: false}

// Parse parses a command line without its line end. Verbs are case-insensitive, ids are not.
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

// quote shortens s to 32 bytes and replaces unprintable characters, so that it can stand in a line of an answer.
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
