package register

import (
	"maps"
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

const (
	// idleTimeout is how long a proposer without calls is kept. A call that arrives within this time needs no new
	// prepare.
	idleTimeout = time.Minute
	// maxProposers is the maximum number of registers that one machine proposes for at a time.
	maxProposers = 16384
)

// Proposers manages the registers that one machine proposes for. The machine must be a voter of the epoch.
type Proposers struct {
	replica *Replica
	output  Output
	execute Execute
	// name identifies this machine in its proposal numbers. It must differ between process starts, because a machine
	// does not persist the numbers that it has used.
	name      string
	lastRound uint64               // last used round; shared by all registers, so that no register sees a number twice
	lastPoll  uint64               // number of the last batch of any register
	epoch     uint64               // epoch of the proposers in active
	active    map[string]*proposer // proposers by name of the register
}

// NewProposers returns the proposers of the machine that owns the given replica.
func NewProposers(replica *Replica, name string, execute Execute, output Output) *Proposers {
	return &Proposers{replica: replica, output: output, execute: execute, name: name, active: make(map[string]*proposer)}
}

// Len returns the number of registers that this machine proposes for or has recently proposed for.
func (s *Proposers) Len() int { return len(s.active) }

// Submit processes a call on a register for the machine from, which received the call from the caller. Submit answers
// the call once, unless this process ends first. The outcome UNAVAILABLE means that the call was not executed here and
// never will be; UNKNOWN means that the call may have been or may still be executed.
func (s *Proposers) Submit(now time.Duration, name string, from *pb.Replica, call *pb.CoordinationCall) {
	s.followEpoch()
	found := s.active[name]
	if found == nil && s.replica.IsActive() && len(s.active) < maxProposers {
		found = &proposer{proposers: s, name: name}
		s.active[name] = found
	}
	if found == nil {
		refused := &operation{call: call, from: from}
		s.output.Reply(from, refused.unfinished())
		return
	}
	found.submit(now, from, call)
}

// nextRound returns a round for a proposal number, above the known round and above all rounds that this machine has
// used since its start.
func (s *Proposers) nextRound(known uint64) uint64 {
	s.lastRound = max(s.lastRound, known) + 1
	return s.lastRound
}

// Promised handles a voter's answer to a prepare.
func (s *Proposers) Promised(now time.Duration, from *pb.Replica, promise *pb.RegisterPromise) {
	if found := s.proposerFor(from, promise.GetName(), promise.GetNumber()); found != nil {
		found.promised(now, from, promise)
	}
}

// Accepted handles a voter's answer to an accept.
func (s *Proposers) Accepted(now time.Duration, from *pb.Replica, answer *pb.RegisterAccepted) {
	if found := s.proposerFor(from, answer.GetName(), answer.GetPosition()); found != nil {
		found.accepted(now, from, answer)
	}
}

// proposerFor returns the proposer to which a voter's answer belongs, or nil if there is none in this epoch.
func (s *Proposers) proposerFor(from *pb.Replica, name string, position *pb.RegisterPosition) *proposer {
	s.followEpoch()
	if position.GetEpoch() != s.epoch || !s.replica.membership.includes(from.GetIdentity()) {
		return nil
	}
	return s.active[name]
}

// followEpoch stops all proposers when the epoch has changed.
func (s *Proposers) followEpoch() {
	if epoch := s.replica.membership.Epoch; epoch != s.epoch {
		s.epoch = epoch
		s.Stop()
	}
}

// Stop discards all proposers. The calls in progress are answered.
func (s *Proposers) Stop() {
	active := s.active
	s.active = make(map[string]*proposer)
	for _, name := range slices.Sorted(maps.Keys(active)) {
		active[name].stop()
	}
}

// Tick handles timeouts and resends, and discards idle proposers.
func (s *Proposers) Tick(now time.Duration) {
	s.followEpoch()
	for _, name := range slices.Sorted(maps.Keys(s.active)) {
		found := s.active[name]
		if found == nil {
			continue
		}
		found.tick(now)
		if found.isIdle(now) {
			delete(s.active, name)
		}
	}
}
