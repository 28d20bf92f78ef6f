package plan

import (
	"slices"

	"fieldrelay/internal/region/migration/capacity"
)

// maxCoresPerStage is the largest number of core machines that a stage replaces: a view change exchanges one voter, and
// every fault budget allows for the loss of one replica.
const maxCoresPerStage = 1

// missingVotes returns the number of voters that are missing for a majority after the worst failure within the fault
// budget; 0 if the voters survive it.
func (c *Core) missingVotes(voters []Voter) int {
	majority := len(voters)/2 + 1
	surviving := min(len(voters)-c.Hosts, len(voters)-votersInLargestZones(voters, c.Zones))
	return max(majority-surviving, 0)
}

// missingReplicas returns the number of machines that are missing for a chain that keeps a replica under the fault budget.
// The zone budget is limited by the number of zones in which there are voters.
func (c *Core) missingReplicas(voters []Voter) int {
	zones := min(c.Zones+1, countZones(c.Voters))
	return max(c.Hosts+1-len(voters), zones-countZones(voters), 0)
}

// votersInLargestZones counts the voters in the given number of zones, those with the most voters.
func votersInLargestZones(voters []Voter, count int) int {
	sizes := make(map[string]int)
	for _, voter := range voters {
		sizes[voter.Zone]++
	}
	var sorted []int
	for _, size := range sizes {
		sorted = append(sorted, size)
	}
	slices.Sort(sorted)
	slices.Reverse(sorted)
	total := 0
	for index := range min(count, len(sorted)) {
		total += sorted[index]
	}
	return total
}

func countZones(voters []Voter) int {
	zones := make(map[string]bool)
	for _, voter := range voters {
		zones[voter.Zone] = true
	}
	return len(zones)
}

// ExchangeVoter returns the voters with one of them replaced by another, or removed without a successor if in is nil.
func ExchangeVoter(voters []Voter, out string, in *Voter) []Voter {
	next := slices.DeleteFunc(slices.Clone(voters), func(voter Voter) bool { return voter.ID == out })
	if in != nil {
		next = append(next, *in)
	}
	return next
}

// CheckExchange returns the constraint that forbids replacing a voter, and the number of voters or replicas that are
// missing; 0 if the replacement is allowed. With surge the new machine takes over the vote in one view change, and the new
// view must survive the fault budget as well as the present one does. In place, a view change removes the old machine
// first, and the remaining voters must survive the whole budget.
func (c *Core) CheckExchange(out string, in Voter, surge bool) (violated Constraint, missing int) {
	if !slices.ContainsFunc(c.Voters, func(voter Voter) bool { return voter.ID == out }) {
		return 0, 0
	}
	toleratedVotes, toleratedReplicas := 0, 0
	next := ExchangeVoter(c.Voters, out, nil)
	if surge {
		toleratedVotes, toleratedReplicas = c.missingVotes(c.Voters), c.missingReplicas(c.Voters)
		next = ExchangeVoter(c.Voters, out, &in)
	}
	if missing := c.missingVotes(next); missing > toleratedVotes {
		return ConstraintMajority, missing
	}
	if missing := c.missingReplicas(next); missing > toleratedReplicas {
		return ConstraintReplicas, missing
	}
	return 0, 0
}

// checkVoters checks the constraints of the voters and the chain for the core machines of a stage.
func (s *searcher) checkVoters(done, batch counts) *violation {
	core := s.input.Core
	for index, count := range done {
		for _, member := range s.classes[index].members[:count] {
			core.Voters = exchangeReplaced(core.Voters, &member)
		}
	}
	for index, count := range batch {
		if count == 0 || s.classes[index].sample().Old.Kind != capacity.Core {
			continue
		}
		member := s.classes[index].members[done[index]]
		in := Voter{ID: member.New.ID, Zone: member.New.Zone}
		if violated, missing := core.CheckExchange(member.Old.ID, in, member.Surge); violated != 0 {
			return &violation{constraint: violated, missing: missing}
		}
	}
	return nil
}

// exchangeReplaced returns the voters after a replacement; they are unchanged if the old node is no voter.
func exchangeReplaced(voters []Voter, replacement *Replacement) []Voter {
	isVoter := slices.ContainsFunc(voters, func(voter Voter) bool { return voter.ID == replacement.Old.ID })
	if !isVoter {
		return voters
	}
	return ExchangeVoter(voters, replacement.Old.ID, &Voter{ID: replacement.New.ID, Zone: replacement.New.Zone})
}
