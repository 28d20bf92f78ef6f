package plan

import "slices"

// maxCoresPerStage is the number of core machines that a stage replaces at most: views change by one voter at a
// time, and one replica is what every fault budget leaves.
const maxCoresPerStage = 1

// missingVotes is the number of voters that are lacking for a majority after the worst loss within the budget;
// 0 if the voters bear it.
func (c *Core) missingVotes(voters []Voter) int {
	majority := len(voters)/2 + 1
	left := min(len(voters)-c.Hosts, len(voters)-votersInLargestZones(voters, c.Zones))
	return max(majority-left, 0)
}

// missingReplicas is the number of machines that are lacking for a chain that bears the budget.
func (c *Core) missingReplicas(voters []Voter) int {
	zones := min(c.Zones+1, countZones(c.Voters))
	return max(c.Hosts+1-len(voters), zones-countZones(voters), 0)
}

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

// ExchangeVoter returns the voters with one of them replaced by another, or only out if in is nil.
func ExchangeVoter(voters []Voter, out string, in *Voter) []Voter {
	next := slices.DeleteFunc(slices.Clone(voters), func(voter Voter) bool { return voter.ID == out })
	if in != nil {
		next = append(next, *in)
	}
	return next
}

// Constraint tells what forbids replacing a voter, and how many voters or replicas are lacking; 0 if nothing does.
// Beside the old machine the new one takes its vote in one view, which must bear the budget as well as the
// present view does. Without a place beside, the old machine is voted out first, and the rest must bear it.
func (c *Core) CheckExchange(out string, in Voter, surge bool) (Constraint, int) {
	if !slices.ContainsFunc(c.Voters, func(voter Voter) bool { return voter.ID == out }) {
		return 0, 0
	}
	votes, replicas := 0, 0 // that may be lacking
	next := ExchangeVoter(c.Voters, out, nil)
	if surge {
		votes, replicas = c.missingVotes(c.Voters), c.missingReplicas(c.Voters)
		next = ExchangeVoter(c.Voters, out, &in)
	}
	if lacking := c.missingVotes(next); lacking > votes {
		return ConstraintMajority, lacking
	}
	if lacking := c.missingReplicas(next); lacking > replicas {
		return ConstraintReplicas, lacking
	}
	return 0, 0
}
