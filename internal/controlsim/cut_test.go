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

// cutStorm cuts machines off: one in a certain part, alone or with others, from all, some or its zone, in one
// direction or both.
type cutStorm struct {
	world    *world
	active   int // cuts and standstills under way
	ended    bool
	target   *host   // that was cut off last; nil: none is
	proposer *host   // that asked for promises last
	inBallot []*aCut // that end at the next attempt to change the view

	// counts of what the storm has done
	cuts, joinedInElection, cutAgain, restarts, freezes int
	roles                                               map[string]int
}

// aCut is one cut under way.
type aCut struct {
	pairs  [][2]*host // from, to
	joined bool
}

func (w *world) addCuts() *cutStorm {
	storm := &cutStorm{world: w, roles: make(map[string]int)}
	w.after(w.between(2*time.Second, 4*time.Second), storm.next)
	return storm
}

// watch is told of all messages that are sent.
func (s *cutStorm) watch(message *pb.Message) {
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

func (s *cutStorm) next() {
	if s.ended {
		return
	}
	role, target := s.drawTarget()
	s.roles[role]++
	s.cutOff(target, role)
	s.world.after(s.world.between(100*time.Millisecond, cutsPause), s.next)
}

// drawTarget picks a machine by its part in the newest view.
func (s *cutStorm) drawTarget() (string, *host) {
	roles := s.hostsByRole()
	names := []string{"head", "middle", "tail", "learner", "proposer", "voter"}
	name := names[s.world.random.IntN(len(names))]
	if hosts := roles[name]; len(hosts) > 0 {
		return name, hosts[s.world.random.IntN(len(hosts))]
	}
	return "any", s.world.anyHost()
}

func (s *cutStorm) hostsByRole() map[string][]*host {
	roles := make(map[string][]*host)
	view := s.world.newestView()
	if view == nil {
		return roles
	}
	members := s.world.hostsOf(view.GetChain())
	if len(members) > 1 {
		roles["head"] = members[:1]
		roles["middle"] = members[1 : len(members)-1]
		roles["tail"] = members[len(members)-1:]
	}
	roles["voter"] = s.world.hostsOf(view.GetVoters())
	inChain := make(map[*host]bool)
	for _, member := range members {
		inChain[member] = true
	}
	for _, voter := range roles["voter"] {
		if !inChain[voter] {
			roles["learner"] = append(roles["learner"], voter)
		}
	}
	if s.proposer != nil {
		roles["proposer"] = []*host{s.proposer}
	}
	return roles
}

func (w *world) newestView() *pb.View {
	var newest *pb.View
	for _, host := range w.living() {
		if host.machine != nil && host.machine.View().GetNumber() > newest.GetNumber() {
			newest = host.machine.View()
		}
	}
	return newest
}

func (w *world) hostsOf(replicas []*pb.Replica) []*host {
	var hosts []*host
	for _, replica := range replicas {
		if host := w.byPeer[replica.GetAddress()]; host != nil {
			hosts = append(hosts, host)
		}
	}
	return hosts
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

// drawSide is the target alone, with a few others, or with its whole zone.
func (s *cutStorm) drawSide(target *host) []*host {
	side := []*host{target}
	zone := s.world.chance(0.15)
	others := 0.0
	if s.world.chance(0.3) {
		others = 0.4
	}
	for _, other := range s.world.living() {
		if other != target && (zone && other.zone == target.zone || s.world.chance(others)) {
			side = append(side, other)
		}
	}
	return side
}

// drawRest is all others, those of the target's zone or of other zones, or a single machine.
func (s *cutStorm) drawRest(target *host, side []*host) []*host {
	within := make(map[*host]bool)
	for _, host := range side {
		within[host] = true
	}
	shape := s.world.random.IntN(6)
	var rest []*host
	for _, other := range s.world.living() {
		sameZone := other.zone == target.zone
		if within[other] || shape == 0 && !sameZone || shape == 1 && sameZone {
			continue
		}
		rest = append(rest, other)
	}
	if shape == 2 && len(rest) > 0 {
		place := s.world.random.IntN(len(rest))
		rest = rest[place : place+1]
	}
	return rest
}

// drawPairs is the ways that are blocked: out of the side, into it, or both.
func (s *cutStorm) drawPairs(side, rest []*host) [][2]*host {
	direction := s.world.random.IntN(4)
	var pairs [][2]*host
	for _, a := range side {
		for _, b := range rest {
			if direction != 0 {
				pairs = append(pairs, [2]*host{a, b})
			}
			if direction != 1 {
				pairs = append(pairs, [2]*host{b, a})
			}
		}
	}
	return pairs
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
