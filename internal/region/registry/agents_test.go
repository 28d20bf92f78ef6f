package registry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

func agentRecord(host string, incarnation uint64) *pb.AgentRecord {
	return &pb.AgentRecord{
		Host: host, Incarnation: incarnation, Zone: "zone-" + host[:1], Region: "region",
		EdgeAddress: host + ":80", AgentAddress: host + ":81", Ready: true,
	}
}

func hostsOf(members *Members) []string {
	var hosts []string
	for _, member := range members.list {
		hosts = append(hosts, member.record.Host)
	}
	return hosts
}

func TestAgentsLiveLostRemoved(t *testing.T) {
	agents := NewAgents(100)
	require.True(t, agents.Observe(0, agentRecord("a1", 1)))
	members := agents.Refresh(0)
	require.Equal(t, uint64(101), members.Version())
	require.Equal(t, 1, members.Live())

	require.Equal(t, uint64(101), agents.Refresh(FailureTimeout-time.Millisecond).Version())
	members = agents.Refresh(FailureTimeout)
	require.Equal(t, uint64(101), members.Version(), "a lost machine may still be sending")
	require.Equal(t, 0, members.Live())
	require.Equal(t, uint32(3000), members.Message(FailureTimeout).Agents[0].AgeMs)

	require.Equal(t, 1, agents.Refresh(LostRetention-time.Millisecond).Len())
	members = agents.Refresh(LostRetention)
	require.Equal(t, 0, members.Len())
	require.Equal(t, uint64(102), members.Version())
}

func TestAgentsVersionFollowsWhatMatters(t *testing.T) {
	changes := map[string]struct {
		change  func(*pb.AgentRecord)
		matters bool // the change is relevant to clients or agents
		bumps   bool // the change is relevant to agents, so that the version rises
	}{
		"nothing":       {func(*pb.AgentRecord) {}, false, false},
		"sequence":      {func(r *pb.AgentRecord) { r.Sequence = 9 }, false, false},
		"ready":         {func(r *pb.AgentRecord) { r.Ready = false }, true, false},
		"draining":      {func(r *pb.AgentRecord) { r.Draining = true }, true, false},
		"incarnation":   {func(r *pb.AgentRecord) { r.Incarnation = 2 }, true, false},
		"edge address":  {func(r *pb.AgentRecord) { r.EdgeAddress = "else:80" }, true, false},
		"agent address": {func(r *pb.AgentRecord) { r.AgentAddress = "else:81" }, true, true},
		"zone":          {func(r *pb.AgentRecord) { r.Zone = "else" }, true, true},
		"region":        {func(r *pb.AgentRecord) { r.Region = "else" }, true, true},
	}
	for name, one := range changes {
		t.Run(name, func(t *testing.T) {
			agents := NewAgents(0)
			agents.Observe(0, agentRecord("a1", 1))
			before := agents.Refresh(0).Version()
			changed := agentRecord("a1", 1)
			one.change(changed)
			require.Equal(t, one.matters, agents.Observe(time.Second, changed))
			members := agents.Refresh(time.Second)
			require.Equal(t, one.bumps, members.Version() > before)
			require.Equal(t, changed.Ready, len(members.serving(time.Second)) == 1 || changed.Draining)
		})
	}
}

func TestAgentsMergeTakesTheFreshest(t *testing.T) {
	const now = 10 * time.Second
	cases := map[string]struct {
		incarnation uint64
		ageMs       uint32
		taken       bool
	}{
		"fresher":                                    {1, 500, true},
		"older":                                      {1, 1500, false},
		"next incarnation, a little older":           {2, 1300, true},
		"next incarnation, much older":               {2, 2500, false},
		"earlier incarnation, a little fresher":      {0, 700, false},
		"earlier incarnation, much fresher (a jump)": {0, 100, true},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			agents := NewAgents(0)
			agents.Observe(now-time.Second, agentRecord("a1", 1))
			record := agentRecord("a1", one.incarnation)
			record.Ready = false
			record.AgeMs = one.ageMs
			require.Equal(t, one.taken, agents.Merge(now, []*pb.AgentRecord{record}))
			require.NoError(t, check(agents, now))
		})
	}
}

func check(agents *Agents, now time.Duration) error {
	agents.Refresh(now)
	return agents.Check()
}

