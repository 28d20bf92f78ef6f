package agent

import (
	"slices"
	"strings"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/shuffle"
)

const (
	// lostMemberRetention is how long the proxy of a lost member may still be sending requests. The proxy's share of a
	// quota is not assigned to other proxies before that time has passed.
	lostMemberRetention = 60 * time.Second
	// maxMembers is the maximum number of members that are kept of a list, and the maximum number of lost members.
	maxMembers = 4096
)

// membership holds the known edge machines, and the quota members derived from them: the machines among whose proxies
// each quota is divided. These are all members, the members lost recently and this machine itself.
type membership struct {
	self                *pb.Neighbour
	source              string // control machine that assigned the version
	version             uint64
	received            bool                  // a list has been received
	members             []*pb.Neighbour       // members of the last list
	lost                map[string]lostMember // members lost recently, by host
	quotaMembers        *pb.QuotaMembers
	quotaMembersVersion *pb.QuotaMembersVersion
}

// lostMember is a member of an earlier list that is not in the last list.
type lostMember struct {
	member    *pb.Neighbour
	expiresAt time.Duration
}

func newMembership(self shuffle.Neighbour, incarnation uint64) membership {
	return membership{
		self:                neighbourMessage(self),
		lost:                make(map[string]lostMember),
		quotaMembersVersion: &pb.QuotaMembersVersion{Agent: incarnation},
	}
}

// update adopts a list of members. It reports false, and adopts nothing, if list is nil or has been adopted before.
func (m *membership) update(now time.Duration, source string, list *pb.Members) bool {
	if list == nil || m.received && source == m.source && list.GetVersion() == m.version {
		return false
	}
	previous := m.members
	m.source = source
	m.version = list.GetVersion()
	m.received = true
	m.members = liveMembers(list)
	for _, member := range m.members {
		delete(m.lost, member.GetHost())
	}
	for _, member := range previous {
		m.retain(now, member)
	}
	m.updateQuotaMembers()
	return true
}

// liveMembers returns the members of a list whose last report to the control machines is recent enough that their
// proxies may be sending requests.
func liveMembers(list *pb.Members) []*pb.Neighbour {
	members := make([]*pb.Neighbour, 0, len(list.GetAgents()))
	for _, record := range list.GetAgents() {
		age := time.Duration(record.GetAgeMs()) * time.Millisecond
		if age > lostMemberRetention || record.GetHost() == "" || len(members) == maxMembers {
			continue
		}
		members = append(members, &pb.Neighbour{
			Host:    record.GetHost(),
			Address: record.GetAgentAddress(),
			Zone:    record.GetZone(),
			Region:  record.GetRegion(),
		})
	}
	return members
}

// retain records a member of the previous list as lost if the last list does not contain it.
func (m *membership) retain(now time.Duration, member *pb.Neighbour) {
	_, retained := m.lost[member.GetHost()]
	if containsHost(m.members, member.GetHost()) || retained || len(m.lost) >= maxMembers {
		return
	}
	m.lost[member.GetHost()] = lostMember{member: member, expiresAt: now + lostMemberRetention}
}

// expireLost removes the lost members whose retention is over. It is called only after a response of a control machine,
// so that no member is removed while no control machine responds.
func (m *membership) expireLost(now time.Duration) {
	expired := false
	for host, lost := range m.lost {
		if lost.expiresAt <= now {
			delete(m.lost, host)
			expired = true
		}
	}
	if expired {
		m.updateQuotaMembers()
	}
}

// updateQuotaMembers recomputes the quota members, and increments their revision if they have changed.
func (m *membership) updateQuotaMembers() {
	members := slices.Clone(m.members)
	for _, lost := range m.lost {
		members = append(members, lost.member)
	}
	if !containsHost(members, m.self.GetHost()) {
		members = append(members, m.self)
	}
	slices.SortFunc(members, func(a, b *pb.Neighbour) int { return strings.Compare(a.GetHost(), b.GetHost()) })
	if m.quotaMembers != nil && slices.EqualFunc(m.quotaMembers.GetMembers(), members, sameMember) {
		return
	}
	m.quotaMembersVersion = &pb.QuotaMembersVersion{Agent: m.quotaMembersVersion.GetAgent(), Revision: m.quotaMembersVersion.GetRevision() + 1}
	m.quotaMembers = &pb.QuotaMembers{Proxies: uint32(len(members)), Members: members, Version: m.quotaMembersVersion}
}

func containsHost(members []*pb.Neighbour, host string) bool {
	return slices.ContainsFunc(members, func(member *pb.Neighbour) bool { return member.GetHost() == host })
}

func sameMember(a, b *pb.Neighbour) bool {
	return a.GetHost() == b.GetHost() &&
		a.GetZone() == b.GetZone() &&
		a.GetRegion() == b.GetRegion() &&
		a.GetAddress() == b.GetAddress()
}

// neighbours returns the members of the last list, for the partial view.
func (m *membership) neighbours() []shuffle.Neighbour { return neighboursFromMessages(m.members) }
