package register

import (
	"maps"
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

const (
	// idleTimeout is how long a proposer without calls is kept: the next call need not prepare meanwhile.
	idleTimeout = time.Minute
	// maxProposers bounds the registers that one machine proposes for at a time.
	maxProposers = 16384
)

// Proposers are the registers that one machine proposes for. It must vote in the epoch.
type Proposers struct {
	replica *Replica
	output  Output
	execute Execute
	// name is the proposer's part of its numbers. It must differ from start to start: a machine does not remember which
	// numbers it has used.
	name      string
	lastRound uint64 // of all registers, so that none of them sees a number twice
	lastPoll  uint64
	epoch     uint64
	active    map[string]*proposer
}

// NewProposers returns the proposers of the machine whose replica is given.
func NewProposers(replica *Replica, name string, execute Execute, output Output) *Proposers {
	return &Proposers{replica: replica, output: output, execute: execute, name: name, active: make(map[string]*proposer)}
}

// Len is the number of registers that this machine proposes for, or has proposed for lately.
func (s *Proposers) Len() int { return len(s.active) }

// Submit takes a call on a register, for a machine where it arrived, and answers it once if this machine goes on. An outcome
// UNAVAILABLE says that the call was not executed here and never will be, UNKNOWN that it may be.
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

// nextRound is a round above one that is known, and above all that this machine has used since its start.
func (s *Proposers) nextRound(known uint64) uint64 {
	s.lastRound = max(s.lastRound, known) + 1
	return s.lastRound
}

// Promised takes a voter's answer to a prepare.
func (s *Proposers) Promised(now time.Duration, from *pb.Replica, promise *pb.RegisterPromise) {
	if found := s.proposerFor(from, promise.GetName(), promise.GetNumber()); found != nil {
		found.promised(now, from, promise)
	}
}

// Accepted takes a voter's answer to an accept.
func (s *Proposers) Accepted(now time.Duration, from *pb.Replica, answer *pb.RegisterAccepted) {
	if found := s.proposerFor(from, answer.GetName(), answer.GetPosition()); found != nil {
		found.accepted(now, from, answer)
	}
}

// proposerFor is the proposer that a voter answers; nil if there is none in this epoch.
func (s *Proposers) proposerFor(from *pb.Replica, name string, position *pb.RegisterPosition) *proposer {
	s.followEpoch()
	if position.GetEpoch() != s.epoch || !s.replica.membership.includes(from.GetIdentity()) {
		return nil
	}
	return s.active[name]
}

// followEpoch ends what was begun in an earlier epoch.
func (s *Proposers) followEpoch() {
	if epoch := s.replica.membership.Epoch; epoch != s.epoch {
		s.epoch = epoch
		s.Stop()
	}
}

// Stop gives all registers up. The calls under way are answered.
func (s *Proposers) Stop() {
	active := s.active
	s.active = make(map[string]*proposer)
	for _, name := range slices.Sorted(maps.Keys(active)) {
		active[name].stop()
	}
}

// Tick lets time pass.
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
