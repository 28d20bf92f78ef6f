package registry

import (
	"fmt"
	"math/rand/v2"
	"slices"
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

func TestAgentsLiveLostForgotten(t *testing.T) {
	agents := NewAgents(100)
	require.True(t, agents.Heard(0, agentRecord("a1", 1)))
	members := agents.Refresh(0)
	require.Equal(t, uint64(101), members.Version())
	require.Equal(t, 1, members.Live())

	require.Equal(t, uint64(101), agents.Refresh(LiveFor-time.Millisecond).Version())
	members = agents.Refresh(LiveFor)
	require.Equal(t, uint64(101), members.Version(), "a lost machine may still be sending")
	require.Equal(t, 0, members.Live())
	require.Equal(t, uint32(3000), members.Message(LiveFor).Agents[0].AgeMs)

	require.Equal(t, 1, agents.Refresh(LostKept-time.Millisecond).Len())
	members = agents.Refresh(LostKept)
	require.Equal(t, 0, members.Len())
	require.Equal(t, uint64(102), members.Version())
}

func TestAgentsVersionFollowsWhatMatters(t *testing.T) {
	changes := map[string]struct {
		change func(*pb.AgentRecord)
		heard  bool // it matters to clients or to agents
		bumps  bool // it matters to agents
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
			agents.Heard(0, agentRecord("a1", 1))
			before := agents.Refresh(0).Version()
			changed := agentRecord("a1", 1)
			one.change(changed)
			require.Equal(t, one.heard, agents.Heard(time.Second, changed))
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
			agents.Heard(now-time.Second, agentRecord("a1", 1))
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
	agents.Heard(0, agentRecord("a1", 1))
	told := agentRecord("b1", 1)
	told.AgeMs = 10
	agents.Merge(0, []*pb.AgentRecord{told})

	report := agents.Report(20 * time.Millisecond)
	require.Len(t, report, 1, "what others told is not passed on")
	require.Equal(t, "a1", report[0].Host)
	require.Equal(t, uint32(20), report[0].AgeMs)
	require.Empty(t, agents.Report(100*time.Millisecond))

	draining := agentRecord("a1", 1)
	draining.Draining = true
	agents.Heard(150*time.Millisecond, draining)
	require.Len(t, agents.Report(200*time.Millisecond), 1)
	require.Len(t, agents.Report(1200*time.Millisecond), 1)
	require.Empty(t, agents.Report(150*time.Millisecond+LiveFor), "a lost agent is not reported")
}

func TestAgentsAreBounded(t *testing.T) {
	agents := NewAgents(0)
	for index := range MaxAgents + 10 {
		agents.Heard(0, agentRecord(fmt.Sprintf("a%d", index), 1))
	}
	agents.Heard(0, &pb.AgentRecord{})
	require.Equal(t, MaxAgents, agents.Refresh(0).Len())
	require.NoError(t, agents.Check())
}

// TestAgentsOfSeveralMachinesAgree lets agents report to random control machines that exchange heartbeats of
// which some are lost: every machine knows the same live agents, and versions only rise.
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
					machines[random.IntN(len(machines))].Heard(now, agentRecord(host, 1+uint64(step/200)))
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

func TestEndpointsPreferTheClientsPlace(t *testing.T) {
	place := func(host, zone, region string) *pb.AgentRecord {
		record := agentRecord(host, 1)
		record.Zone, record.Region = zone, region
		return record
	}
	records := []*pb.AgentRecord{
		place("a1", "a", "west"), place("a2", "a", "west"),
		place("b1", "b", "west"),
		place("c1", "c", "east"),
		place("d1", "d", "north"), place("d2", "d", "north"), place("d3", "d", "north"),
	}
	cases := map[string]struct {
		region, zone string
		want         []string
	}{
		"two in the zone":        {"west", "a", []string{"a1:80", "a2:80"}},
		"one of many: region":    {"west", "b", []string{"a1:80", "a2:80", "b1:80"}},
		"one in the region: all": {"east", "c", []string{"a1:80", "a2:80", "b1:80", "c1:80", "d1:80", "d2:80", "d3:80"}},
		"unknown place: all":     {"", "", []string{"a1:80", "a2:80", "b1:80", "c1:80", "d1:80", "d2:80", "d3:80"}},
		"unknown zone: region":   {"north", "x", []string{"d1:80", "d2:80", "d3:80"}},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			agents := NewAgents(0)
			for _, record := range records {
				agents.Heard(0, record)
			}
			got := agents.Refresh(0).Endpoints(0, one.region, one.zone, 3)
			slices.Sort(got)
			require.Equal(t, one.want, got)
		})
	}
}

func TestEndpointsOfASmallSystem(t *testing.T) {
	agents := NewAgents(0)
	agents.Heard(0, agentRecord("a1", 1))
	agents.Heard(0, agentRecord("b1", 1))
	agents.Heard(0, agentRecord("c1", 1))
	members := agents.Refresh(0)
	require.Equal(t, []string{"b1:80"}, members.Endpoints(0, "region", "zone-b", 0), "a third of all suffices")
}

func TestEndpointsLeaveOutWhatTakesNoRequests(t *testing.T) {
	agents := NewAgents(0)
	for host, change := range map[string]func(*pb.AgentRecord){
		"a1": func(r *pb.AgentRecord) { r.Draining = true },
		"a2": func(r *pb.AgentRecord) { r.Ready = false },
		"a3": func(r *pb.AgentRecord) { r.EdgeAddress = "" },
		"a4": func(*pb.AgentRecord) {},
	} {
		record := agentRecord(host, 1)
		change(record)
		agents.Heard(0, record)
	}
	members := agents.Refresh(0)
	require.Equal(t, []string{"a4:80"}, members.Endpoints(0, "region", "zone-a", 0))
	require.Empty(t, members.Endpoints(LiveFor, "region", "zone-a", 0), "an old picture shows nobody")
}

func TestEndpointsRotateAndAreBounded(t *testing.T) {
	agents := NewAgents(0)
	for index := range 100 {
		agents.Heard(0, agentRecord(fmt.Sprintf("a%02d", index), 1))
	}
	members := agents.Refresh(0)
	firsts := make(map[string]bool)
	for rotation := range uint64(100) {
		endpoints := members.Endpoints(0, "region", "zone-a", rotation)
		require.Len(t, endpoints, MaxEndpoints)
		slices.Sort(endpoints[1:])
		require.Len(t, slices.Compact(endpoints), MaxEndpoints)
		firsts[endpoints[0]] = true
	}
	require.Len(t, firsts, 100)
}

func TestMostlyServing(t *testing.T) {
	cases := map[string]struct {
		ready, starting, lost int
		enough                bool
	}{
		"none":                     {0, 3, 0, false},
		"one of one":               {1, 0, 0, false},
		"two of two":               {2, 0, 0, true},
		"half":                     {2, 2, 0, true},
		"less than half":           {2, 3, 0, false},
		"lost ones are not missed": {2, 0, 9, true},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			agents := NewAgents(0)
			for index := range one.ready + one.starting + one.lost {
				record := agentRecord(fmt.Sprintf("a%d", index), 1)
				record.Ready = index >= one.starting
				heardAt := LiveFor
				if index >= one.ready+one.starting {
					heardAt = 0
				}
				agents.Heard(heardAt, record)
			}
			require.Equal(t, one.enough, agents.Refresh(LiveFor).MostlyServing(LiveFor))
		})
	}
}