func TestAgentsReportOnlyWhatIsNewOrDue(t *testing.T) {
	agents := NewAgents(0)
	agents.Observe(0, agentRecord("a1", 1))
	merged := agentRecord("b1", 1)
	merged.AgeMs = 10
	agents.Merge(0, []*pb.AgentRecord{merged})

	report := agents.Report(20 * time.Millisecond)
	require.Len(t, report, 1, "records of other control machines are not forwarded")
	require.Equal(t, "a1", report[0].Host)
	require.Equal(t, uint32(20), report[0].AgeMs)
	require.Empty(t, agents.Report(100*time.Millisecond))

	draining := agentRecord("a1", 1)
	draining.Draining = true
	agents.Observe(150*time.Millisecond, draining)
	require.Len(t, agents.Report(200*time.Millisecond), 1)
	require.Len(t, agents.Report(1200*time.Millisecond), 1)
	require.Empty(t, agents.Report(150*time.Millisecond+FailureTimeout), "a lost agent is not reported")
}

func TestAgentsAreBounded(t *testing.T) {
	agents := NewAgents(0)
	for index := range MaxAgents + 10 {
		agents.Observe(0, agentRecord(fmt.Sprintf("a%d", index), 1))
	}
	agents.Observe(0, &pb.AgentRecord{})
	require.Equal(t, MaxAgents, agents.Refresh(0).Len())
	require.NoError(t, agents.Check())
}

// TestAgentsOfSeveralMachinesAgree guards against control machines that know different live agents, and against
// versions that fall: agents report to random control machines, which exchange heartbeats of which some are lost.
func TestAgentsOfSeveralMachinesAgree(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 1))
		machines := []*Agents{NewAgents(0), NewAgents(1000), NewAgents(2000)}
		versions := make([]uint64, len(machines))
		hosts := []string{"a1", "a2", "b1", "b2", "b3"}
		now := time.Duration(0)
		for step := range 400 {
			now += 100 * time.Millisecond
			for index, host := range hosts {
				if step%10 == index || random.IntN(5) == 0 {
					machines[random.IntN(len(machines))].Observe(now, agentRecord(host, 1+uint64(step/200)))
				}
			}
			exchange(random, now, machines)
			for index, machine := range machines {
				version := machine.Refresh(now).Version()
				require.GreaterOrEqual(t, version, versions[index])
				versions[index] = version
				require.NoError(t, machine.Check())
			}
		}
		for _, machine := range machines {
			members := machine.Refresh(now)
			require.Equal(t, hosts, hostsOf(members))
			require.Equal(t, len(hosts), members.Live(), "seed %d", seed)
			for _, member := range members.list {
				require.Equal(t, uint64(2), member.record.Incarnation)
			}
		}
	}
}

// exchange sends each machine's report to the others, losing one in ten.
func exchange(random *rand.Rand, now time.Duration, machines []*Agents) {
	for from, machine := range machines {
		report := machine.Report(now)
		for to, receiver := range machines {
			if to != from && random.IntN(10) > 0 {
				receiver.Merge(now, report)
			}
		}
	}
}

// TestADrainingAgentIsNotReadyAgainByALateReport guards against a draining agent that a delayed report of another
// control machine makes ready again: the age in the report does not include its transmission time.
func TestADrainingAgentIsNotReadyAgainByALateReport(t *testing.T) {
	const reportedAt, delay = 10 * time.Second, 200 * time.Millisecond
	draining := agentRecord("a1", 1)
	draining.Draining = true
	before := agentRecord("a1", 1)
	before.AgeMs = 100

	agents := NewAgents(0)
	agents.Observe(reportedAt, draining)
	require.False(t, agents.Merge(reportedAt+delay, []*pb.AgentRecord{before}))
	require.Empty(t, agents.Refresh(reportedAt+delay).Endpoints(reportedAt+delay, Client{Region: "region", Zone: "zone-a"}, 0))

	agents = NewAgents(0)
	agents.Merge(reportedAt+delay, []*pb.AgentRecord{before})
	require.True(t, agents.Observe(reportedAt, draining), "the order of arrival does not matter")

	// A proxy that restarts while its agent keeps running is ready again after recordTolerance.
	require.True(t, agents.Observe(reportedAt+recordTolerance+time.Millisecond, agentRecord("a1", 1)))
}
