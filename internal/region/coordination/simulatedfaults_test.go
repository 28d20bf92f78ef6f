package coordination

import (
	"slices"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/register"
)

// startFaults schedules faults of a random mixture of kinds, drawn anew for each run.
func (s *simulation) startFaults() {
	kinds := []func(){
		s.crashOne, s.crashMany, s.freezeSome, s.cutHalves, s.cutOneWay, s.stallDisk, s.loseDisk, s.replaceMember, s.renewView,
	}
	var mixture []func()
	for _, kind := range kinds {
		for range s.random.IntN(3) {
			mixture = append(mixture, kind)
		}
	}
	if len(mixture) == 0 {
		mixture = kinds
	}
	s.scheduleFault(mixture, s.between(150, 1500))
}

func (s *simulation) scheduleFault(mixture []func(), mean time.Duration) {
	wait := time.Duration(s.random.ExpFloat64() * float64(mean))
	s.after(min(wait, 4*mean), func() {
		if s.faulty {
			pick(s, mixture)()
			s.scheduleFault(mixture, mean)
		}
	})
}

// crashFor stops a process and restarts it after a pause.
func (s *simulation) crashFor(victim *machine, pause time.Duration) {
	if !victim.running {
		return
	}
	victim.crash()
	s.after(pause, func() { s.restart(victim) })
}

func (s *simulation) restart(stopped *machine) {
	if !stopped.running && !stopped.removed {
		stopped.start()
	}
}

func (s *simulation) crashOne() { s.crashFor(pick(s, s.machines), s.between(10, 3000)) }

// crashMany simulates a power failure, or many processes that are killed together.
func (s *simulation) crashMany() {
	share := pick(s, []float64{0.3, 0.6, 1})
	for _, victim := range slices.Clone(s.machines) {
		if s.chance(share) {
			s.crashFor(victim, s.between(10, 1500))
		}
	}
}

func (s *simulation) freezeSome() {
	share := pick(s, []float64{0.2, 0.2, 0.5})
	for _, victim := range s.machines {
		if s.chance(share) {
			victim.freeze(s.between(50, 5000))
		}
	}
}

// cutHalves partitions the machines into two groups.
func (s *simulation) cutHalves() {
	inFirst := make(map[string]bool)
	for _, member := range s.machines {
		inFirst[member.identity()] = s.chance(0.5)
	}
	var links []link
	for _, from := range s.machines {
		for _, to := range s.machines {
			if inFirst[from.identity()] != inFirst[to.identity()] {
				links = append(links, link{from.identity(), to.identity()})
			}
		}
	}
	s.network.cut(links, s.between(100, 4000))
}

// cutOneWay drops the messages on a random set of links, each in one direction.
func (s *simulation) cutOneWay() {
	var links []link
	for _, from := range s.machines {
		for _, to := range s.machines {
			if s.chance(0.25) {
				links = append(links, link{from.identity(), to.identity()})
			}
		}
	}
	s.network.cut(links, s.between(100, 4000))
}

// stallDisk stops the writes of a disk for a while, as a full disk does.
func (s *simulation) stallDisk() {
	pick(s, s.machines).disk.stalledUntil = s.now + s.between(100, 4000)
}

// loseDisk replaces a machine by one with an empty disk, provided that the registers of the epoch stay on the disks of
// a majority.
func (s *simulation) loseDisk() {
	victim := pick(s, s.machines)
	if s.planted.lostDiskKeepsIdentity {
		s.eraseDisk(victim)
		return
	}
	holders := s.epochHolders()
	if slices.Contains(holders, victim) {
		holders = slices.DeleteFunc(holders, func(holder *machine) bool { return holder == victim })
		if len(holders) <= len(s.view.GetVoters())/2 {
			return
		}
	} else if len(holders) <= len(s.view.GetVoters())/2 {
		return
	}
	victim.crash()
	victim.removed = true
	s.machines = slices.DeleteFunc(s.machines, func(member *machine) bool { return member == victim })
	s.addMachine()
}

// eraseDisk empties a disk and restarts the machine under its old identity, which the protocol forbids.
func (s *simulation) eraseDisk(victim *machine) {
	if !victim.running {
		return
	}
	victim.crash()
	victim.disk.records = nil
	victim.start()
}

// epochHolders returns the voters that have the registers of the epoch on disk.
func (s *simulation) epochHolders() []*machine {
	var holders []*machine
	for _, voter := range s.view.GetVoters() {
		member := s.byIdentity[voter.GetIdentity()]
		if !member.removed && member.disk.activeEpoch() >= s.view.GetVotersEpoch() {
			holders = append(holders, member)
		}
	}
	return holders
}

// replaceMember replaces a working voter by another machine.
func (s *simulation) replaceMember() {
	leaving := pick(s, s.view.GetVoters()).GetIdentity()
	s.proposeVoters(func(identity string) bool { return identity != leaving })
}

// changeView replaces the voters whose disks are lost.
func (s *simulation) changeView() {
	hasDisk := func(identity string) bool { return !s.byIdentity[identity].removed }
	if slices.ContainsFunc(s.view.GetVoters(), func(voter *pb.Replica) bool { return !hasDisk(voter.GetIdentity()) }) {
		s.proposeVoters(hasDisk)
	}
}

// proposeVoters decides a view that keeps some of the current voters and replaces the rest.
func (s *simulation) proposeVoters(stays func(identity string) bool) {
	if len(s.epochHolders()) <= len(s.view.GetVoters())/2 {
		return
	}
	var next []*pb.Replica
	votes := make(map[string]bool)
	for _, voter := range s.view.GetVoters() {
		votes[voter.GetIdentity()] = true
		if stays(voter.GetIdentity()) {
			next = append(next, voter)
		}
	}
	for _, candidate := range s.machines {
		if len(next) < len(s.view.GetVoters()) && candidate.running && !votes[candidate.identity()] {
			next = append(next, candidate.replica)
		}
	}
	s.decideView(next)
}

// renewView decides a view with the same voters.
func (s *simulation) renewView() { s.decideView(s.view.GetVoters()) }

// decideView decides the next view, of which one of the previous voters learns first.
func (s *simulation) decideView(voters []*pb.Replica) {
	var informed []*machine
	for _, voter := range s.view.GetVoters() {
		if member := s.byIdentity[voter.GetIdentity()]; member.running && !member.frozen {
			informed = append(informed, member)
		}
	}
	if len(informed) <= len(s.view.GetVoters())/2 || len(voters) < len(s.view.GetVoters()) {
		return
	}
	next := &pb.View{Number: s.view.GetNumber() + 1, Voters: voters}
	register.AssignEpoch(next, s.view)
	s.view = next
	pick(s, informed).adopt(next)
}

// heal ends all faults.
func (s *simulation) heal() {
	s.faulty = false
	s.maxSyncMillis = fastSyncMillis
	s.network.clearFaults()
	s.network.cuts = make(map[link]int)
	for _, member := range slices.Clone(s.machines) {
		member.disk.stalledUntil = 0
		member.resume()
		s.restart(member)
	}
}
