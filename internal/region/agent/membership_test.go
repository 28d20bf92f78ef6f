package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/shuffle"
)

func members(version uint64, hosts ...string) *pb.Members {
	list := &pb.Members{Version: version}
	for _, host := range hosts {
		list.Agents = append(list.Agents, &pb.AgentRecord{Host: host, AgentAddress: host + ":1"})
	}
	return list
}

func sharingHosts(m *membership) []string {
	var hosts []string
	for _, member := range m.quotaMembers.GetMembers() {
		hosts = append(hosts, member.GetHost())
	}
	return hosts
}

func TestLostMembersCountForAWhile(t *testing.T) {
	m := newMembership(shuffle.Neighbour{Host: "self"}, 5)
	require.True(t, m.update(0, "core-1", members(1, "a", "b", "self")))
	require.True(t, m.update(time.Second, "core-2", members(1, "a")), "each control machine numbers its lists independently")
	require.Equal(t, []string{"a", "b", "self"}, sharingHosts(&m))
	require.EqualValues(t, 3, m.quotaMembers.GetProxies())
	require.EqualValues(t, 1, m.quotaMembers.GetVersion().GetRevision(), "the set of proxies has not changed")

	m.expireLost(time.Second + lostMemberRetention - 1)
	require.Len(t, sharingHosts(&m), 3)
	m.expireLost(time.Second + lostMemberRetention)
	require.Equal(t, []string{"a", "self"}, sharingHosts(&m))
	require.EqualValues(t, 2, m.quotaMembers.GetVersion().GetRevision())
}

func TestMemberThatComesBackIsNoLongerLost(t *testing.T) {
	m := newMembership(shuffle.Neighbour{Host: "self"}, 5)
	m.update(0, "core-1", members(1, "a", "b"))
	m.update(time.Second, "core-1", members(2, "a"))
	m.update(2*time.Second, "core-1", members(3, "a", "b"))
	m.expireLost(10 * time.Minute)
	require.Equal(t, []string{"a", "b", "self"}, sharingHosts(&m))
}

func TestSameListIsNoUpdate(t *testing.T) {
	m := newMembership(shuffle.Neighbour{Host: "self"}, 5)
	require.False(t, m.update(0, "core-1", nil))
	require.Nil(t, m.quotaMembers)
	require.True(t, m.update(0, "core-1", members(0)), "the first list, whatever its version")
	require.Equal(t, []string{"self"}, sharingHosts(&m))
	require.False(t, m.update(0, "core-1", members(0)))
}
