package controlsim

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Times of a storm of cuts.
const (
	// longestCut is how long a machine may be cut off.
	longestCut = 22 * time.Second
	// cutsFor is how long the storm lasts: several of the longest cuts fit in.
	cutsFor = 70 * time.Second
	// cutAgainWithin is how soon after the join the next cut of the same machine may come.
	cutAgainWithin = 300 * time.Millisecond
	// holdCopy is the probability that a copy of a configuration arrives late.
	holdCopy = 0.15
	// cutsPause is the longest wait for the next cut.
	cutsPause = 4 * time.Second
	// joinInElection is the probability that the next attempt to change the view ends a cut.
	joinInElection = 0.3
	// cutAgain is the probability that a machine is cut off once more straight after its join.
	cutAgain = 0.3
	// restartBehindCut and freezeBehindCut are the probabilities that a machine that is cut off starts anew
	// meanwhile, or stands still.
	restartBehindCut = 0.15
	freezeBehindCut  = 0.1
)

// Probabilities and bounds of machines that join during the storm.
const (
	addMachine  = 0.04 // at each cut
	mostAdded   = 2
	cutAtJoinIn = 100 * time.Millisecond // how soon after the vote that admits it a new machine is cut off
)

// cutStorm cuts machines off: one in a certain part, alone or with others, from all, some or its zone, in one
// direction or both.
type cutStorm struct {
	world    *world
	active   int // cuts and standstills under way
	ended    bool
	target   *host   // that was cut off last; nil: none is
	proposer *host   // that asked for promises last
	inBallot []*aCut // that end at the next attempt to change the view

	admitted map[*host]bool // machines that were new, and that a vote has been called on

	// counts of what the storm has done
	cuts, joinedInElection, cutAgain, restarts, freezes, cutAtJoin, heldCopies int
	roles                                                                      map[string]int
}

// aCut is one cut under way.
type aCut struct {
	pairs  [][2]*host // from, to
	joined bool
}

func (w *world) addCuts() *cutStorm {
	storm := &cutStorm{world: w, roles: make(map[string]int), admitted: make(map[*host]bool)}
	w.after(w.between(2*time.Second, 4*time.Second), storm.next)
	return storm
}

// watch is told of all messages that are sent.
func (s *cutStorm) watch(message *pb.Message) {
	if value := message.GetAccept().GetValue(); value != nil {
		s.cutJoiners(s.world.hostsOf(value.GetVoters()))
	}
	if message.GetPrepare() == nil {
		return
	}
	s.proposer = s.world.byPeer[message.GetFrom().GetAddress()]
	waiting := s.inBallot
	s.inBallot = nil
	for _, cut := range waiting {
		s.world.after(s.world.upTo(50*time.Millisecond), func() {
			if !cut.joined {
				s.joinedInElection++
				s.join(cut)
			}
		})
	}
}

// cutJoiners cuts new machines off while they are voted in, or just after.
func (s *cutStorm) cutJoiners(voters []*host) {
	for _, voter := range voters {
		if voter.index < s.world.plan.machines || s.admitted[voter] {
			continue
		}
		s.admitted[voter] = true
		s.world.after(s.world.upTo(cutAtJoinIn), func() {
			if !s.ended {
				s.cutAtJoin++
				s.cutOff(voter, "new")
			}
		})
	}
}

func (s *cutStorm) next() {
	if s.ended {
		return
	}
	if s.world.chance(addMachine) && len(s.world.hosts) < s.world.plan.machines+mostAdded {
		s.world.addHost(false).start()
	}
	role, target := s.drawTarget()
	s.roles[role]++
	s.cutOff(target, role)
	s.world.after(s.world.between(100*time.Millisecond, cutsPause), s.next)
}

// cutOff cuts a machine, perhaps with others, off from some machines.
func (s *cutStorm) cutOff(target *host, role string) {
	w := s.world
	side := s.drawSide(target)
	cut := &aCut{pairs: s.drawPairs(side, s.drawRest(target, side))}
	span := w.between(200*time.Millisecond, 3*time.Second)
	if w.chance(0.4) {
		span = w.between(3*time.Second, longestCut)
	}
	w.note("cut off %s (%s) and %d more, %d ways, for %v", target.name, role, len(side)-1, len(cut.pairs), span)
	s.cuts++
	s.target = target
	s.active++
	for _, pair := range cut.pairs {
		w.network.cut(pair[0], pair[1], true, true)
	}
	w.after(span, func() { s.join(cut) })
	if w.chance(joinInElection) {
		s.inBallot = append(s.inBallot, cut)
	}
	switch {
	case w.chance(restartBehindCut):
		w.after(w.upTo(span), func() { s.restart(target) })
	case w.chance(freezeBehindCut):
		w.after(w.upTo(span), func() { s.freeze(target) })
	}
}

// freeze lets a machine stand still, perhaps beyond the end of its cut.
func (s *cutStorm) freeze(target *host) {
	if s.ended || target.machine == nil || target.frozen {
		return
	}
	s.freezes++
	s.active++
	s.world.note("%s freezes", target.name)
	target.frozen = true
	life := target.life
	s.world.after(s.world.upTo(longestCut), func() {
		s.active--
		if target.life == life {
			s.world.note("%s thaws", target.name)
			target.thaw()
		}
	})
}

// restart starts a machine anew, perhaps with a loss of its power.
func (s *cutStorm) restart(target *host) {
	if s.ended || target.machine == nil {
		return
	}
	s.restarts++
	s.world.note("%s starts anew", target.name)
	if s.world.chance(0.5) {
		target.losePower()
	} else {
		target.kill()
	}
	s.world.after(s.world.upTo(time.Second), target.start)
}

func (s *cutStorm) join(cut *aCut) {
	if cut.joined {
		return
	}
	cut.joined = true
	s.active--
	for _, pair := range cut.pairs {
		s.world.network.cut(pair[0], pair[1], true, false)
	}
	s.world.note("joined again, %d ways", len(cut.pairs))
	if len(cut.pairs) == 0 || s.ended || !s.world.chance(cutAgain) {
		return
	}
	host := cut.pairs[0][0]
	s.world.after(s.world.upTo(cutAgainWithin), func() {
		if !s.ended {
			s.cutAgain++
			s.cutOff(host, "again")
		}
	})
}

// heal waits for the longest cut to end.
func (s *cutStorm) heal() {
	s.ended = true
	s.world.runUntil(longestCut+time.Second, func() bool { return s.active == 0 })
	s.world.network.blocked = make(map[[2]int]bool)
	s.world.run(time.Second + 10*time.Millisecond) // machines that start anew are there again
	s.world.note("all is well")
}

// holdCopy lets a copy of a configuration that is sent to a machine arrive there once more, up to the longest cut
// later: the caller has long had its answer, or given up.
func (s *cutStorm) holdCopy(target *host, order *pb.Order) {
	isConfiguration := order.GetKind() == pb.Order_KIND_REPLACE || order.GetKind() == pb.Order_KIND_AMEND
	if !isConfiguration || !s.world.chance(holdCopy) {
		return
	}
	s.heldCopies++
	s.world.after(s.world.upTo(longestCut), func() {
		s.world.submit(target, order, func(*pb.OrderResult) {})
	})
}
